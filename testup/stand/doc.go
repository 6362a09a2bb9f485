// Package stand implements upstream targets that keep evidence of what they were asked to do and can be told to
// misbehave.
package stand
