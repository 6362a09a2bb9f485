// Package place chooses the target of each request when targets limit their own concurrency and reject excess requests
// without running them. The command platform uses it in place of the packages limit and route, which the command entry uses
// for targets with an owner.
package place
