package place

import "slices"

// recentKeysSize is the number of affinity keys that are kept for each target, which is more than targets remember.
const recentKeysSize = 96

// unseen is the distance of a key that is not among the recent ones, as slices.Index returns it.
const unseen = -1

// recentKeys holds the hashes of the affinity keys that this host sent to a target, the last one first.
type recentKeys []uint64

// distance returns the number of other keys that were sent after the last request with a key, or unseen.
func (r recentKeys) distance(key uint64) int {
	return slices.Index(r, key)
}

// use moves a key to the front. A new key replaces the oldest one if there are recentKeysSize of them.
func (r *recentKeys) use(key uint64) {
	keys := *r
	i := keys.distance(key)
	switch {
	case i != unseen:
	case len(keys) < recentKeysSize:
		keys = append(keys, key)
		i = len(keys) - 1
	default:
		i = len(keys) - 1
	}
	copy(keys[1:i+1], keys[:i])
	keys[0] = key
	*r = keys
}
