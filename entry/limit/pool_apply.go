package limit

import (
	"slices"

	"ebonyrouter.dev/core"
)

// apply adopts a revision of the settings. If it lowers the slots of a target, in-flight requests keep theirs.
func (p *pool) apply(s *core.Snapshot, now core.Instant) {
	firstRevision := p.snapshot == nil
	p.snapshot = s
	p.policy = s.Policies[p.service][p.config.Zone]
	existing := make(map[string]*target, len(p.targets))
	for _, t := range p.targets {
		t.removed = true
		existing[t.ref.Target] = t
	}
	for name, settings := range s.Settings.Services[p.service].Targets {
		if s.RegionOf[settings.Zone] != p.config.Region {
			continue
		}
		t := existing[name]
		cold := !firstRevision
		if t == nil {
			t = &target{object: core.TargetObject(p.service, name)}
			p.targets = append(p.targets, t)
		} else {
			// A changed address means another upstream, and a drained upstream has usually been stopped.
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
	t.localZone = settings.Zone == p.config.Zone
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

// prune deletes targets that were removed from the settings and have no in-flight requests.
func (p *pool) prune() {
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		return t.removed && t.inFlight == 0
	})
}

// recordOutcome updates the service times of the pool and the health of the target.
func (p *pool) recordOutcome(g *grant, outcome core.Outcome, now core.Instant) {
	t := g.target
	serviceTime := now.Sub(g.grantedAt)
	if outcome.Failed {
		t.recordFault(now)
		t.consecutiveFailures++
		if serviceTime > p.meanServiceTime {
			// Slow failures occupy slots too; fast ones would make the expected wait too short.
			p.meanServiceTime += (serviceTime - p.meanServiceTime) / serviceTimeDivisor
		}
		// Failures during an ejection, such as those of requests that began before it, do not extend it.
		ejectionEnded := !t.ejected || !now.Before(t.ejectedUntil)
		if ejectionEnded && t.consecutiveFailures >= t.policy.EjectFailures && t.policy.EjectFailures > 0 {
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
	if p.meanServiceTime == 0 {
		p.meanServiceTime = serviceTime
		p.serviceTimeDeviation = serviceTime / 2
	}
	p.serviceTimeDeviation += ((serviceTime - p.meanServiceTime).Abs() - p.serviceTimeDeviation) / serviceTimeDivisor
	p.meanServiceTime += (serviceTime - p.meanServiceTime) / serviceTimeDivisor
	t.recordSuccess(now, outcome.Latency)
}

// mayEject reports whether the ejected targets including t stay within eject_max_percent of the owned targets.
func (p *pool) mayEject(t *target) bool {
	owned, ejected := 0, 1
	for _, other := range p.targets {
		if other.blocked() {
			continue
		}
		owned++
		if other != t && other.ejected && !other.lastResort {
			ejected++
		}
	}
	return int64(ejected)*fullPercent <= int64(owned)*t.policy.EjectMaxPercent
}
