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

// ReplyTimeout is the time within which a call is answered in a healthy fleet: data
// centres are a few milliseconds apart, and the next report is due after this time.
const ReplyTimeout = 400 * time.Millisecond

// defaultBounds limit mainly the time in which no bytes arrive, not the length of a call:
// otherwise a long list over a busy link would time out and start over without end. The
// total keeps the content of a late answer from being older than 4 s.
var defaultBounds = progress.Bounds{FirstByte: ReplyTimeout, Idle: ReplyTimeout, Total: 10 * ReplyTimeout}

// Client sends reports to hubs and fetches configurations. It keeps one connection to an
// address for each of the two, since a connection carries one call at a time and a report
// must not wait for a fetch. It is safe for concurrent use.
type Client struct {
	// Dial opens connections; it may be replaced before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[connKey]*connection
	// firstWaits is how long the next call waits for the first byte of its answer, if the
	// last call timed out without one.
	firstWaits map[connKey]time.Duration
}

// connKey is the address and the purpose of a connection, reports or fetches.
type connKey struct {
	address string
	fetch   bool
}

// connection is a connection that is reused by calls.
type connection struct {
	*drpcconn.Conn
	received *progress.Meter
}

// NewClient returns a Client without open connections.
func NewClient() *Client {
	return &Client{Dial: dialPeer, conns: map[connKey]*connection{}, firstWaits: map[connKey]time.Duration{}}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: upstream.UserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Report sends a report to a hub and returns the hub's reply. It closes the connection if
// the call fails, so that an unresponsive one isn't reused.
func (c *Client) Report(ctx context.Context, address string, r *Report) (Reply, error) {
	var reply Reply
	err := c.call(ctx, connKey{address: address}, func(ctx context.Context, hub exchangepb.DRPCExchangeClient) error {
		totals, err := hub.Tell(ctx, encodeReport(r))
		if err != nil {
			return err
		}
		reply = decodeReply(totals)
		return nil
	})
	return reply, err
}

// Fetch requests a piece of a configuration from a daemon.
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

// call calls f with a client on the connection of a key, within the bounds of progress.
func (c *Client) call(ctx context.Context, key connKey, f func(context.Context, exchangepb.DRPCExchangeClient) error) error {
	conn, err := c.conn(ctx, key)
	if err != nil {
		return Error.Wrap(err)
	}
	b := c.boundsFor(key)
	ctx, cancel := progress.WithBounds(ctx, conn.received, b)
	defer cancel()
	receivedBefore := conn.received.Bytes()
	err = f(ctx, exchangepb.NewDRPCExchangeClient(conn))
	received := conn.received.Bytes() - receivedBefore
	c.adjustFirstWait(key, b, received)
	if err != nil {
		c.drop(key, conn)
		return Error.New("after %d bytes of the answer: %w", received, progress.CauseOf(ctx, err))
	}
	return nil
}

// boundsFor returns the bounds of the next call on a connection.
func (c *Client) boundsFor(key connKey) progress.Bounds {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := defaultBounds
	b.FirstByte = max(b.FirstByte, c.firstWaits[key])
	return b
}

// adjustFirstWait sets how long the next call waits for the first byte, from the bytes
// that the last call received. If there were none, the next call waits twice as long:
// otherwise a hub that needs longer to make a long list would start over with each call.
func (c *Client) adjustFirstWait(key connKey, b progress.Bounds, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if received > 0 {
		delete(c.firstWaits, key)
		return
	}
	c.firstWaits[key] = min(2*b.FirstByte, b.Total)
}

// KeepOnly closes the connections for reports to all but the given addresses.
func (c *Client) KeepOnly(addresses []string) {
	c.closeWhere(func(key connKey) bool { return !key.fetch && !slices.Contains(addresses, key.address) })
}

// CloseFetches closes the connections for fetches. They aren't kept, since configurations
// change seldom.
func (c *Client) CloseFetches() { c.closeWhere(func(key connKey) bool { return key.fetch }) }

func (c *Client) closeWhere(match func(connKey) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.firstWaits, func(key connKey, _ time.Duration) bool { return match(key) })
	for key, conn := range c.conns {
		if match(key) {
			delete(c.conns, key)
			_ = conn.Close()
		}
	}
}

func (c *Client) conn(ctx context.Context, key connKey) (*connection, error) {
	c.mu.Lock()
	conn := c.conns[key]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
	defer cancel()
	raw, err := c.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	counted := &progress.Conn{Conn: raw}
	conn = &connection{drpcconn.New(counted), &counted.Meter}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[key] = conn
	return conn, nil
}

func (c *Client) drop(key connKey, conn *connection) {
	c.mu.Lock()
	if c.conns[key] == conn {
		delete(c.conns, key)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
