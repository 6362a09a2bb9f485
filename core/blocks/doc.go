// Package blocks holds the client block map: its text form, its form in the store, and its updates.
//
// In the store a map is an index and parts. Both are named by the digest of their content, so a part that is the same in
// two maps is stored and sent once, and an object never changes. A part holds the blocks whose address lies in one range;
// ranges are aligned prefixes, so that a changed block leaves the borders of all other parts where they are.
package blocks
