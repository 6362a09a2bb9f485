package memory

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evictAfter is the time without a complete request after which a connection gives way to a new one. Callers send their request
	// as soon as they are connected, which takes less than two round trips of 16 ms.
	evictAfter = 500 * time.Millisecond
	// evictIdleAfter is the time since its last request after which a connection that has served one gives way.
	evictIdleAfter = 2 * time.Second
	// evictStalledAfter is the time for which a client makes the process wait for 64 KiB of a body or of a response, after which its
	// connection gives way although a request is in flight. It is longer than several clients share a slow link for such a part.
	evictStalledAfter = 2 * time.Second
	// evictBusyAfter is the age from which a connection gives way after the responses to the requests that it has read, although its client
	// always sends further ones.
	evictBusyAfter = 5 * time.Second
	// evictInterval is the time between two searches for connections that give way, and evictMax the number of those that end at a time.
	evictInterval = 20 * time.Millisecond
	evictMax      = 16
	// refuseTimeout limits the write of a refusal. It does not block, because the socket's buffer is empty.
	refuseTimeout = 10 * time.Millisecond
)

// RefusalHTTP answers a connection that is refused. It states that its request was not run.
const RefusalHTTP = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n"

// Listener bounds the connections of another listener and charges them to a budget. When there are too many, those that wait for their
// client give way to new ones, and others are refused. Its fields must not be changed after the first Accept.
type Listener struct {
	net.Listener
	// Budget is charged for the connections, or nil.
	Budget *Budget
	// HeaderLines is the largest number of lines of a request head.
	HeaderLines int64
	// MaxConns is the largest number of open connections.
	MaxConns int
	// Refusal is written to a connection that is refused, or empty.
	Refusal string

	conns    map[*Conn]struct{}
	evicted  atomic.Int64
	lastScan time.Time
	mutex    sync.Mutex
	prepared sync.Once
	refused  atomic.Int64
	// sockets bounds the socket buffers, or is nil to leave them to the kernel.
	sockets *sockets
}

var _ net.Listener = (*Listener)(nil)

// Accept implements net.Listener. The connections are of type *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	l.prepared.Do(func() {
		if l.sockets != nil {
			limitBacklog(l.Listener)
		}
	})
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw, time.Now()); c != nil {
			return c, nil
		}
		l.refused.Add(1)
		if l.Refusal != "" {
			_ = raw.SetWriteDeadline(time.Now().Add(refuseTimeout))
			_, _ = raw.Write([]byte(l.Refusal))
		}
		_ = raw.Close()
	}
}

// Evicted returns the number of connections that gave way to others.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

// Refused returns the number of connections that were refused.
func (l *Listener) Refused() int64 { return l.refused.Load() }

// admit returns the connection, or nil if it is refused.
func (l *Listener) admit(raw net.Conn, now time.Time) *Conn {
	if l.Open() >= l.MaxConns {
		l.evict(now)
	}
	c := newConn(raw, l, now)
	if !c.account.Reserve(connectionBytes) {
		return nil
	}
	l.mutex.Lock()
	full := len(l.conns) >= l.MaxConns
	if !full {
		if l.conns == nil {
			l.conns = map[*Conn]struct{}{}
		}
		l.conns[c] = struct{}{}
	}
	l.mutex.Unlock()
	if full {
		c.account.Close()
		return nil
	}
	if l.sockets != nil {
		l.sockets.add(c)
	}
	return c
}

// evict tells connections to give way to new ones.
func (l *Listener) evict(now time.Time) {
	l.mutex.Lock()
	if now.Sub(l.lastScan) < evictInterval {
		l.mutex.Unlock()
		return
	}
	l.lastScan = now
	chosen := l.candidates(now)
	for _, c := range chosen {
		c.leaving = true
	}
	l.mutex.Unlock()
	for _, c := range chosen {
		l.evicted.Add(1)
		c.giveWay()
	}
}

// candidates returns the connections that give way now, the oldest first: those that have waited without a complete request; if there are
// none, those whose clients make the process wait within a request, then those that have been idle for long, and then those that
// always have another request. The mutex must be held.
func (l *Listener) candidates(now time.Time) []*Conn {
	var groups [groupCount][]*Conn
	leaving, leavingBusy := 0, 0
	for c := range l.conns {
		// A connection may take a moment to end, in which a request that is on its way still arrives.
		switch g := c.group(now); {
		case g == groupLeaving && c.serving.Load():
			leavingBusy++
		case g == groupLeaving:
			leaving++
		default:
			groups[g] = append(groups[g], c)
		}
	}
	for g := groupFresh; g < groupCount; g++ {
		chosen := groups[g]
		if len(chosen) == 0 {
			continue
		}
		if g == groupBusy {
			leaving = leavingBusy
		}
		slices.SortFunc(chosen, func(a, b *Conn) int { return cmp.Compare(a.since.Load(), b.since.Load()) })
		return chosen[:min(len(chosen), max(0, evictMax-leaving))]
	}
	return nil
}

func (l *Listener) remove(c *Conn) {
	l.mutex.Lock()
	delete(l.conns, c)
	l.mutex.Unlock()
	if l.sockets != nil {
		l.sockets.remove(c)
	}
}
