package endpoint

import "sync"

// pools holds a pool for each endpoint in use, at most MaxEndpoints of them.
type pools struct {
	o Options

	mu        sync.Mutex
	uses      uint64 // counts calls of get, as a clock for the least recent use
	byAddress map[string]*pool
}

func newPools(o Options) *pools {
	return &pools{o: o.withDefaults(), byAddress: make(map[string]*pool)}
}

// get returns the pool of the endpoint at address, creating it if needed.
func (p *pools) get(address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses++
	if got, ok := p.byAddress[address]; ok {
		got.lastUse = p.uses
		return got
	}
	if len(p.byAddress) >= p.o.MaxEndpoints {
		p.evict()
	}
	made := newPool(address, &p.o)
	made.lastUse = p.uses
	p.byAddress[address] = made
	return made
}

// evict removes the least recently used pool. Its requests go on. The caller holds
// mu.
func (p *pools) evict() {
	var oldest *pool
	for _, candidate := range p.byAddress {
		if oldest == nil || candidate.lastUse < oldest.lastUse {
			oldest = candidate
		}
	}
	delete(p.byAddress, oldest.address)
	oldest.close()
}

// Forget removes an endpoint that is gone and closes its idle connections.
func (p *pools) Forget(address string) {
	p.mu.Lock()
	gone := p.byAddress[address]
	delete(p.byAddress, address)
	p.mu.Unlock()
	if gone != nil {
		gone.close()
	}
}

// Close closes all idle connections. Requests in progress go on.
func (p *pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, gone := range p.byAddress {
		delete(p.byAddress, address)
		gone.close()
	}
}
