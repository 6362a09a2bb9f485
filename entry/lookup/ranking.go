package lookup

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// targetLists is the approximate number of lists in a ranking. It is large enough to spread the clients of a failed host over
// many others. The exact number is a multiple of the number of hosts in the first group, so that each of them comes first
// equally often.
const targetLists = 256

// ranking holds the ranked host lists for one rankingKey, one list for each hash bucket.
type ranking []hostList

// hostList is one ranked list of hosts and its JSON encoding.
type hostList struct {
	hosts []core.LookupHost
	json  []byte
}

// newRanking returns a ranking that keeps the order of the groups; each list holds at most length hosts.
func newRanking(groups [][]core.LookupHost, length int) (ranking, error) {
	groups = slices.DeleteFunc(slices.Clone(groups), func(g []core.LookupHost) bool { return len(g) == 0 })
	if len(groups) == 0 || length < 1 {
		return nil, nil
	}
	firstSize := len(groups[0])
	r := make(ranking, firstSize*max(1, targetLists/firstSize))
	total := len(slices.Concat(groups...))
	length = min(length, total)
	scratch := make([]core.LookupHost, 0, total)
	for bucket := range r {
		hosts := orderHosts(groups, bucket, length, scratch)
		text, err := json.Marshal(hosts)
		if err != nil {
			return nil, errors.Annotate(err, "encode a ranked host list")
		}
		r[bucket] = hostList{hosts: hosts, json: text}
	}
	return r, nil
}

// pick returns the list for a client hash, or nil if there are no hosts.
func (r ranking) pick(hash uint32) *hostList {
	if len(r) == 0 {
		return nil
	}
	return &r[uint64(hash)*uint64(len(r))>>32]
}

// maxReserved is the number of positions at the end of a list that are reserved for the next groups: the other zones of the
// region and the nearest other region. When a list contained hosts of only one zone or region and that zone or region failed,
// its clients reached no host until the list expired.
const maxReserved = 2

// orderHosts returns one list of at most length hosts: the groups in order, and the hosts of each group in a pseudo-random
// order that depends only on the bucket. It overwrites scratch.
func orderHosts(groups [][]core.LookupHost, bucket, length int, scratch []core.LookupHost) []core.LookupHost {
	hosts := make([]core.LookupHost, 0, length)
	reserved := min(maxReserved, length-1, len(groups)-1)
	for i, g := range groups {
		limit := length - max(0, reserved-i)
		// The seed is deterministic because all hosts must compute the same order.
		random := rand.New(rand.NewPCG(uint64(bucket), uint64(i)))
		scratch = append(scratch[:0], g...)
		for n := 0; n < len(scratch) && len(hosts) < limit; n++ {
			j := n + random.IntN(len(scratch)-n)
			if i == 0 && n == 0 {
				j = bucket % len(scratch)
			}
			scratch[n], scratch[j] = scratch[j], scratch[n]
			hosts = append(hosts, scratch[n])
		}
		if len(hosts) == length {
			break
		}
	}
	return slices.Clip(hosts)
}

// sortHosts sorts hosts by name.
func sortHosts(hosts []core.LookupHost) {
	slices.SortFunc(hosts, func(a, b core.LookupHost) int { return cmp.Compare(a.Host, b.Host) })
}
