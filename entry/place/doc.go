// Package place chooses the target of each request when targets limit their own concurrency and reject excess requests
// without running them.
package place
