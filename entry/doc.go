// Command entry runs an entry process. It serves lookups, forwards the requests of callers and the requests relayed by
// other entry processes to upstreams, and enforces the limits of the objects that it owns.
package main
