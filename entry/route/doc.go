// Package route chooses the next hop of a request from object ownership and load reports.
package route
