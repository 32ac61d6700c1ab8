package exchange

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcconn"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/progress"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Error is the class of errors made by this package.
var Error = errs.Class("exchange")

// Prompt is the time within which a call is answered in a sound fleet: data
// centres are a few milliseconds apart, and the next report is due by then.
const Prompt = 400 * time.Millisecond

// bounds bound a call by its silence, not by its length: a long list over a busy link
// would be cut and begun anew for ever. What a late answer brings is 4 s old at the most.
var bounds = progress.Bounds{First: Prompt, Silence: Prompt, Total: 10 * Prompt}

// Client tells hubs this daemon's part and fetches configurations, over one kept
// connection for each of the two: a connection carries one call at a time, and a
// report doesn't wait for a piece. It is safe for concurrent use.
type Client struct {
	// Dial opens connections; it may be replaced before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[route]*kept
	// firsts is how long the next call waits for its answer to begin, where the last
	// one was given up before it had.
	firsts map[route]time.Duration
}

// route is where a kept connection leads to, and what for.
type route struct {
	address string
	fetch   bool
}

// kept is a connection that is used again.
type kept struct {
	*drpcconn.Conn
	received *progress.Meter
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{Dial: dialPeer, conns: map[route]*kept{}, firsts: map[route]time.Duration{}}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: upstream.UserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Tell gives a hub a part and returns its sum. A connection on which a call
// failed is closed, so that one that went silent is not kept.
func (c *Client) Tell(ctx context.Context, address string, p *Part) (Sum, error) {
	var sum Sum
	err := c.call(ctx, route{address: address}, func(ctx context.Context, hub exchangepb.DRPCExchangeClient) error {
		totals, err := hub.Tell(ctx, encodePart(p))
		if err != nil {
			return err
		}
		sum = decodeSum(totals)
		return nil
	})
	return sum, err
}

// Fetch asks a daemon for a piece of a configuration.
func (c *Client) Fetch(ctx context.Context, address string, w spread.Want) (spread.Piece, error) {
	var piece spread.Piece
	err := c.call(ctx, route{address, true}, func(ctx context.Context, source exchangepb.DRPCExchangeClient) error {
		out, err := source.Fetch(ctx, encodeWant(w))
		if err != nil {
			return err
		}
		piece = decodePiece(out)
		return nil
	})
	return piece, err
}

// call makes a call on the connection of a route.
func (c *Client) call(ctx context.Context, r route, f func(context.Context, exchangepb.DRPCExchangeClient) error) error {
	conn, err := c.conn(ctx, r)
	if err != nil {
		return Error.Wrap(err)
	}
	b := c.bounds(r)
	ctx, cancel := progress.Within(ctx, conn.received, b)
	defer cancel()
	before := conn.received.Bytes()
	err = f(ctx, exchangepb.NewDRPCExchangeClient(conn))
	came := conn.received.Bytes() - before
	c.ended(r, b, came)
	if err != nil {
		c.drop(r, conn)
		return Error.New("after %d bytes of the answer: %w", came, progress.Ended(ctx, err))
	}
	return nil
}

// bounds returns those of the next call on a route.
func (c *Client) bounds(r route) progress.Bounds {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := bounds
	b.First = max(b.First, c.firsts[r])
	return b
}

// ended notes how much of an answer came within a call's bounds. Where nothing did, the
// next call waits twice as long: a hub that takes long to make a long list would begin
// anew with each call.
func (c *Client) ended(r route, b progress.Bounds, came int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if came > 0 {
		delete(c.firsts, r)
		return
	}
	c.firsts[r] = min(2*b.First, b.Total)
}

// Keep closes the connections for reports to all but the given addresses.
func (c *Client) Keep(addresses []string) {
	c.close(func(r route) bool { return !r.fetch && !slices.Contains(addresses, r.address) })
}

// EndFetches closes the connections for fetches: configurations change seldom.
func (c *Client) EndFetches() { c.close(func(r route) bool { return r.fetch }) }

func (c *Client) close(which func(route) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.firsts, func(r route, _ time.Duration) bool { return which(r) })
	for r, conn := range c.conns {
		if which(r) {
			delete(c.conns, r)
			_ = conn.Close()
		}
	}
}

func (c *Client) conn(ctx context.Context, r route) (*kept, error) {
	c.mu.Lock()
	conn := c.conns[r]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, Prompt)
	defer cancel()
	raw, err := c.Dial(ctx, r.address)
	if err != nil {
		return nil, err
	}
	counted := &progress.Conn{Conn: raw}
	conn = &kept{drpcconn.New(counted), &counted.Meter}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[r] = conn
	return conn, nil
}

func (c *Client) drop(r route, conn *kept) {
	c.mu.Lock()
	if c.conns[r] == conn {
		delete(c.conns, r)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
