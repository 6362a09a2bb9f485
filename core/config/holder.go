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
	// ErrOtherContent means that the same revision is in force with different content.
	ErrOtherContent = errors.ConstError("settings revision is in force with different content")
)

// Holder keeps the revision in force of one process and never lowers it.
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

// Set puts a snapshot in force and tells the subscribers; repeating the revision in force does nothing.
func (h *Holder) Set(snapshot *core.Snapshot) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil {
		switch {
		case snapshot.Head.Revision < old.Head.Revision:
			return errors.Annotatef(ErrLowerRevision, "revision %d, in force %d", snapshot.Head.Revision, old.Head.Revision)
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

// Subscribe registers a function that gets each new revision in order, starting with the one in force; it must
// neither block nor call the holder's Set or Subscribe.
func (h *Holder) Subscribe(notify func(*core.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
	if current := h.current.Load(); current != nil {
		notify(current)
	}
}
