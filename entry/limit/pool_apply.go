package limit

import (
	"slices"

	"ebonyrouter.dev/core"
)

// apply takes over a revision of the settings; slots that are in use are never cut.
func (p *pool) apply(s *core.Snapshot, now core.Instant) {
	first := p.snapshot == nil
	p.snapshot = s
	p.policy = s.Policies[p.service][p.config.Zone]
	known := make(map[string]*target, len(p.targets))
	for _, t := range p.targets {
		t.removed = true
		known[t.ref.Target] = t
	}
	for name, settings := range s.Settings.Services[p.service].Targets {
		if s.RegionOf[settings.Zone] != p.config.Region {
			continue
		}
		t := known[name]
		cold := !first
		if t == nil {
			t = &target{object: core.TargetObject(p.service, name)}
			p.targets = append(p.targets, t)
		} else {
			// A changed address is another upstream, and a drained one was stopped as a rule.
			cold = t.ref.Address != settings.Address || t.drained && !p.drained(name, settings)
		}
		p.applyTarget(t, name, settings)
		if cold {
			t.restart(now)
		}
	}
	p.prune()
	slices.SortFunc(p.targets, compareTargets)
}

// applyTarget copies the settings of one target.
func (p *pool) applyTarget(t *target, name string, settings core.TargetSettings) {
	s := p.snapshot
	t.removed = false
	t.drained = p.drained(name, settings)
	t.ownZone = settings.Zone == p.config.Zone
	t.policy = s.Policies[p.service][settings.Zone]
	t.ref = core.TargetRef{
		Address:     settings.Address,
		Connections: settings.Connections,
		Service:     p.service,
		Slots:       settings.Slots,
		Target:      name,
		Zone:        settings.Zone,
	}
}

// drained reports whether the settings drain a target or its zone.
func (p *pool) drained(name string, settings core.TargetSettings) bool {
	drains := &p.snapshot.Settings.Drains
	return slices.Contains(drains.Targets, p.service+"/"+name) || slices.Contains(drains.Zones, settings.Zone)
}

// prune forgets targets that have left the settings and hold no slots.
func (p *pool) prune() {
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		return t.removed && t.inFlight == 0
	})
}

// record feeds an outcome to the health of the target.
func (p *pool) record(g *grant, outcome core.Outcome, now core.Instant) {
	t := g.target
	held := now.Sub(g.from)
	if outcome.Failed {
		t.recordFault(now)
		t.failures++
		if held > p.hold {
			// Slow failures hold slots too; fast ones must not make the expected wait look short.
			p.hold += (held - p.hold) / holdWeight
		}
		// Failures of requests that began before the ejection do not extend it.
		ended := !t.ejected || !now.Before(t.until)
		if ended && t.failures >= t.policy.EjectFailures && t.policy.EjectFailures > 0 {
			t.eject(now, !p.mayEject(t))
		}
		return
	}
	if outcome.Shed {
		t.recordFault(now)
		return
	}
	if outcome.Latency <= 0 {
		return
	}
	if p.hold == 0 {
		p.hold = held
		p.spread = held / 2
	}
	p.spread += ((held - p.hold).Abs() - p.spread) / holdWeight
	p.hold += (held - p.hold) / holdWeight
	t.recordSuccess(now, outcome.Latency)
}

// mayEject reports whether ejecting t stays within eject_max_percent of the owned targets.
func (p *pool) mayEject(t *target) bool {
	owned, ejected := 0, 1
	for _, other := range p.targets {
		if other.blocked() {
			continue
		}
		owned++
		if other != t && other.ejected && !other.soft {
			ejected++
		}
	}
	return int64(ejected)*fullPercent <= int64(owned)*t.policy.EjectMaxPercent
}
