// Package route chooses the next hop of a request from ownership and load hints.
package route
