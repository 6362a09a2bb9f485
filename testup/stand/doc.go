// Package stand implements the targets of the test upstream, which record evidence of the requests they receive and misbehave
// on request.
package stand
