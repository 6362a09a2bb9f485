package watch

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// noDocuments contains no documents and discards those it is offered.
type noDocuments struct{}

func (noDocuments) Document(string) (core.Document, bool) { return core.Document{}, false }

func (noDocuments) Offer(core.Document) (bool, error) { return true, nil }

// TestOwnershipPolls guards against hosts that read all ownership documents every 10 s although a relay keeps them up
// to date, against hosts that stop reading them when no relay does, and against complete reads of unchanged documents.
func TestOwnershipPolls(t *testing.T) {
	for name, tc := range map[string]struct {
		synced   bool
		min, max int64
	}{
		"synced with a relay": {synced: true, min: 2, max: 3},
		"no relay responds":   {synced: false, min: 40, max: 120},
	} {
		t.Run(name, func(t *testing.T) {
			memory := store.NewMemory()
			clock := timer.NewManual()
			w := New(Config{
				SyncedWithRelay: func() bool { return tc.synced }, Log: zap.NewNop(), IsRelay: func() bool { return false },
				Sink: noDocuments{}, Source: noDocuments{}, Store: memory, Timer: clock,
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.Run(ctx)
			}()
			for range 600 {
				clock.Advance(time.Second)
				time.Sleep(time.Millisecond)
			}
			cancel()
			<-done
			calls := memory.Calls()
			reads := calls[store.CallList] + calls[store.CallWatch]
			assert.Assert(t, reads >= tc.min && reads <= tc.max, "%d reads in 10 minutes", reads)
			if tc.synced {
				assert.Equal(t, calls[store.CallList], int64(1), "complete reads of unchanged documents")
			}
		})
	}
}
