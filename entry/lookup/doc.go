// Package lookup ranks the entry hosts that a client should use. The command platform serves lookups with package roster.
//
// A table maps client blocks to sites. The ranked host lists of each service and site are computed in advance, whenever
// settings, hosts or sites change. A lookup only finds the block of the client, hashes the client address and selects a list.
// All state that lookups read is immutable and behind one atomic pointer, so changes never block lookups.
package lookup
