package place

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// loadFreshAge is the age up to which a target's own load report takes precedence over the reports of peers.
	loadFreshAge = 300 * time.Millisecond
	// peerReportMaxAge is the age beyond which a peer report is stale.
	peerReportMaxAge = 1500 * time.Millisecond
)

// peerReport is the newest report received from another host.
type peerReport struct {
	received core.Instant
	// counts holds the in-flight requests of the host by the low 32 bits of the target's hash.
	counts map[uint32]int
}

// ApplyReport replaces the last report of another host and updates the number of peer requests at each target.
func (p *Placer) ApplyReport(report core.InFlight) {
	now := p.Timer.Now()
	r := peerReport{received: now, counts: make(map[uint32]int, len(report.Targets))}
	for i, target := range report.Targets {
		r.counts[target] = report.Counts[i]
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.peerReports[report.Host] = r
	p.sumPeerReports(now)
}

// InFlight returns the report of this host. Each call updates the measured request rate.
func (p *Placer) InFlight() core.InFlight {
	now := p.Timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report := core.InFlight{Host: p.Host, Rate: p.requestRate.update(now)}
	for _, t := range p.targets {
		if t.inFlight > 0 {
			report.Targets = append(report.Targets, uint32(t.hash)) //nolint:gosec // A part of the hash is enough.
			report.Counts = append(report.Counts, t.inFlight)
		}
	}
	return report
}

// sumPeerReports drops stale reports and adds up the requests of the other hosts at each target; the mutex must be held.
func (p *Placer) sumPeerReports(now core.Instant) {
	for host, r := range p.peerReports {
		if now.Sub(r.received) > peerReportMaxAge {
			delete(p.peerReports, host)
		}
	}
	for _, t := range p.targets {
		t.peerRequests = 0
		for _, r := range p.peerReports {
			t.peerRequests += r.counts[uint32(t.hash)] //nolint:gosec // A part of the hash is enough.
		}
		t.peersTime = now
	}
}
