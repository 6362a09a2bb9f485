package retry

import (
	"sync"
	"sync/atomic"
)

// kind is what a counter of the window counts.
type kind int

const (
	countAttempts kind = iota
	countRetries
	countHedges
	kinds
)

// window holds counters of the last slotCount slots of time.
type window struct {
	counts [slotCount][kinds]int64
	mu     sync.Mutex
	// recent counts the attempts in the current slot that counts does not contain yet; every request adds one, and at
	// ten times the capacity requests waited for the lock to do so.
	recent atomic.Int64
	// slot is written with the mutex held.
	slot atomic.Int64
}

// advance moves the window to a slot of time and clears the counters that have left it; the mutex is held.
func (w *window) advance(slot int64) {
	current := w.slot.Load()
	w.counts[current%slotCount][countAttempts] += w.recent.Swap(0)
	for range min(slotCount, slot-current) {
		current++
		w.counts[current%slotCount] = [kinds]int64{}
	}
	w.slot.Store(max(w.slot.Load(), slot))
}

// attempt counts a first attempt.
func (w *window) attempt(slot int64) {
	if w.slot.Load() < slot {
		w.mu.Lock()
		w.advance(slot)
		w.mu.Unlock()
	}
	w.recent.Add(1)
}

// sum returns the count of a kind over the window; the mutex is held.
func (w *window) sum(k kind) int64 {
	sum := int64(0)
	for i := range w.counts {
		sum += w.counts[i][k]
	}
	return sum
}

// take counts one more of a kind if its share of the attempts permits it.
func (w *window) take(slot int64, k kind, percent int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(slot)
	if w.sum(k) >= max(minExtra, w.sum(countAttempts)*percent/fullPercent) {
		return false
	}
	w.counts[w.slot.Load()%slotCount][k]++
	return true
}
