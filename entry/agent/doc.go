// Package agent connects an entry process to its steer and its peers. It receives settings, ownership documents and the
// list of hosts from the steer, reports the status of the process to it, and exchanges load reports with peers.
package agent
