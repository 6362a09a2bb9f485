package place

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRegionWithoutRoom guards against callers of a region that are refused for long because more requests than before have to be served
// in other regions, and against a share of those that changes faster than permitted. The first region has a tenth of the targets and a
// third of the callers from the start; the second one loses targets.
func TestRegionWithoutRoom(t *testing.T) {
	for name, c := range map[string]struct {
		load    float64
		unkeyed bool
		kept    int
		// refused is the highest share of the requests of the second region that is refused within 10 s of the loss, first that of the
		// first region within 10 s of the start, and change the highest change of a share between consecutive spans of 2 s. Requests that
		// are served remotely because the local region has no room are not limited, and a span in which nearly all are refused has few.
		refused, first, change float64
	}{
		"few targets":               {1.3, false, 0, 0.01, 0.02, 0.1},
		"few targets, no keys":      {0.5, true, 0, 0.01, 0.01, 0.2},
		"targets are lost":          {1.3, false, 4, 0.38, 0.02, 0.15},
		"targets are lost, no keys": {0.4, true, 4, 0.01, 0.01, 1},
		"most targets are lost":     {1.1, false, 1, 0.7, 0.02, 0.35},
	} {
		t.Run(name, func(t *testing.T) {
			var lost, first, change float64
			const seeds = 3
			for seed := range uint64(seeds) {
				s := workLoads()["540 ms"]
				s.perSecond, s.reading, s.unkeyed, s.kept = c.load*float64(40*s.slots)/s.workTime.Seconds(), readAll, c.unkeyed, c.kept
				r := s.play(seed)
				first += refusedShare(r.byTenth[0][:100]) / seeds
				lost += refusedShare(r.byTenth[1][100:200]) / seeds
				for region := range 3 {
					change = max(change, shareChange(r.byTenth[region][:280]))
				}
			}
			t.Logf("refused %.3f after the loss, %.3f at the start; the share changes by up to %.3f", lost, first, change)
			assert.Check(t, lost <= c.refused)
			assert.Check(t, first <= c.first)
			assert.Check(t, change <= c.change)
		})
	}
}

func refusedShare(tenths []shareCounts) float64 {
	sent, refused := 0.0, 0.0
	for _, c := range tenths {
		sent, refused = sent+c.sent, refused+c.refused
	}
	return refused / (sent + refused)
}

// shareChange returns the greatest change of the remote share between consecutive spans of 2 s.
func shareChange(tenths []shareCounts) float64 {
	const span = 20
	share := func(from int) float64 {
		sent, remote := 0.0, 0.0
		for _, c := range tenths[from : from+span] {
			sent, remote = sent+c.sent, remote+c.remote
		}
		return remote / max(1, sent)
	}
	greatest := 0.0
	for from := 0; from+2*span <= len(tenths); from++ {
		greatest = max(greatest, math.Abs(share(from+span)-share(from)))
	}
	return greatest
}
