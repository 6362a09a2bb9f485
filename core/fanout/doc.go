// Package fanout distributes versioned documents between processes: the sender announces each change with a notice, and
// the receiver pulls the document.
//
// A process accepts a document only if its version is higher than that of its own copy, so no document ever reverts. The
// periodic exchange of versions with one reachable source makes up for lost notices.
package fanout
