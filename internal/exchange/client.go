package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcconn"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/progress"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Error is the class of errors made by this package.
var Error = errs.Class("exchange")

// tellTimeout bounds one report: data centres are a few milliseconds apart, and
// the next report is due by then.
const tellTimeout = 400 * time.Millisecond

// Client tells hubs this daemon's part, over one kept connection to each. It
// is safe for concurrent use.
type Client struct {
	// Dial opens connections; it may be replaced before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*kept
}

// kept is a connection that is used again.
type kept struct {
	*drpcconn.Conn
	received *progress.Meter
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{Dial: dialPeer, conns: map[string]*kept{}} }

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: upstream.UserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Tell gives a hub a part and returns its sum. A connection on which a call
// failed is closed, so that one that went silent is not kept.
func (c *Client) Tell(ctx context.Context, address string, p *Part) (Sum, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return Sum{}, Error.Wrap(err)
	}
	before := conn.received.Bytes()
	totals, err := exchangepb.NewDRPCExchangeClient(conn).Tell(ctx, encodePart(p))
	if err != nil {
		c.drop(address, conn)
		return Sum{}, Error.New("after %d bytes of the answer: %w", conn.received.Bytes()-before, err)
	}
	return decodeSum(totals), nil
}

// Keep closes the connections to all but the given addresses.
func (c *Client) Keep(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		keep := false
		for _, a := range addresses {
			keep = keep || a == address
		}
		if !keep {
			delete(c.conns, address)
			_ = conn.Close()
		}
	}
}

func (c *Client) conn(ctx context.Context, address string) (*kept, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	counted := &progress.Conn{Conn: raw}
	conn = &kept{drpcconn.New(counted), &counted.Meter}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn *kept) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
