package drive

import "sync/atomic"

// roundRobinPicker sends to the targets in turn; all workers share the position.
type roundRobinPicker struct {
	next    atomic.Int64
	targets []string
}

func (r *roundRobinPicker) pick(int) ([]string, error) {
	n := int(r.next.Add(1)) % len(r.targets)
	return r.targets[n : n+1], nil
}
