package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
)

// pool holds the connections to one endpoint.
type pool struct {
	address   string
	o         *Options
	connSlots chan struct{} // holds an element for each open connection
	lastUse   uint64        // value of pools.uses at the last use, for eviction; guarded by pools.mu

	mu  sync.Mutex
	gen *generation
}

func newPool(address string, o *Options) *pool {
	p := &pool{address: address, o: o, connSlots: make(chan struct{}, o.MaxConns)}
	p.gen = p.newGeneration()
	return p
}

func (p *pool) newGeneration() *generation {
	return &generation{transport: answerhead.NewTransport(p.newTransport(p.dial))}
}

// newTransport returns a transport for HTTP/1.1 only, without a proxy from the
// environment and without compression.
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
// event is far smaller, and a daemon that observes 690 engines keeps a connection
// to each: the default of 4 KiB would cost 4 MB more.
const connBuffer = 1 << 10

// maxResponseHeader bounds an answer's head, bytes.
const maxResponseHeader = 64 << 10

// singleUseTransport returns a transport that can send one request only.
//
// net/http's Transport sends a request with an Idempotency-Key header again when a
// reused connection fails before an answer, and the endpoint would run it twice.
// Here the connection is new, and a second dial for a retry is refused. The dial
// ends with ctx, since no other request could use the connection.
func (p *pool) singleUseTransport(ctx context.Context) *answerhead.Transport {
	var dialled atomic.Bool
	t := p.newTransport(func(_ context.Context, network, address string) (net.Conn, error) {
		if dialled.Swap(true) {
			return nil, errSecondDispatch
		}
		return p.dial(ctx, network, address)
	})
	t.DisableKeepAlives = true
	return answerhead.NewTransport(t)
}

// dial opens a connection as soon as one of the endpoint's slots is free.
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

// retire closes a generation of connections after one of them stalled.
//
// A middlebox that has lost its connection state drops packets without an error, so
// every request that gets such a connection from the pool would wait for its
// deadline, one after another. Connections opened after the loss work, so it is
// enough that none opened before it is used again. A stall of a connection of an
// older generation is no evidence about the current one, which stays.
func (p *pool) retire(g *generation) {
	p.mu.Lock()
	if p.gen == g {
		p.gen = p.newGeneration()
	}
	p.mu.Unlock()
	g.transport.CloseIdleConnections()
}

func (p *pool) close() { p.current().transport.CloseIdleConnections() }
