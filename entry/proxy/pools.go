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
	addressPool, found := p.byAddress[address]
	if !found {
		addressPool = &pool{address: address, limit: limit, localAddress: p.localAddress, timer: p.timer}
		p.byAddress[address] = addressPool
	}
	if addressPool.limit != limit {
		addressPool.mutex.Lock()
		addressPool.limit = limit
		addressPool.mutex.Unlock()
	}
	return addressPool
}

// closeIdle closes idle connections: all of them, or those idle for longer than maxIdleTime.
func (p *pools) closeIdle(all bool) {
	now := p.timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, addressPool := range p.byAddress {
		addressPool.closeExpired(now, all)
	}
}
