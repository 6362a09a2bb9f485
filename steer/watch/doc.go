// Package watch reads accepted settings and ownership documents from the store and offers them to this process.
//
// Only the relays of a zone hold a waiting watch; all other hosts poll rarely and hear of changes from their relays.
package watch
