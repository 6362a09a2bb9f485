// Package blocks implements the client block map: its text format, its store format, and how maps are read, compared, written
// and pruned.
//
// In the store a map consists of an index and parts. Both are content-addressed: their keys contain the digest of their
// content. An object therefore never changes, and a part that two maps share is stored and transferred once. A part holds the
// blocks whose address lies in one address range. Ranges start at prefix boundaries, so that a changed block does not move the
// boundaries of other parts.
package blocks
