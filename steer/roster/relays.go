package roster

// maxRelays is the number of hosts of an availability zone that watch the store for the others. Hosts would ask a second one only after
// the first has not answered in time, which is too late for the bounds on changes; they read the store themselves instead.
const maxRelays = 1

// ZoneRelays returns the link addresses of the live hosts of this host's availability zone that watch the store for the others: those with
// the most capacity, maxRelays at most. It is empty while the zone has no host that is not one of them.
func (r *Roster) ZoneRelays() []string {
	now := r.timer.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	zone := r.hosts[r.self.Host].Zone
	if zone == "" {
		zone = r.self.Zone
	}
	var relays []string
	for _, name := range r.ranked {
		h := r.hosts[name]
		if h.Zone != zone || !r.alive(&h, now) || r.stopping[name] {
			continue
		}
		if len(relays) == maxRelays {
			return relays
		}
		relays = append(relays, h.LinkAddress)
	}
	return nil
}
