package lookup

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
)

// siteIndex answers the look-ups of one service from one site.
type siteIndex struct {
	// answer has no hosts; they are in the list of the client's hash.
	answer core.LookupAnswer
	away   ranking
	home   ranking
	// tail is the JSON form of the answer behind its hosts.
	tail   []byte
	weight uint32
}

func newSiteIndex(p *planner, answer core.LookupAnswer, site blocks.Site, length int64) (siteIndex, error) {
	text, err := json.Marshal(answer)
	if err != nil {
		return siteIndex{}, errors.Annotatef(err, "encoding the answer of service %q", answer.Service)
	}
	tail, ok := bytes.CutPrefix(text, []byte(`{"hosts":null`))
	if !ok {
		return siteIndex{}, errors.Errorf("the answer %s does not start with its hosts", text)
	}
	x := siteIndex{answer: answer, tail: tail, weight: uint32(site.Weight)}
	x.home, err = p.ranking(place{length: int(length), zone: site.Zone})
	if err != nil {
		return siteIndex{}, errors.Trace(err)
	}
	x.away = x.home
	if site.Weight < blocks.MaxWeight {
		x.away, err = p.ranking(place{away: true, length: int(length), zone: site.Zone})
	}
	return x, errors.Trace(err)
}

// pick returns the list of a client hash: the upper half decides about the weight, the lower half picks the bucket.
func (x *siteIndex) pick(hash uint64) *list {
	if uint32(hash>>32)%blocks.MaxWeight < x.weight {
		return x.home.pick(uint32(hash))
	}
	return x.away.pick(uint32(hash))
}
