// Command testup is the test upstream: it runs stand-in targets that record evidence of their requests and misbehave on
// request.
package main
