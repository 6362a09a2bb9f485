package fleet

// Evidence is what the upstream stand-in recorded about a target.
type Evidence struct {
	Address        string `json:"address"`
	HighConcurrent int    `json:"high_concurrent"`
	OverSlots      int64  `json:"over_slots"`
	// ReachedUs is the time, in microseconds since the last order, at which 1, 2 and more slots were in use first.
	ReachedUs []int64          `json:"reached_us"`
	Requests  int64            `json:"requests"`
	Runs      map[string]int64 `json:"runs"`
	Slots     int              `json:"slots"`
}

// Evidence returns the evidence of all targets of a service.
func (d *Deployment) Evidence(service string) []Evidence {
	d.T.Helper()
	var all []Evidence
	check(d.T, Get("http://"+d.control[service]+"/evidence?runs=1", &all))
	return all
}

// Requests returns the number of requests that a target, counted from 0, has received.
func (d *Deployment) Requests(service string, target int) int64 {
	d.T.Helper()
	for _, e := range d.Evidence(service) {
		if e.Address == d.Targets[service][target] {
			return e.Requests
		}
	}
	d.T.Fatalf("no evidence of target %d of %s", target, service)
	return 0
}

// Runs returns how often the targets of a service ran each key.
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

// RunsIn returns the number of requests that the targets of a service in a region received.
func (d *Deployment) RunsIn(service, region string) int64 {
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
