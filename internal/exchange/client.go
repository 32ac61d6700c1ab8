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

// ReplyTimeout is the time within which a call is answered in a sound fleet: data
// centres are a few milliseconds apart, and the next report is due by then.
const ReplyTimeout = 400 * time.Millisecond

// defaultBounds bound a call by its silence, not by its length: a long list over a busy link
// would be cut and begun anew for ever. What a late answer brings is 4 s old at the most.
var defaultBounds = progress.Bounds{First: ReplyTimeout, Silence: ReplyTimeout, Total: 10 * ReplyTimeout}

// Client tells hubs this daemon's part and fetches configurations, over one kept
// connection for each of the two: a connection carries one call at a time, and a
// report doesn't wait for a piece. It is safe for concurrent use.
type Client struct {
	// Dial opens connections; it may be replaced before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[connKey]*connection
	// firstWaits is how long the next call waits for its answer to begin, where the last
	// one was given up before it had.
	firstWaits map[connKey]time.Duration
}

// connKey is where a kept connection leads to, and what for.
type connKey struct {
	address string
	fetch   bool
}

// connection is a connection that is used again.
type connection struct {
	*drpcconn.Conn
	received *progress.Meter
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{Dial: dialPeer, conns: map[connKey]*connection{}, firstWaits: map[connKey]time.Duration{}}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: upstream.UserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Report gives a hub a part and returns its sum. A connection on which a call
// failed is closed, so that one that went silent is not kept.
func (c *Client) Report(ctx context.Context, address string, p *Report) (Reply, error) {
	var sum Reply
	err := c.call(ctx, connKey{address: address}, func(ctx context.Context, hub exchangepb.DRPCExchangeClient) error {
		totals, err := hub.Tell(ctx, encodeReport(p))
		if err != nil {
			return err
		}
		sum = decodeReply(totals)
		return nil
	})
	return sum, err
}

// Fetch asks a daemon for a piece of a configuration.
func (c *Client) Fetch(ctx context.Context, address string, w spread.Want) (spread.Piece, error) {
	var piece spread.Piece
	err := c.call(ctx, connKey{address, true}, func(ctx context.Context, source exchangepb.DRPCExchangeClient) error {
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
func (c *Client) call(ctx context.Context, r connKey, f func(context.Context, exchangepb.DRPCExchangeClient) error) error {
	conn, err := c.conn(ctx, r)
	if err != nil {
		return Error.Wrap(err)
	}
	b := c.boundsFor(r)
	ctx, cancel := progress.Within(ctx, conn.received, b)
	defer cancel()
	before := conn.received.Bytes()
	err = f(ctx, exchangepb.NewDRPCExchangeClient(conn))
	came := conn.received.Bytes() - before
	c.adjustFirstWait(r, b, came)
	if err != nil {
		c.drop(r, conn)
		return Error.New("after %d bytes of the answer: %w", came, progress.Ended(ctx, err))
	}
	return nil
}

// boundsFor returns those of the next call on a route.
func (c *Client) boundsFor(r connKey) progress.Bounds {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := defaultBounds
	b.First = max(b.First, c.firstWaits[r])
	return b
}

// adjustFirstWait notes how much of an answer came within a call's bounds. Where nothing did, the
// next call waits twice as long: a hub that takes long to make a long list would begin
// anew with each call.
func (c *Client) adjustFirstWait(r connKey, b progress.Bounds, came int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if came > 0 {
		delete(c.firstWaits, r)
		return
	}
	c.firstWaits[r] = min(2*b.First, b.Total)
}

// KeepOnly closes the connections for reports to all but the given addresses.
func (c *Client) KeepOnly(addresses []string) {
	c.closeWhere(func(r connKey) bool { return !r.fetch && !slices.Contains(addresses, r.address) })
}

// CloseFetches closes the connections for fetches: configurations change seldom.
func (c *Client) CloseFetches() { c.closeWhere(func(r connKey) bool { return r.fetch }) }

func (c *Client) closeWhere(which func(connKey) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.firstWaits, func(r connKey, _ time.Duration) bool { return which(r) })
	for r, conn := range c.conns {
		if which(r) {
			delete(c.conns, r)
			_ = conn.Close()
		}
	}
}

func (c *Client) conn(ctx context.Context, r connKey) (*connection, error) {
	c.mu.Lock()
	conn := c.conns[r]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
	defer cancel()
	raw, err := c.Dial(ctx, r.address)
	if err != nil {
		return nil, err
	}
	counted := &progress.Conn{Conn: raw}
	conn = &connection{drpcconn.New(counted), &counted.Meter}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[r] = conn
	return conn, nil
}

func (c *Client) drop(r connKey, conn *connection) {
	c.mu.Lock()
	if c.conns[r] == conn {
		delete(c.conns, r)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
