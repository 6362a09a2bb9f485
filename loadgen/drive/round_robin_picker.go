package drive

import "sync/atomic"

// rotating uses the targets in turn.
type rotating struct {
	next    atomic.Int64
	targets []string
}

func (r *rotating) pick(int) ([]string, error) {
	n := int(r.next.Add(1)) % len(r.targets)
	return r.targets[n : n+1], nil
}
