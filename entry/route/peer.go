package route

import (
	"time"

	"ebonyrouter.dev/core"
)

// loadMaxAge is the age from which a load report is stale. A host reports changes at most every 100 ms and an unchanged
// load every 5 s. A host whose link is down is never a candidate, whatever its last report.
const loadMaxAge = 6 * time.Second

// probeAfter is the age from which a report without free slots for other regions may be outdated: reports are limited in
// bytes, and without requests no response carries a newer load. Without probes a shift stalled for up to 2 s.
const probeAfter = 200 * time.Millisecond

// peer is the last known load of one entry process; the Router's mutex guards it.
type peer struct {
	// reportedAt is the time of the newest full report. A service that is missing in the report has no slots there.
	reportedAt core.Instant
	region     string
	sequence   int64
	services   map[string]*peerLoad
	zone       string
}

// peerLoad is the newest load of one service at a peer and the number of requests sent there since.
type peerLoad struct {
	updatedAt core.Instant
	load      core.ServiceLoad
	// probedAt is the time of the last probe, which is a request sent to a peer of another region although its report shows no
	// free slots above the reserve.
	probedAt core.Instant
	sent     int
}

// load returns the load of a service, or false if it is unknown or stale.
func (p *peer) load(service string, now core.Instant) (peerLoad, bool) {
	if p == nil {
		return peerLoad{}, false
	}
	if l := p.services[service]; l != nil {
		return *l, now.Sub(l.updatedAt) < loadMaxAge
	}
	return peerLoad{}, p.fresh(now)
}

// fresh reports whether the newest full report is recent enough to be used.
func (p *peer) fresh(now core.Instant) bool {
	return p.reportedAt != 0 && now.Sub(p.reportedAt) < loadMaxAge
}

// freeSlots returns the reported free slots minus the requests that this host has sent since.
func (l *peerLoad) freeSlots() int {
	return l.load.FreeSlots - l.sent
}

// spareSlots returns the free slots above the reserve for requests of the peer's own region. If an outdated report shows
// none, it returns 1 to permit a single probe, which the owner accepts or rejects by its current load.
func (l *peerLoad) spareSlots(reserve int, now core.Instant) int {
	free := l.freeSlots() - reserve
	if free > 0 || l.load.Slots == 0 || now.Sub(max(l.updatedAt, l.probedAt)) < probeAfter {
		return free
	}
	return 1
}

// wait returns the expected wait of one more request: the reported wait, extended by the requests sent since.
func (l *peerLoad) wait() time.Duration {
	perRequest := l.load.WaitMs * int64(time.Millisecond) / int64(l.load.Queued+1)
	return time.Duration(perRequest * int64(l.load.Queued+1+l.sent))
}
