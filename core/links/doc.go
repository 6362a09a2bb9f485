// Package links implements core.Links over TCP with one multiplexed connection per dialled address.
//
// A request is written to at most one connection: it is tried again only when the first connection closed before any
// byte of it was written. Two processes that dial each other have two connections; either may carry any message, and
// both ends send over the oldest connection that was heard from lately. The order of one-way messages is kept as long
// as the connection is the same.
package links
