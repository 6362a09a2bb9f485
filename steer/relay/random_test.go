package relay_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
	"ebonyrouter.dev/steer/relay"
)

// listing is the state of a store or a host: the objects and their revision, in an era.
type listing struct {
	asOf, era int64
	objects   map[string]int64
}

// apply applies the changes up to a revision. An object is NAME:REVISION.
func (l *listing) apply(t *testing.T, all []core.StoreChange, asOf int64) {
	t.Helper()
	for _, c := range all {
		var name string
		var revision int64
		_, err := fmt.Sscanf(string(c.Object), "%s %d", &name, &revision)
		assert.NilError(t, err)
		if c.Deleted {
			delete(l.objects, name)
		} else {
			l.objects[name] = revision
		}
	}
	l.asOf = asOf
}

// randomStore is a store with its history, per era.
type randomStore struct {
	listing
	// base is the revision at the begin of the era.
	base    int64
	changes []core.StoreChange
	// revisions holds the revisions of the changes.
	revisions []int64
	states    map[[2]int64]map[string]int64
}

func (s *randomStore) change(random *rand.Rand) {
	s.asOf++
	name := fmt.Sprint("o", random.IntN(6))
	_, exists := s.objects[name]
	c := core.StoreChange{Deleted: exists && random.IntN(3) == 0, Object: fmt.Appendf(nil, "%s %d", name, s.asOf)}
	if c.Deleted {
		delete(s.objects, name)
	} else {
		s.objects[name] = s.asOf
	}
	s.changes, s.revisions = append(s.changes, c), append(s.revisions, s.asOf)
	s.states[[2]int64{s.era, s.asOf}] = maps.Clone(s.objects)
}

// since returns the changes after a revision.
func (s *randomStore) since(after int64) []core.StoreChange {
	var all []core.StoreChange
	for i, c := range s.changes {
		if s.revisions[i] > after {
			all = append(all, c)
		}
	}
	return all
}

// restore returns the store to an older state of the era before.
func (s *randomStore) restore(random *rand.Rand) {
	back := max(s.base, s.asOf-random.Int64N(5))
	s.base = back
	s.objects = maps.Clone(s.states[[2]int64{s.era, back}])
	s.era, s.asOf = s.era+1, back
	for len(s.revisions) > 0 && s.revisions[len(s.revisions)-1] > back {
		s.revisions, s.changes = s.revisions[:len(s.revisions)-1], s.changes[:len(s.changes)-1]
	}
	s.states[[2]int64{s.era, back}] = maps.Clone(s.objects)
}

func (s *randomStore) list() listing { return listing{s.asOf, s.era, maps.Clone(s.objects)} }

// TestHostsHaveTheStateOfTheStore guards against a host whose objects differ from those of the store at its revision after any sequence of
// changes, lists, restarts, lost role and restores: changes that are missing, repeated in a wrong order or of another era.
func TestHostsHaveTheStateOfTheStore(t *testing.T) {
	relayed := 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		z := newZone(t, "a", "b")
		s := &randomStore{base: 100, listing: listing{100, 0, map[string]int64{}}, states: map[[2]int64]map[string]int64{{0, 100}: {}}}
		a, b := s.list(), s.list()
		record := func(after int64, all []core.StoreChange) {
			z.hosts["a"].Record(kind, &relay.Response{After: after, AsOf: a.asOf, Changes: all, CurrentAt: z.clock.Now(), Era: a.era})
		}
		for range 2000 {
			switch action := random.IntN(40); {
			case action < 12:
				s.change(random)
			case action < 22 && a.era == s.era:
				after, all := a.asOf, s.since(a.asOf)
				a.apply(t, all, s.asOf)
				record(after, all)
			case action == 22 || a.era != s.era && action < 22:
				a = s.list()
				record(a.asOf, nil)
			case action == 23:
				z.start("a")
			case action == 24:
				z.relays["a"] = map[bool][]string{true: {"a"}, false: {"b"}}[random.IntN(2) == 0]
			case action == 25:
				s.restore(random)
			case action == 26:
				z.hosts["a"].RecordFailure(kind)
			case action == 27:
				b = s.list()
			default:
				payload, err := wire.Encode(core.StoreChangesGet{After: b.asOf, Era: b.era, Kind: kind})
				assert.NilError(t, err)
				body, err := z.handlers["a"](t.Context(), "b", payload)
				if err != nil {
					continue
				}
				var reply core.StoreChanges
				assert.NilError(t, wire.Decode(body, &reply))
				relayed++
				b.apply(t, reply.Changes, reply.AsOf)
				want, found := s.states[[2]int64{b.era, b.asOf}]
				assert.Assert(t, found, "seed %d: no revision %d in era %d", seed, b.asOf, b.era)
				assert.DeepEqual(t, b.objects, want)
			}
		}
	}
	t.Logf("%d replies of the relay", relayed)
	assert.Assert(t, relayed > 1000, "too few replies were compared")
}
