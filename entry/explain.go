package main

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"ebonyrouter.dev/core"
)

// explanation shows an operator how this process would route a request now.
type explanation struct {
	Client  string               `json:"client,omitempty"`
	Error   string               `json:"error,omitempty"`
	Hop     string               `json:"hop,omitempty"`
	HopHost string               `json:"hop_host,omitempty"`
	Local   core.ServiceLoad     `json:"local"`
	Lookup  core.LookupResponse  `json:"lookup"`
	Policy  core.EffectivePolicy `json:"policy"`
	Service string               `json:"service"`
	Targets []explainedTarget    `json:"targets"`
	Zone    string               `json:"zone"`
}

// explainedTarget is the state of a target in the local region, with its owner.
type explainedTarget struct {
	InUse   int    `json:"in_use"`
	LeaseMs int64  `json:"lease_ms"`
	Owner   string `json:"owner"`
	Slots   int    `json:"slots"`
	Target  string `json:"target"`
	Zone    string `json:"zone"`
}

// explain returns the routing decision for a service and a client address. An unknown service is reported as an error; an
// address that cannot be parsed leaves the lookup empty.
func (p *process) explain(service, client string) explanation {
	e := explanation{Client: client, Service: service, Zone: *p.options.Zone}
	snapshot := p.settings.Current()
	if snapshot == nil {
		e.Error = "no settings in force"
		return e
	}
	if _, ok := snapshot.Settings.Services[service]; !ok {
		e.Error = "service " + service + " is not in the settings"
		return e
	}
	e.Policy = snapshot.Policies[service][*p.options.Zone]
	e.Local = p.limiter.ServiceLoad(service)
	e.Targets = p.explainTargets(snapshot, service)
	p.explainLookup(&e)
	p.explainHop(&e)
	return e
}

// explainHop adds the next hop of a request to the explanation.
func (p *process) explainHop(e *explanation) {
	deadline := p.timer.Now().Add(time.Duration(e.Policy.DeadlineMs) * time.Millisecond)
	hop, err := p.router.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{
		Deadline: deadline, FromRegion: *p.options.Region, Service: e.Service,
	}})
	if err != nil {
		e.Error = err.Error()
		return
	}
	e.Hop = string(hop.Kind)
	e.HopHost = hop.Peer.Host
}

// explainLookup adds the result of a lookup by the client to the explanation.
func (p *process) explainLookup(e *explanation) {
	address, err := netip.ParseAddr(e.Client)
	if err != nil {
		return
	}
	result, err := p.lookup.Lookup(e.Service, address)
	if err != nil {
		e.Error = err.Error()
		return
	}
	e.Lookup = result
}

// explainTargets returns the targets of a service in the local region, sorted by name.
func (p *process) explainTargets(snapshot *core.Snapshot, service string) []explainedTarget {
	inUse := p.limiter.InUse()
	now := p.timer.Now()
	var targets []explainedTarget
	for name, target := range snapshot.Settings.Services[service].Targets {
		if snapshot.RegionOf[target.Zone] != *p.options.Region {
			continue
		}
		object := core.TargetObject(service, name)
		t := explainedTarget{InUse: inUse[object], Slots: target.Slots, Target: name, Zone: target.Zone}
		if owner, ok := p.holder.Owner(*p.options.Region, object); ok {
			t.Owner = owner.Host
		}
		if until, ok := p.holder.Owns(object); ok {
			t.LeaseMs = until.Sub(now).Milliseconds()
		}
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b explainedTarget) int { return strings.Compare(a.Target, b.Target) })
	return targets
}
