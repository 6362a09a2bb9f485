// Package intake serves callers over HTTP/1.1. Unlike net/http's server, it serves pipelined requests concurrently; it
// sends their responses in the order of the requests.
package intake
