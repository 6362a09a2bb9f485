// Package fleet is a test harness that builds the programs and runs them as separate processes on loopback addresses. It
// provides their settings, a test store, test upstreams and a test network that injects faults between the hosts. Only
// tests and measurements use it: the programs of ebonyrouter do not import it, since none of them starts another process.
package fleet
