package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// pool holds the connections to one endpoint.
type pool struct {
	address   string
	o         *Options
	connSlots chan struct{} // one element for each open connection
	lastUse   uint64        // for eviction; guarded by pools

	mu  sync.Mutex
	gen *generation
}

func newPool(address string, o *Options) *pool {
	p := &pool{address: address, o: o, connSlots: make(chan struct{}, o.MaxConns)}
	p.gen = p.newGeneration()
	return p
}

func (p *pool) newGeneration() *generation { return &generation{transport: p.newTransport(p.dial)} }

// newTransport speaks HTTP/1.1 and nothing else: no proxy from the
// environment, no HTTP/2, no compression of its own.
func (p *pool) newTransport(dial DialFunc) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        p.o.TLS,
		TLSHandshakeTimeout:    p.o.DialTimeout,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    p.o.MaxIdleConns,
		IdleConnTimeout:        p.o.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		ReadBufferSize:         connBuffer,
		WriteBufferSize:        connBuffer,
	}
}

// connBuffer is the size of each of a connection's two buffers, bytes. A token's
// event is far smaller, and a daemon that observes 690 engines keeps a
// connection to each: the default of 4 KiB would cost 4 MB more.
const connBuffer = 1 << 10

// maxResponseHeader bounds an answer's head, bytes.
const maxResponseHeader = 64 << 10

// singleUseTransport returns a transport that can dispatch one request only.
//
// The failure it guards against: net/http's Transport sends a request with an
// Idempotency-Key header again when a reused connection dies before an answer,
// and the endpoint runs it twice. Here the connection is fresh, and were there
// any cause to try again, the second dial is refused. The dial ends with ctx,
// since nobody else could use the connection.
func (p *pool) singleUseTransport(ctx context.Context) *http.Transport {
	var dialled atomic.Bool
	t := p.newTransport(func(_ context.Context, network, address string) (net.Conn, error) {
		if dialled.Swap(true) {
			return nil, errSecondDispatch
		}
		return p.dial(ctx, network, address)
	})
	t.DisableKeepAlives = true
	return t
}

// dial opens a connection once there is a place for it.
func (p *pool) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.o.DialTimeout)
	defer cancel()
	select {
	case p.connSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrTooManyConns
	}
	release := func() { <-p.connSlots }
	c, err := p.o.Dial(ctx, network, p.address)
	if err != nil {
		release()
		return nil, err
	}
	return newConn(c, release), nil
}

func (p *pool) current() *generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gen
}

// retire closes a generation after a silence on one of its connections.
//
// The failure it guards against: something between the ends has lost track of
// open connections. Bytes vanish without an error, so every request that gets
// such a connection from the pool waits out its deadline, one after another.
// Connections opened after the loss work, so it is enough that nothing opened
// before is used again. A silence on a connection of an older generation says
// nothing about the present one and leaves it alone.
func (p *pool) retire(g *generation) {
	p.mu.Lock()
	if p.gen == g {
		p.gen = p.newGeneration()
	}
	p.mu.Unlock()
	g.transport.CloseIdleConnections()
}

func (p *pool) close() { p.current().transport.CloseIdleConnections() }
