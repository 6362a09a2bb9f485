// Package fanout spreads versioned documents between processes: a notice per change, then a pull by the receiver.
//
// A process accepts a document only if its version is higher than the one it holds, so no document ever reverts.
// A lost notice is repaired by the periodic exchange of versions with one live source.
package fanout
