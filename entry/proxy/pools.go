package proxy

import (
	"net"
	"sync"

	"ebonyrouter.dev/core"
)

// pools holds one pool per address.
type pools struct {
	byAddress    map[string]*pool
	mutex        sync.Mutex
	localAddress net.Addr
	timer        core.Timer
}

// of returns the pool of address with its connection limit set to limit.
func (p *pools) of(address string, limit int) *pool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry, found := p.byAddress[address]
	if !found {
		entry = &pool{address: address, limit: limit, localAddress: p.localAddress, timer: p.timer}
		p.byAddress[address] = entry
	}
	if entry.limit != limit {
		entry.mutex.Lock()
		entry.limit = limit
		entry.mutex.Unlock()
	}
	return entry
}

// closeIdle closes idle connections: all of them, or those idle for longer than maxIdleTime.
func (p *pools) closeIdle(all bool) {
	now := p.timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, entry := range p.byAddress {
		entry.closeExpired(now, all)
	}
}
