// Package fleet builds the programs and runs them as separate processes on loopback, with a settings tree, stand-ins of
// the store and the upstreams, and a network with faults between the hosts. It is for tests and measurements only: the
// programs of ebonyrouter do not import it, since none of them starts another process.
package fleet
