package member

import "ebonyrouter.dev/core"

var _ core.HostView = registered{}

// registered is a view of all hosts that are ready or draining.
type registered struct {
	members *Members
}

// Hosts implements core.HostView.Hosts; it returns the same slice until a registration changes.
func (r registered) Hosts() []core.Host {
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	_, servingHosts := r.members.sortedHosts()
	return servingHosts
}
