package relay

import (
	"sync"
	"sync/atomic"

	"ebonyrouter.dev/core"
)

const (
	// maxHistory is the number of changes that a relay keeps for each kind, and maxHistoryBytes their size. A host that needs older
	// ones reads the store.
	maxHistory      = 1024
	maxHistoryBytes = 2 << 20
)

// batch holds the changes that one response of the store brought.
type batch struct {
	asOf    int64
	changes []core.StoreChange
	size    int
}

// excerpt is the part of a history after a revision.
type excerpt struct {
	asOf      int64
	changes   []core.StoreChange
	currentAt core.Instant
}

// history holds the newest changes of one kind of objects.
type history struct {
	batches []batch
	// begin and end are the revisions after and up to which all changes are known, of the given era of the store; end is 0 if
	// nothing is known.
	begin, end, era int64
	// changed is closed and replaced with each response and with the first failed call after one.
	changed chan struct{}
	count   int
	// currentAt is the core.Instant at which the newest state was known, or 0.
	currentAt core.Instant
	// failing is set from a failed call to the next response of the store.
	failing bool
	// knownAt is the core.Instant at which this host last knew the newest state, by itself or from a relay, or 0.
	knownAt atomic.Int64
	mutex   sync.Mutex
	size    int
}

func newHistory() *history {
	return &history{changed: make(chan struct{})}
}

// add records a response of the store. One that does not continue the last one, or a list of other objects than are known, begins a new
// history, so that hosts which lack earlier changes read the store.
func (h *history) add(r *Response) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.era != r.Era || h.end != r.After {
		h.batches, h.count, h.size, h.currentAt = nil, 0, 0, 0
		h.begin, h.era = r.After, r.Era
	}
	if len(r.Changes) > 0 {
		b := batch{asOf: r.AsOf, changes: r.Changes, size: size(r.Changes)}
		h.batches = append(h.batches, b)
		h.count += len(r.Changes)
		h.size += b.size
	}
	for len(h.batches) > 0 && (h.count > maxHistory || h.size > maxHistoryBytes) {
		oldest := h.batches[0]
		h.begin = oldest.asOf
		h.count -= len(oldest.changes)
		h.size -= oldest.size
		h.batches = h.batches[1:]
	}
	h.end, h.failing = r.AsOf, false
	h.currentAt = max(h.currentAt, r.CurrentAt)
	h.notify()
}

// notify wakes the requests that wait for a change; the caller holds the mutex.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// fail records a failed call, after which changes may be missing.
func (h *history) fail() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.failing {
		return
	}
	h.failing = true
	h.notify()
}

// since returns the changes after a revision of an era, the revision up to which they are complete and the core.Instant at which no
// others existed, or false if they are not known. A batch is returned whole, so that changes up to the revision may be repeated. If there
// is no change yet, changed is closed with the next response.
func (h *history) since(after, era int64) (known excerpt, changed <-chan struct{}, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.end == 0 || h.failing || h.era != era || after < h.begin {
		return excerpt{}, nil, false
	}
	known = excerpt{asOf: max(after, h.end), currentAt: h.currentAt}
	for _, b := range h.batches {
		if b.asOf > after {
			known.changes = append(known.changes, b.changes...)
		}
	}
	return known, h.changed, true
}

// size returns the number of bytes of the changed objects.
func size(changes []core.StoreChange) int {
	n := 0
	for _, c := range changes {
		n += len(c.Object)
	}
	return n
}
