package lease

import (
	"sync/atomic"

	"ebonyrouter.dev/core"
)

// hostIndex finds hosts by name. It is rebuilt when the view of hosts returns another slice.
type hostIndex struct {
	table atomic.Pointer[hostTable]
}

// find returns the registration of the named host, or false.
func (i *hostIndex) find(view core.HostView, name string) (core.Host, bool) {
	hosts := view.Hosts()
	if len(hosts) == 0 {
		return core.Host{}, false
	}
	t := i.table.Load()
	if t == nil || t.first != &hosts[0] || t.count != len(hosts) {
		t = newHostTable(hosts)
		i.table.Store(t)
	}
	n, ok := t.byName[name]
	if !ok {
		return core.Host{}, false
	}
	return hosts[n], true
}
