package retry

import (
	"sync"
	"sync/atomic"
)

// kind is a kind of attempt that each bucket counts separately.
type kind int

const (
	countAttempts kind = iota
	countRetries
	countHedges
	kindCount
)

// window is a sliding window of counters over the last bucketCount buckets.
type window struct {
	counts [bucketCount][kindCount]int64
	mu     sync.Mutex
	// pending counts the attempts in the current bucket that are not yet included in counts. It is atomic because every
	// request increments it: at ten times the capacity, requests waited for the mutex to do so.
	pending atomic.Int64
	// bucket is the number of the current bucket. It is only written while the mutex is held.
	bucket atomic.Int64
}

// advance moves the window to a later bucket and clears the counters of expired buckets; the mutex must be held.
func (w *window) advance(bucket int64) {
	current := w.bucket.Load()
	w.counts[current%bucketCount][countAttempts] += w.pending.Swap(0)
	for range min(bucketCount, bucket-current) {
		current++
		w.counts[current%bucketCount] = [kindCount]int64{}
	}
	w.bucket.Store(max(w.bucket.Load(), bucket))
}

// recordAttempt counts a first attempt.
func (w *window) recordAttempt(bucket int64) {
	if w.bucket.Load() < bucket {
		w.mu.Lock()
		w.advance(bucket)
		w.mu.Unlock()
	}
	w.pending.Add(1)
}

// sum returns the count of a kind over the window; the mutex must be held.
func (w *window) sum(k kind) int64 {
	sum := int64(0)
	for i := range w.counts {
		sum += w.counts[i][k]
	}
	return sum
}

// tryRecord counts one more attempt of a kind and returns true if the permitted share of the first attempts is not used up.
func (w *window) tryRecord(bucket int64, k kind, percent int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(bucket)
	if w.sum(k) >= max(minAllowed, w.sum(countAttempts)*percent/fullPercent) {
		return false
	}
	w.counts[w.bucket.Load()%bucketCount][k]++
	return true
}
