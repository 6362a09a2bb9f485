// Package blocks holds the client block map: its text format, its format in the store, and its updates.
//
// In the store a map consists of an index and parts. Both are content-addressed: their keys contain the digest of their
// content. So an object never changes, and a part that two maps share is stored and transferred once. A part holds the
// blocks whose address lies in one address range. Ranges are aligned prefixes, so that a changed block does not move the
// boundaries of other parts.
package blocks
