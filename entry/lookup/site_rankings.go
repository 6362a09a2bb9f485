package lookup

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
)

// siteRankings holds the rankings and the response fields for lookups of one service by clients of one site.
type siteRankings struct {
	// response lacks the hosts, which come from the list for the client's hash.
	response core.LookupResponse
	// otherZonesFirst ranks the other zones of the region before the site's zone.
	otherZonesFirst ranking
	// zoneFirst ranks the site's zone first.
	zoneFirst ranking
	// jsonTail is the JSON encoding of response after the hosts.
	jsonTail []byte
	// weight is the percentage of clients that get a list of zoneFirst.
	weight uint32
}

// newSiteRankings returns the rankings of a site, with lists of at most length hosts.
func newSiteRankings(b *rankingBuilder, response core.LookupResponse, site blocks.Site, length int64) (siteRankings, error) {
	text, err := json.Marshal(response)
	if err != nil {
		return siteRankings{}, errors.Annotatef(err, "encode the lookup response of service %q", response.Service)
	}
	tail, ok := bytes.CutPrefix(text, []byte(`{"hosts":null`))
	if !ok {
		return siteRankings{}, errors.Errorf("lookup response %s does not start with its hosts", text)
	}
	s := siteRankings{response: response, jsonTail: tail, weight: uint32(site.Weight)}
	s.zoneFirst, err = b.ranking(rankingKey{length: int(length), zone: site.Zone})
	if err != nil {
		return siteRankings{}, errors.Trace(err)
	}
	s.otherZonesFirst = s.zoneFirst
	if site.Weight < blocks.MaxWeight {
		s.otherZonesFirst, err = b.ranking(rankingKey{otherZonesFirst: true, length: int(length), zone: site.Zone})
	}
	return s, errors.Trace(err)
}

// pick returns the list for a client hash, or nil if there are no hosts. The upper half of the hash selects the ranking by
// weight, the lower half selects the bucket.
func (s *siteRankings) pick(hash uint64) *hostList {
	if uint32(hash>>32)%blocks.MaxWeight < s.weight {
		return s.zoneFirst.pick(uint32(hash))
	}
	return s.otherZonesFirst.pick(uint32(hash))
}
