package spread

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	testKeys = 40000
	// maxMoved bounds the keys that move, relative to the least possible number.
	maxMoved = 1.1
	// maxDeviation bounds the standard deviation of the targets' shares of the keys, relative to their sizes.
	maxDeviation = 0.11
)

// owners returns the preferred member of each test key.
func owners(members []Member, pointsPerWeight, probes int) []int {
	r := New(members, pointsPerWeight, probes)
	result := make([]int, testKeys)
	for i := range result {
		walk := r.Walk(mix(uint64(i))) //nolint:gosec // Not negative.
		result[i], _ = walk.Next()
	}
	return result
}

// members returns members of weights 2, 3 and 4.
func members(count int) []Member {
	all := make([]Member, count)
	for i := range all {
		all[i] = Member{Hash: mix(uint64(i) * 7919), Weight: 2 + i%3} //nolint:gosec // Not negative.
	}
	return all
}

// weights returns the weight of each member relative to all.
func weights(all []Member) []float64 {
	total, result := 0, make([]float64, len(all))
	for _, m := range all {
		total += m.Weight
	}
	for i, m := range all {
		result[i] = float64(m.Weight) / float64(total)
	}
	return result
}

// Guards against changes of the targets that move more keys than they have to, whatever the number of targets is, and against
// shares that do not follow the sizes. With one position and a number of points that depends on the size of the service, up to
// 0.58 of the keys moved where 0.25 had to.
func TestFewMoves(t *testing.T) {
	changed := func(all []Member) []Member {
		all[0].Weight *= 2
		return all
	}
	for name, change := range map[string]func(n int) (before, after []Member){
		"one joins":        func(n int) ([]Member, []Member) { return members(n), members(n + 1) },
		"one leaves":       func(n int) ([]Member, []Member) { return members(n), members(n - 1) },
		"a third joins":    func(n int) ([]Member, []Member) { return members(n), members(n + n/3) },
		"a third leaves":   func(n int) ([]Member, []Member) { return members(n), members(n - n/3) },
		"one size doubles": func(n int) ([]Member, []Member) { return members(n), changed(members(n)) },
	} {
		for _, count := range []int{3, 10, 100, 300, 1000} {
			t.Run(fmt.Sprintf("%s, %d targets", name, count), func(t *testing.T) {
				before, after := change(count)
				old, next := owners(before, 4, 8), owners(after, 4, 8)
				moved := 0
				for i := range old {
					if old[i] != next[i] {
						moved++
					}
				}
				least := 0.0
				oldWeights, newWeights := weights(before), weights(after)
				for i := range max(len(before), len(after)) {
					switch {
					case i >= len(before):
						least += newWeights[i]
					case i < len(after):
						least += max(0, newWeights[i]-oldWeights[i])
					}
				}
				// Three standard deviations of the number of sampled keys that must move, and of the arcs of one member.
				noise := 3 * math.Sqrt(least*testKeys) * (1 + maxDeviation*math.Sqrt(least*testKeys))
				assert.Assert(t, float64(moved) <= maxMoved*least*testKeys+noise, "%d keys moved, %.0f had to", moved, least*testKeys)
			})
		}
	}
}

// Guards against targets that get more or fewer keys than their size justifies.
func TestSharesFollowSizes(t *testing.T) {
	for _, count := range []int{3, 10, 100, 300, 1000} {
		t.Run(fmt.Sprint(count, " targets"), func(t *testing.T) {
			all := members(count)
			shares := weights(all)
			counts := make([]float64, count)
			for _, m := range owners(all, 4, 8) {
				counts[m]++
			}
			squares, sampling := 0.0, 0.0
			for i, n := range counts {
				expected := shares[i] * testKeys
				squares += (n/expected - 1) * (n/expected - 1)
				sampling += 1 / expected
			}
			deviation := math.Sqrt(max(0, squares-sampling) / float64(count))
			assert.Assert(t, deviation < maxDeviation, "the shares deviate by %.3f", deviation)
		})
	}
}

// Guards against an order that depends on the order of the members, in which hosts may have learned of them.
func TestSameOrderOnAllHosts(t *testing.T) {
	forward := members(100)
	backward := members(100)
	for i := range forward {
		backward[i] = forward[len(forward)-1-i]
	}
	a, b := New(forward, 4, 8), New(backward, 4, 8)
	for key := range uint64(1000) {
		first, second := a.Walk(mix(key)), b.Walk(mix(key))
		for range 8 {
			m, _ := first.Next()
			n, _ := second.Next()
			assert.Equal(t, forward[m].Hash, backward[n].Hash)
		}
	}
}

// BenchmarkWalk measures the first four members for a key of a service with 579 targets of 9 slots.
func BenchmarkWalk(b *testing.B) {
	all := make([]Member, 579)
	for i := range all {
		all[i] = Member{Hash: mix(uint64(i)), Weight: 9} //nolint:gosec // Not negative.
	}
	for _, probes := range []int{1, 8, 16} {
		r := New(all, 4, probes)
		b.Run(fmt.Sprint(probes, " positions"), func(b *testing.B) {
			b.ReportAllocs()
			key := uint64(0)
			for b.Loop() {
				key++
				walk := r.Walk(mix(key))
				for range 4 {
					walk.Next()
				}
			}
		})
	}
}
