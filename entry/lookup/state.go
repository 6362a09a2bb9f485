package lookup

import (
	"net/netip"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
)

// state holds all data that lookups read. It is immutable.
type state struct {
	// services holds the rankings of each service: one element for each site in the order of the table, and a last one for
	// clients in no block.
	services map[string][]siteRankings
	table    *Table
}

// newState computes the rankings of all services and sites.
func newState(s *core.Snapshot, hosts []core.Host, table *Table) (*state, error) {
	b := newRankingBuilder(s, hosts)
	st := &state{services: map[string][]siteRankings{}, table: table}
	for name := range s.Settings.Services {
		policies := s.Policies[name]
		fallback := mostRestrictive(policies)
		for _, site := range table.sites {
			policy, ok := policies[site.Zone]
			if !ok {
				policy = fallback
			}
			if err := st.add(b, s.Head.Revision, name, site, policy); err != nil {
				return nil, errors.Trace(err)
			}
		}
		if err := st.add(b, s.Head.Revision, name, blocks.Site{Weight: blocks.MaxWeight}, fallback); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return st, nil
}

// add appends the rankings of a service for one site.
func (st *state) add(b *rankingBuilder, revision int64, service string, site blocks.Site, policy core.EffectivePolicy) error {
	response := core.LookupResponse{Revision: revision, Service: service, Site: site.Name, ValidMs: policy.LookupValidMs}
	rankings, err := newSiteRankings(b, response, site, policy.LookupHosts)
	if err != nil {
		return errors.Annotatef(err, "site %q", site.Name)
	}
	st.services[service] = append(st.services[service], rankings)
	return nil
}

// find returns the host list for a client and the rankings that contain the other response fields.
func (st *state) find(service string, client netip.Addr) (*siteRankings, *hostList, error) {
	sites, ok := st.services[service]
	if !ok {
		return nil, nil, ErrUnknownService
	}
	client = client.Unmap()
	k := key(client)
	site, ok := st.table.find(client, k)
	if !ok {
		site = len(sites) - 1
	}
	rankings := &sites[site]
	list := rankings.pick(hash(k))
	if list == nil {
		return nil, nil, ErrNoHosts
	}
	return rankings, list, nil
}

// mostRestrictive returns the shortest list validity and the smallest list length of all zones, for clients whose zone is
// unknown.
func mostRestrictive(policies map[string]core.EffectivePolicy) core.EffectivePolicy {
	var result core.EffectivePolicy
	for _, p := range policies {
		if result.LookupHosts == 0 || p.LookupHosts < result.LookupHosts {
			result.LookupHosts = p.LookupHosts
		}
		if result.LookupValidMs == 0 || p.LookupValidMs < result.LookupValidMs {
			result.LookupValidMs = p.LookupValidMs
		}
	}
	return result
}
