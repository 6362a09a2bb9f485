package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// Guards against a shift that uses more of a link than its part: the time for a transfer must follow from the rate.
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
			took := clock.Now().Sub(started)
			least := (transfers*size - pacerBurst) * time.Second / (8 * bytesPerMbit)
			assert.Assert(t, took >= least, "%d bytes took %v, at 8 Mbit/s at least %v", transfers*size, took, least)
			return
		default:
			// Time must stand still while the transfer is not waiting, or the test would measure the scheduler.
			if clock.Waiting() > 0 {
				clock.Advance(time.Millisecond)
			}
		}
	}
}

// Guards against parts of links whose sum exceeds the link in one direction.
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
