// Package access finds the customer of a request by its API key, and the rank and the regions that follow from its route and its
// customer.
package access
