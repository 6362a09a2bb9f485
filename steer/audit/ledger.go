package audit

import (
	"maps"
	"slices"
	"sync"

	"ebonyrouter.dev/core"
)

// maxRevisions is the number of newest revisions whose kind a ledger knows.
const maxRevisions = 4096

// ledger records which revisions of the store are known to exist and the kinds of the objects that they changed. It is safe for
// concurrent use.
type ledger struct {
	// changed is closed and replaced with each new revision.
	changed chan struct{}
	era     int64
	kinds   map[int64]string
	mutex   sync.Mutex
	newest  int64
	// unchanged holds the newest range of revisions that was checked for each kind.
	unchanged map[string]core.UnchangedKind
}

func newLedger() *ledger {
	return &ledger{changed: make(chan struct{}), kinds: map[int64]string{}, unchanged: map[string]core.UnchangedKind{}}
}

// add records that a response of an era has shown the store at revision asOf, and objects of a kind with the given revisions.
func (l *ledger) add(era, asOf int64, kind string, revisions []int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if era < l.era {
		return
	}
	if era > l.era {
		l.era, l.newest = era, 0
		clear(l.kinds)
		clear(l.unchanged)
	}
	for _, r := range revisions {
		l.kinds[r] = kind
	}
	if len(l.kinds) > 2*maxRevisions {
		for r := range l.kinds {
			if r <= asOf-maxRevisions {
				delete(l.kinds, r)
			}
		}
	}
	if asOf > l.newest || len(revisions) > 0 {
		l.newest = max(l.newest, asOf)
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// after returns the newest revision of an era, the revision up to which no object of a kind has changed after complete, and a
// channel that is closed when more is known.
func (l *ledger) after(era, complete int64, kind string) (newest, unchanged int64, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if era != l.era {
		return complete, complete, l.changed
	}
	checked := l.unchanged[kind]
	for unchanged = complete; unchanged < l.newest; unchanged++ {
		if checked.After <= unchanged && unchanged < checked.AsOf {
			unchanged = checked.AsOf - 1
			continue
		}
		if other, found := l.kinds[unchanged+1]; !found || other == kind {
			break
		}
	}
	return l.newest, unchanged, l.changed
}

// addUnchanged records what a check in an era has shown.
func (l *ledger) addUnchanged(era int64, checked core.UnchangedKind) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if era == l.era && checked.AsOf > l.unchanged[checked.Kind].AsOf {
		l.unchanged[checked.Kind] = checked
	}
}

// allUnchanged returns what checks in an era have shown.
func (l *ledger) allUnchanged(era int64) []core.UnchangedKind {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if era != l.era {
		return nil
	}
	return slices.Collect(maps.Values(l.unchanged))
}
