// Package stand implements stand-in upstream targets that record evidence of the requests they receive and misbehave on
// request.
package stand
