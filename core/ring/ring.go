package ring

import (
	"sync"

	"github.com/juju/errors"
)

// Errors of a Ring.
const (
	// ErrClosed means that the ring is closed.
	ErrClosed = errors.ConstError("ring closed")
	// ErrFull means that the ring is full and the overflow rule permits no entry to be dropped.
	ErrFull = errors.ConstError("ring full")
)

// initialEntries is the allocated size of an empty ring, which doubles on demand. Allocating 1,024 entries from the start
// took 24 kB more per link.
const initialEntries = 8

// Ring is a bounded queue for many producers and one consumer.
type Ring struct {
	capacity  int
	closed    bool
	done      chan struct{}
	droppable int
	entries   []Entry
	first     int
	length    int
	mu        sync.Mutex
	ready     chan struct{}
	rule      Rule
	stats     Stats
}

// New returns an empty ring that holds at most capacity entries.
func New(capacity int, rule Rule) *Ring {
	capacity = max(capacity, 1)
	return &Ring{
		capacity: capacity,
		done:     make(chan struct{}),
		entries:  make([]Entry, min(capacity, initialEntries)),
		ready:    make(chan struct{}, 1),
		rule:     rule,
	}
}

// Close rejects all further entries and wakes the consumer; calls after the first do nothing.
func (r *Ring) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Drain removes and returns all remaining entries.
func (r *Ring) Drain() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remaining []Entry
	for r.length > 0 {
		remaining = append(remaining, r.pop())
	}
	return remaining
}

// Len returns the number of entries in the ring.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Put adds an entry without blocking. It returns ErrFull or ErrClosed if the entry was not added.
func (r *Ring) Put(e Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.length == r.capacity && !r.makeRoom() {
		r.stats.Rejected++
		return ErrFull
	}
	if r.length == len(r.entries) {
		r.resize(min(2*r.length, r.capacity))
	}
	r.entries[r.index(r.length)] = e
	r.length++
	r.stats.Accepted++
	if e.Droppable {
		r.droppable++
	}
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return nil
}

// Stats returns the counters.
func (r *Ring) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Take waits for an entry and removes the oldest one. It returns ErrClosed once the ring is closed, even if entries remain.
func (r *Ring) Take() (Entry, error) {
	for {
		e, ok, err := r.tryTake()
		if ok || err != nil {
			return e, err
		}
		select {
		case <-r.done:
		case <-r.ready:
		}
	}
}

func (r *Ring) index(n int) int {
	return (r.first + n) % len(r.entries)
}

// makeRoom removes the oldest droppable entry if the rule permits it.
func (r *Ring) makeRoom() bool {
	if r.rule != RuleDropOldest || r.droppable == 0 {
		return false
	}
	n := 0
	for !r.entries[r.index(n)].Droppable {
		n++
	}
	// The entries before the dropped one move by one position towards the end, which preserves the order.
	for ; n > 0; n-- {
		r.entries[r.index(n)] = r.entries[r.index(n-1)]
	}
	// The first position now holds the dropped entry or a copy of an entry that was moved. It is marked as droppable, so that
	// pop counts it as the dropped entry.
	r.entries[r.first].Droppable = true
	r.pop()
	r.stats.Dropped++
	return true
}

func (r *Ring) pop() Entry {
	e := r.entries[r.first]
	r.entries[r.first] = Entry{}
	r.first = r.index(1)
	r.length--
	if e.Droppable {
		r.droppable--
	}
	if r.length == 0 && len(r.entries) > initialEntries {
		r.resize(initialEntries)
	}
	return e
}

// resize moves the entries to a new slice with room for n entries.
func (r *Ring) resize(n int) {
	entries := make([]Entry, n)
	for i := range r.length {
		entries[i] = r.entries[r.index(i)]
	}
	r.entries = entries
	r.first = 0
}

func (r *Ring) tryTake() (Entry, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return Entry{}, false, ErrClosed
	}
	if r.length == 0 {
		return Entry{}, false, nil
	}
	return r.pop(), true, nil
}
