package proxy

import (
	"context"
	"errors"
	"sync"

	"ebonyrouter.dev/core"
)

// fakeDeduper keeps records in memory; Begin fails if down is set.
type fakeDeduper struct {
	down         bool
	finished     chan core.DedupOutcome
	mutex        sync.Mutex
	records      map[string]*core.DedupOutcome
	fingerprints map[string]string
}

func newFakeDeduper() *fakeDeduper {
	return &fakeDeduper{
		finished: make(chan core.DedupOutcome, 10), records: map[string]*core.DedupOutcome{}, fingerprints: map[string]string{},
	}
}

func (f *fakeDeduper) Begin(_ context.Context, request core.DedupRequest) (core.DedupResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return core.DedupResult{}, errors.New("store unavailable")
	}
	done, found := f.records[request.Key]
	switch {
	case !found:
		f.records[request.Key] = nil
		f.fingerprints[request.Key] = request.Fingerprint
		return core.DedupResult{State: core.DedupNew}, nil
	case f.fingerprints[request.Key] != request.Fingerprint:
		return core.DedupResult{State: core.DedupMismatch}, nil
	case done == nil:
		return core.DedupResult{State: core.DedupRunning}, nil
	case done.Ran == core.RanUnknown:
		return core.DedupResult{State: core.DedupUnknown}, nil
	default:
		return core.DedupResult{State: core.DedupDone, Outcome: *done}, nil
	}
}

func (f *fakeDeduper) Finish(_ context.Context, request core.DedupRequest, outcome core.DedupOutcome) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if outcome.Ran == core.RanNo {
		delete(f.records, request.Key)
	} else {
		f.records[request.Key] = &outcome
	}
	f.finished <- outcome
	return nil
}
