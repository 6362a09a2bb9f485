package ring_test

import (
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core/ring"
)

// Guards against lost, reordered or wrongly dropped entries by comparing the ring with a model on a slice.
func TestRingAgainstSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]int{1, 2, 3, 4, 5, 8, 11, 20}).Draw(t, "capacity")
		rule := rapid.SampledFrom([]ring.Rule{ring.RuleReject, ring.RuleDropOldest}).Draw(t, "rule")
		r := ring.New(capacity, rule)
		var model []ring.Entry
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if len(model) > 0 && rapid.Bool().Draw(t, "take") {
				e, err := r.Take()
				assert.NilError(t, err)
				assert.Equal(t, e, model[0])
				model = model[1:]
				continue
			}
			e := ring.Entry{Droppable: rapid.Bool().Draw(t, "droppable"), Value: i}
			var accepted bool
			model, accepted = put(model, e, capacity, rule)
			assert.Equal(t, errors.Is(r.Put(e), ring.ErrFull), !accepted)
		}
		assert.Equal(t, r.Len(), len(model))
		assert.DeepEqual(t, append([]ring.Entry{}, r.Drain()...), append([]ring.Entry{}, model...))
	})
}

// Guards against a consumer that keeps waiting after Close, and against entries that are lost between goroutines.
func TestRingConcurrency(t *testing.T) {
	const producers, entriesEach = 4, 500
	r := ring.New(8, ring.RuleReject)
	var wg sync.WaitGroup
	for range producers {
		wg.Go(func() {
			for n := 0; n < entriesEach; {
				if r.Put(ring.Entry{Value: n}) == nil {
					n++
				}
			}
		})
	}
	for range producers * entriesEach {
		_, err := r.Take()
		assert.NilError(t, err)
	}
	wg.Wait()
	assert.Equal(t, r.Stats().Accepted, int64(producers*entriesEach))
	wg.Go(r.Close)
	_, err := r.Take()
	assert.ErrorIs(t, err, ring.ErrClosed)
	wg.Wait()
	assert.ErrorIs(t, r.Put(ring.Entry{}), ring.ErrClosed)
}

// put is the model of Ring.Put; it returns the new content and whether the entry was accepted.
func put(model []ring.Entry, e ring.Entry, capacity int, rule ring.Rule) ([]ring.Entry, bool) {
	if len(model) < capacity {
		return append(model, e), true
	}
	for i, old := range model {
		if rule == ring.RuleDropOldest && old.Droppable {
			return append(append(append([]ring.Entry{}, model[:i]...), model[i+1:]...), e), true
		}
	}
	return model, false
}

// BenchmarkNew measures the memory of an empty ring, of which there is one per link.
func BenchmarkNew(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = ring.New(1024, ring.RuleDropOldest)
	}
}

// BenchmarkPutTake measures the cost of adding and taking one entry.
func BenchmarkPutTake(b *testing.B) {
	r := ring.New(1024, ring.RuleDropOldest)
	b.ReportAllocs()
	for b.Loop() {
		_ = r.Put(ring.Entry{})
		_, _ = r.Take()
	}
}
