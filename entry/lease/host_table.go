package lease

import "ebonyrouter.dev/core"

// hostTable maps host names to positions in one slice of hosts, which is identified by first and count.
type hostTable struct {
	byName map[string]int
	count  int
	first  *core.Host
}

func newHostTable(hosts []core.Host) *hostTable {
	t := &hostTable{byName: make(map[string]int, len(hosts)), count: len(hosts), first: &hosts[0]}
	for n := range hosts {
		t.byName[hosts[n].Host] = n
	}
	return t
}
