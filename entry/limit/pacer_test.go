package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// TestPacerHoldsRate guards against a shift that uses more than its part of the bandwidth of a link: a transfer must take
// at least the time that follows from the rate.
func TestPacerHoldsRate(t *testing.T) {
	const transfers, size = 40, 100 << 10
	clock := timer.NewManual()
	p := newPacer(clock)
	p.setRate(8) // 1 MB/s
	started := clock.Now()
	done := make(chan error, 1)
	go func() {
		var err error
		for range transfers {
			if err == nil {
				err = p.wait(context.Background(), size)
			}
		}
		done <- err
	}()
	for {
		select {
		case err := <-done:
			assert.NilError(t, err)
			elapsed := clock.Now().Sub(started)
			shortest := (transfers*size - pacerBurst) * time.Second / (8 * bytesPerMbit)
			assert.Assert(t, elapsed >= shortest, "%d bytes took %v, want at least %v at 8 Mbit/s", transfers*size, elapsed, shortest)
			return
		default:
			// Time advances only while the transfer waits; otherwise the test would measure the scheduler.
			if clock.Pending() > 0 {
				clock.Advance(time.Millisecond)
			}
		}
	}
}

// TestBandwidthSumsToLink guards against parts of a link that together exceed its bandwidth in one direction.
func TestBandwidthSumsToLink(t *testing.T) {
	settings := &core.Settings{
		Links: []core.LinkSettings{{From: "a", To: "b", MbitPerSecond: 4000}, {From: "b", To: "a", MbitPerSecond: 1000}},
		Shifts: []core.ShiftSettings{
			{From: "a", To: "b", Service: "x"}, {From: "a", To: "b", Service: "y"}, {From: "b", To: "a", Service: "x"},
		},
	}
	ab, ba := 0.0, 0.0
	for _, s := range settings.Shifts {
		part := core.BandwidthOf(settings, s)
		if s.From == "a" {
			ab += part.Request
			ba += part.Response
		} else {
			ba += part.Request
			ab += part.Response
		}
	}
	assert.Assert(t, ab <= 4000.001, "a to b: %v", ab)
	assert.Assert(t, ba <= 1000.001, "b to a: %v", ba)
}
