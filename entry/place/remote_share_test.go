package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestRemoteShareBetweenSpans guards against requests that change their region faster than permitted, whatever share is wanted
// and in whatever order: between two consecutive spans of 2 s, at any offset, the share must not change by more than
// MaxRemoteStep.
func TestRemoteShareBetweenSpans(t *testing.T) {
	const (
		maxStep   = 0.15
		perSecond = 100
		duration  = 40 * time.Second
		bucket    = 100 * time.Millisecond
		span      = int(2 * time.Second / bucket)
	)
	cases := map[string]func(at time.Duration, random *rand.Rand) bool{
		"steady half": func(_ time.Duration, r *rand.Rand) bool { return r.Float64() < 0.5 },
		"steady most": func(_ time.Duration, r *rand.Rand) bool { return r.Float64() < 0.85 },
		"none, then all, then none": func(at time.Duration, _ *rand.Rand) bool {
			return at > 10*time.Second && at < 25*time.Second
		},
		"jumps": func(at time.Duration, r *rand.Rand) bool {
			return r.Float64() < []float64{0.1, 0.9, 0.3, 0.7}[int(at/(3*time.Second))%4]
		},
		"nearly all": func(_ time.Duration, r *rand.Rand) bool { return r.Float64() < 0.92 },
		"all, then most": func(at time.Duration, r *rand.Rand) bool {
			return r.Float64() < []float64{1, 0.8}[int(at/(3*time.Second))%2]
		},
		"all, then none, again and again": func(at time.Duration, _ *rand.Rand) bool { return int(at/(7*time.Second))%2 == 0 },
		"most, then all for a second": func(at time.Duration, r *rand.Rand) bool {
			return int(at/time.Second)%6 == 0 || r.Float64() < 0.9
		},
		"all, then none for a second": func(at time.Duration, r *rand.Rand) bool {
			return int(at/time.Second)%5 != 0 && r.Float64() < 0.97
		},
		"alternating seconds": func(at time.Duration, _ *rand.Rand) bool { return int(at/time.Second)%2 == 0 },
	}
	for name, wants := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Repeatable.
				s := remoteShare{maxStep: maxStep}
				buckets := int(duration / bucket)
				remotes, totals := make([]float64, buckets+1), make([]float64, buckets+1)
				for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
					s.advance(core.Instant(time.Hour + at))
					wanted := wants(at, random)
					s.decide(wanted)
					remote := wanted && s.allowsRemote() || !wanted && s.requiresRemote()
					s.record(remote, false)
					totals[at/bucket]++
					if remote {
						remotes[at/bucket]++
					}
				}
				share := func(from int) float64 {
					remote, total := 0.0, 0.0
					for i := from; i < from+span; i++ {
						remote, total = remote+remotes[i], total+totals[i]
					}
					return remote / total
				}
				for from := span; from+2*span <= buckets; from++ {
					change := math.Abs(share(from+span) - share(from))
					assert.Assert(t, change <= maxStep, "seed %d: the share changes by %.3f at %v", seed, change, time.Duration(from+span)*bucket)
				}
			}
		})
	}
}
