package lookup

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// A ranking has a multiple of as many lists as its first group has hosts, so that each of them comes first equally often,
// and about minLists of them, so that the clients of a failed host are spread over many others.
const minLists = 256

// ranking holds the ranked lists of one place, one for each hash bucket.
type ranking []list

// list is one ranked list and its JSON form.
type list struct {
	hosts []core.LookupHost
	json  []byte
}

// newRanking ranks the groups in order; each list holds at most length hosts.
func newRanking(groups [][]core.LookupHost, length int) (ranking, error) {
	groups = slices.DeleteFunc(slices.Clone(groups), func(g []core.LookupHost) bool { return len(g) == 0 })
	if len(groups) == 0 || length < 1 {
		return nil, nil
	}
	first := len(groups[0])
	r := make(ranking, first*max(1, minLists/first))
	total := len(slices.Concat(groups...))
	length = min(length, total)
	scratch := make([]core.LookupHost, 0, total)
	for bucket := range r {
		hosts := rank(groups, bucket, length, scratch)
		text, err := json.Marshal(hosts)
		if err != nil {
			return nil, errors.Annotate(err, "encoding a ranked list")
		}
		r[bucket] = list{hosts: hosts, json: text}
	}
	return r, nil
}

// pick returns the list of a client hash, or nil if there is no host.
func (r ranking) pick(hash uint32) *list {
	if len(r) == 0 {
		return nil
	}
	return &r[uint64(hash)*uint64(len(r))>>32]
}

// maxReserved is the number of places at the end of a list that are kept for the next groups: the rest of the region
// and the nearest other region. A list of hosts of one zone or region stranded its callers when that was lost, until
// the list expired.
const maxReserved = 2

// rank returns the first hosts of the groups, each group in an order that depends only on the bucket; scratch is
// overwritten.
func rank(groups [][]core.LookupHost, bucket, length int, scratch []core.LookupHost) []core.LookupHost {
	hosts := make([]core.LookupHost, 0, length)
	reserved := min(maxReserved, length-1, len(groups)-1)
	for i, g := range groups {
		most := length - max(0, reserved-i)
		// The order must be the same on every host.
		random := rand.New(rand.NewPCG(uint64(bucket), uint64(i)))
		scratch = append(scratch[:0], g...)
		for n := 0; n < len(scratch) && len(hosts) < most; n++ {
			other := n + random.IntN(len(scratch)-n)
			if i == 0 && n == 0 {
				other = bucket % len(scratch)
			}
			scratch[n], scratch[other] = scratch[other], scratch[n]
			hosts = append(hosts, scratch[n])
		}
		if len(hosts) == length {
			break
		}
	}
	return slices.Clip(hosts)
}

func sortHosts(hosts []core.LookupHost) {
	slices.SortFunc(hosts, func(a, b core.LookupHost) int { return cmp.Compare(a.Host, b.Host) })
}
