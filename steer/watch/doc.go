// Package watch reads accepted settings and ownership documents from the store and offers them to a document sink.
//
// Only the relays of an availability zone hold a long-polling watch on the store. All other hosts read the store rarely
// and receive changes from their relays.
package watch
