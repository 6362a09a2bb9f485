// Package route chooses the next hop of a request from object ownership and load reports. It implements core.Router
// for the command entry; the command platform uses package place.
package route
