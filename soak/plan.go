package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of disturbance.
type kind string

const (
	kindReload      kind = "reload"       // SIGHUP to some hosts.
	kindRoll        kind = "roll"         // Some hosts are stopped and started in turn.
	kindKill        kind = "kill"         // Some hosts are killed at once.
	kindPause       kind = "pause"        // A host is paused.
	kindRelease     kind = "release"      // Targets are replaced in turn.
	kindCrash       kind = "crash"        // A target ends without a notice.
	kindSettings    kind = "settings"     // The desired state changes several times.
	kindStoreOutage kind = "store_outage" // The store fails for seconds.
)

var kinds = []kind{kindReload, kindRoll, kindRoll, kindKill, kindPause, kindRelease, kindCrash, kindSettings, kindStoreOutage}

// disturbance is one step of a plan.
type disturbance struct {
	at   time.Duration
	kind kind
	// count is the number of hosts, targets or changes, and gap the time between two of them.
	count int
	gap   time.Duration
	// first selects the first host or target.
	first int
}

// String implements fmt.Stringer.
func (d disturbance) String() string {
	return fmt.Sprintf("%v: %s, %d from %d, each %v", d.at, d.kind, d.count, d.first, d.gap)
}

const (
	// disturbanceInterval is the mean time between two disturbances.
	disturbanceInterval = 4 * time.Second
	// quietTime at the start and end of a run has no disturbance.
	quietTime       = 5 * time.Second
	maxCount        = 4
	maxGap          = 1500 * time.Millisecond
	gapStep         = 10 * time.Millisecond
	selectableFirst = 1000
)

// newPlan draws the disturbances of a run. The same seed gives the same plan.
func newPlan(seed uint64, duration time.Duration) []disturbance {
	r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // The plan must be repeatable.
	var plan []disturbance
	span := duration - 2*quietTime
	for range int(span / disturbanceInterval) {
		plan = append(plan, disturbance{
			at: quietTime + time.Duration(r.Int64N(int64(span))).Round(gapStep), kind: kinds[r.IntN(len(kinds))], count: 1 + r.IntN(maxCount),
			gap: time.Duration(r.Int64N(int64(maxGap/gapStep))) * gapStep, first: r.IntN(selectableFirst),
		})
	}
	slices.SortFunc(plan, func(a, b disturbance) int { return int(a.at - b.at) })
	return plan
}
