package report

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/core/wire"
)

// slowLinks refuses a number of requests before its link is up; with a negative number the link never comes up.
type slowLinks struct {
	core.Links
	alive    bool
	open     atomic.Int64
	refusals atomic.Int64
}

func (s *slowLinks) Alive(string) bool { return s.alive }

func (s *slowLinks) Connect(string) { s.open.Add(1) }

func (s *slowLinks) Disconnect(string) { s.open.Add(-1) }

func (s *slowLinks) HandleRequest(string, core.RequestHandler) {}

func (s *slowLinks) Request(context.Context, string, string, []byte) ([]byte, error) {
	if s.refusals.Load() < 0 || s.refusals.Add(-1) >= 0 {
		return nil, core.ErrLinkDown
	}
	return wire.Encode(core.HostStatus{Answered: true, Host: "h2"})
}

// oneHost is a fleet with one other host.
type oneHost struct {
	core.HostView
}

func (oneHost) Hosts() []core.Host {
	return []core.Host{{Host: "h2", SteerAddress: "127.0.0.1:1", Zone: "z"}}
}

// TestFleetWaitsForLink guards against listing a live host as unanswered because the link to it was not open yet,
// against waiting for a dead host for longer than the query timeout, and against leaving links open after the query.
func TestFleetWaitsForLink(t *testing.T) {
	tests := map[string]struct {
		answered bool
		refusals int64
	}{
		"link comes up":        {answered: true, refusals: 2},
		"link stays down":      {answered: false, refusals: -1},
		"link was up":          {answered: true, refusals: 0},
		"link needs one retry": {answered: true, refusals: 1},
	}
	clock, err := timer.NewSystem()
	assert.NilError(t, err)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			links := &slowLinks{alive: name == "link was up"}
			links.refusals.Store(test.refusals)
			r := New(Config{Hosts: oneHost{}, Links: links, Self: "h1", Settings: config.NewHolder(), Timer: clock})
			started := time.Now()
			status := r.Fleet(context.Background())
			assert.Equal(t, len(status.Hosts), 1)
			assert.Equal(t, status.Hosts[0].Answered, test.answered)
			assert.Assert(t, time.Since(started) < 2*queryTimeout)
			assert.Equal(t, links.open.Load(), int64(0))
		})
	}
}
