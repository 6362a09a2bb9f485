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

// of returns the pool of address and adjusts its connection limit.
func (p *pools) of(address string, limit int) *pool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found, ok := p.byAddress[address]
	if !ok {
		found = &pool{address: address, limit: limit, localAddress: p.localAddress, timer: p.timer}
		p.byAddress[address] = found
	}
	if found.limit != limit {
		found.mutex.Lock()
		found.limit = limit
		found.mutex.Unlock()
	}
	return found
}

// closeIdle closes idle connections, all of them or those idle for too long.
func (p *pools) closeIdle(all bool) {
	now := p.timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, found := range p.byAddress {
		found.closeExpired(now, all)
	}
}
