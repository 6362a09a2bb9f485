// Package links implements core.Links over TCP with one multiplexed connection per dialled address.
//
// A request is written to at most one connection: it is retried on another connection only if the first one closed
// before any byte of the request was written. Two processes that dial each other have two connections. Either can carry
// any message, and both ends send over the oldest connection that received bytes recently. One-way messages stay in
// order as long as they use the same connection.
package links
