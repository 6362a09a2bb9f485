// Package relay passes the changes of objects in the store from a few hosts of an availability zone, which watch the store, to the others,
// so that the calls on the store do not grow with the number of hosts.
package relay
