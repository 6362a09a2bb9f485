package fleet

// Evidence is what a test upstream recorded about the requests to one of its targets.
type Evidence struct {
	Address string `json:"address"`
	// HighConcurrent is the highest number of requests that were in flight at once.
	HighConcurrent int `json:"high_concurrent"`
	// OverSlots is the number of requests that arrived while all slots were busy.
	OverSlots int64 `json:"over_slots"`
	// ReachedUs holds, for each number of slots from 1, the microseconds from the last change of the target's behaviour to
	// the first time at which that many slots were busy.
	ReachedUs []int64 `json:"reached_us"`
	// Requests is the number of requests received.
	Requests int64 `json:"requests"`
	// Runs is the number of runs of each idempotency key or run ID.
	Runs  map[string]int64 `json:"runs"`
	Slots int              `json:"slots"`
}

// Evidence returns what the test upstream of a service recorded about each of its targets.
func (d *Deployment) Evidence(service string) []Evidence {
	d.T.Helper()
	var all []Evidence
	check(d.T, Get("http://"+d.controlAddresses[service]+"/evidence?runs=1", &all))
	return all
}

// Requests returns the number of requests that a target has received. Targets are counted from 0.
func (d *Deployment) Requests(service string, target int) int64 {
	d.T.Helper()
	for _, e := range d.Evidence(service) {
		if e.Address == d.Targets[service][target] {
			return e.Requests
		}
	}
	d.T.Fatalf("test upstream has no record of target %d of service %s", target, service)
	return 0
}

// Runs returns how often the targets of a service ran the request of each idempotency key or run ID.
func (d *Deployment) Runs(service string) map[string]int64 {
	d.T.Helper()
	runs := map[string]int64{}
	for _, e := range d.Evidence(service) {
		for key, n := range e.Runs {
			runs[key] += n
		}
	}
	return runs
}

// RegionRequests returns the number of requests that the targets of a service in one region have received.
func (d *Deployment) RegionRequests(service, region string) int64 {
	d.T.Helper()
	addresses := d.RegionTargets(service, region)
	sum := int64(0)
	for _, e := range d.Evidence(service) {
		if addresses[e.Address] {
			sum += e.Requests
		}
	}
	return sum
}
