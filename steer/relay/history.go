package relay

import (
	"sync"

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

// history holds the newest changes of one kind of objects.
type history struct {
	batches []batch
	// begin and end are the revisions after and up to which all changes are known, of the given era of the store; end is 0 if
	// nothing is known.
	begin, end, era int64
	// changed is closed and replaced whenever end rises.
	changed chan struct{}
	count   int
	// failing is set from a failed call to the next response of the store.
	failing bool
	mutex   sync.Mutex
	size    int
}

func newHistory() *history {
	return &history{changed: make(chan struct{})}
}

// add records a response of the store: the changes after one revision up to another. A response that does not continue the last one
// begins a new history.
func (h *history) add(after, asOf, era int64, changes []core.StoreChange) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.era != era || h.end != after {
		h.batches, h.count, h.size = nil, 0, 0
		h.begin, h.era = after, era
	}
	if len(changes) > 0 {
		b := batch{asOf: asOf, changes: changes}
		for _, c := range changes {
			b.size += len(c.Object)
		}
		h.batches = append(h.batches, b)
		h.count += len(changes)
		h.size += b.size
	}
	for len(h.batches) > 0 && (h.count > maxHistory || h.size > maxHistoryBytes) {
		oldest := h.batches[0]
		h.begin = oldest.asOf
		h.count -= len(oldest.changes)
		h.size -= oldest.size
		h.batches = h.batches[1:]
	}
	h.end, h.failing = asOf, false
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
	close(h.changed)
	h.changed = make(chan struct{})
}

// since returns the changes after a revision of an era and the revision up to which they are complete, or false if they are not known.
// A batch is returned whole, so that changes up to the revision may be repeated. If there is no change yet, changed is closed with the
// next one.
func (h *history) since(after, era int64) (changes []core.StoreChange, asOf int64, changed <-chan struct{}, known bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.end == 0 || h.failing || h.era != era || after < h.begin {
		return nil, 0, nil, false
	}
	for _, b := range h.batches {
		if b.asOf > after {
			changes = append(changes, b.changes...)
		}
	}
	return changes, max(after, h.end), h.changed, true
}
