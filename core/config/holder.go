package config

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Errors of Holder.Set; the revision in force is unchanged.
const (
	// ErrLowerRevision means that a higher revision is already in force.
	ErrLowerRevision = errors.ConstError("settings revision is lower than the one in force")
	// ErrOtherContent means that the revision is already in force with different content of the same or a later era.
	ErrOtherContent = errors.ConstError("settings revision is in force with different content")
)

// Holder stores the settings revision in force in a process and never returns to a lower one.
type Holder struct {
	mu          sync.Mutex
	current     atomic.Pointer[core.Snapshot]
	subscribers []func(*core.Snapshot)
}

var _ core.SettingsSource = (*Holder)(nil)

// NewHolder returns a holder without a revision.
func NewHolder() *Holder {
	return &Holder{}
}

// Current implements core.SettingsSource.Current; it returns nil before the first Set.
func (h *Holder) Current() *core.Snapshot {
	return h.current.Load()
}

// Set puts a snapshot in force and notifies the subscribers. Setting the revision in force again does nothing.
func (h *Holder) Set(snapshot *core.Snapshot) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil {
		switch {
		case snapshot.Head.Revision < old.Head.Revision:
			return errors.Annotatef(ErrLowerRevision, "revision %d, in force %d", snapshot.Head.Revision, old.Head.Revision)
		case snapshot.Head.Revision == old.Head.Revision && snapshot.Head.Digest != old.Head.Digest && snapshot.Head.Era > old.Head.Era:
			// A store that was restored from an older copy had lost the revision and got it again.
		case snapshot.Head.Revision == old.Head.Revision && snapshot.Head.Digest != old.Head.Digest:
			return errors.Annotatef(ErrOtherContent, "revision %d", snapshot.Head.Revision)
		case snapshot.Head.Revision == old.Head.Revision:
			return nil
		}
	}
	h.current.Store(snapshot)
	for _, notify := range h.subscribers {
		notify(snapshot)
	}
	return nil
}

// Subscribe registers a function that is called with each new revision in order, starting with the one in force. The
// function must neither block nor call Set or Subscribe of the same Holder.
func (h *Holder) Subscribe(notify func(*core.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
	if current := h.current.Load(); current != nil {
		notify(current)
	}
}
