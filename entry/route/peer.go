package route

import (
	"time"

	"ebonyrouter.dev/core"
)

// loadMaxAge is the age from which a load is no information. A host reports changes at most every 100 ms and
// an unchanged load every 5 s; a host whose link is down is no candidate whatever its report says.
const loadMaxAge = 6 * time.Second

// probeAfter is the age from which a report that leaves nothing for other regions may be outdated: reports are bounded in
// bytes, and without requests no response brings a newer one. Without probes a shift stood still for up to 2 s.
const probeAfter = 200 * time.Millisecond

// peer is what is known about the load of one entry process; the Router's mutex guards it.
type peer struct {
	// at is the time of the newest full report; a service that it does not name has no slots.
	at       core.Instant
	region   string
	sequence int64
	services map[string]*peerLoad
	zone     string
}

// peerLoad is the newest load of one service at a peer and the number of requests sent to it since.
type peerLoad struct {
	at   core.Instant
	load core.ServiceLoad
	// probedAt is when a request of another region was last sent although nothing was left for it.
	probedAt core.Instant
	sent     int
}

// heard returns the load of a service, or false if it is unknown or too old.
func (p *peer) heard(service string, now core.Instant) (peerLoad, bool) {
	if p == nil {
		return peerLoad{}, false
	}
	if l := p.services[service]; l != nil {
		return *l, now.Sub(l.at) < loadMaxAge
	}
	return peerLoad{}, p.fresh(now)
}

// fresh reports whether the newest full report is recent enough to be used.
func (p *peer) fresh(now core.Instant) bool {
	return p.at != 0 && now.Sub(p.at) < loadMaxAge
}

// free returns the free slots minus the own requests sent since.
func (l *peerLoad) free() int {
	return l.load.FreeSlots - l.sent
}

// spare returns the free slots above the reserve for requests of the own region. When the report is old and says none, one
// request at a time may ask; the owner decides with what it knows.
func (l *peerLoad) spare(reserve int, now core.Instant) int {
	free := l.free() - reserve
	if free > 0 || l.load.Slots == 0 || now.Sub(max(l.at, l.probedAt)) < probeAfter {
		return free
	}
	return 1
}

// wait returns the expected wait of one more request.
func (l *peerLoad) wait() time.Duration {
	share := l.load.WaitMs * int64(time.Millisecond) / int64(l.load.Queued+1)
	return time.Duration(share * int64(l.load.Queued+1+l.sent))
}
