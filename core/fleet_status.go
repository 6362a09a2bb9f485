package core

// FleetStatus lists the hosts and the lowest revision in force among those that responded.
type FleetStatus struct {
	Accepted       SettingsHead `json:"accepted" msgpack:"accepted"`
	Hosts          []HostStatus `json:"hosts" msgpack:"hosts"`
	LowestRevision int64        `json:"lowest_revision" msgpack:"lowest_revision"`
}

// Lowest returns the lowest revision in force on the hosts that responded, or 0 if none did.
func (f *FleetStatus) Lowest() int64 {
	var lowest int64
	first := true
	for revision := range f.Revisions() {
		if first || revision < lowest {
			lowest, first = revision, false
		}
	}
	return lowest
}

// Revisions counts hosts by the lowest revision in force on them; hosts that did not respond are not counted.
func (f *FleetStatus) Revisions() map[int64]int {
	hosts := map[int64]int{}
	for i := range f.Hosts {
		if revision, ok := f.Hosts[i].Revision(); ok {
			hosts[revision]++
		}
	}
	return hosts
}
