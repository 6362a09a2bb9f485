// Package lookup answers which entry hosts a client should use.
//
// A table maps client blocks to sites. For every service and site the ranked lists of hosts are computed when settings,
// hosts or sites change, so that a look-up only finds the block, hashes the client address and picks a list. All state
// of a look-up is behind one atomic pointer; readers are never stopped.
package lookup
