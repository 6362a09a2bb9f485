package lookup

import (
	"net/netip"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
)

// state is everything that a look-up reads; it never changes.
type state struct {
	// services maps each service to its sites in the order of the table; the last one is for unknown blocks.
	services map[string][]siteIndex
	table    *Table
}

func newState(s *core.Snapshot, hosts []core.Host, table *Table) (*state, error) {
	p := newPlanner(s, hosts)
	x := &state{services: map[string][]siteIndex{}, table: table}
	for name := range s.Settings.Services {
		policies := s.Policies[name]
		fallback := least(policies)
		for _, site := range table.sites {
			policy, ok := policies[site.Zone]
			if !ok {
				policy = fallback
			}
			if err := x.add(p, s.Head.Revision, name, site, policy); err != nil {
				return nil, errors.Trace(err)
			}
		}
		if err := x.add(p, s.Head.Revision, name, blocks.Site{Weight: blocks.MaxWeight}, fallback); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return x, nil
}

func (x *state) add(p *planner, revision int64, service string, site blocks.Site, policy core.EffectivePolicy) error {
	answer := core.LookupAnswer{Revision: revision, Service: service, Site: site.Name, ValidMs: policy.LookupValidMs}
	i, err := newSiteIndex(p, answer, site, policy.LookupHosts)
	if err != nil {
		return errors.Annotatef(err, "site %q", site.Name)
	}
	x.services[service] = append(x.services[service], i)
	return nil
}

// find returns the list and the rest of the answer of one look-up.
func (x *state) find(service string, client netip.Addr) (*siteIndex, *list, error) {
	sites, ok := x.services[service]
	if !ok {
		return nil, nil, ErrUnknownService
	}
	client = client.Unmap()
	k := key(client)
	site, ok := x.table.find(client, k)
	if !ok {
		site = len(sites) - 1
	}
	i := &sites[site]
	l := i.pick(hash(k))
	if l == nil {
		return nil, nil, ErrNoHosts
	}
	return i, l, nil
}

// least returns the shortest validity and list of all zones, for clients whose zone is unknown.
func least(policies map[string]core.EffectivePolicy) core.EffectivePolicy {
	var l core.EffectivePolicy
	for _, p := range policies {
		if l.LookupHosts == 0 || p.LookupHosts < l.LookupHosts {
			l.LookupHosts = p.LookupHosts
		}
		if l.LookupValidMs == 0 || p.LookupValidMs < l.LookupValidMs {
			l.LookupValidMs = p.LookupValidMs
		}
	}
	return l
}
