package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcconn"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
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
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*drpcconn.Conn{}} }

// Tell gives a hub a part and returns its sum. A connection on which a call
// failed is closed, so that one that went silent is not kept.
func (c *Client) Tell(ctx context.Context, address string, p *Part) (Sum, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return Sum{}, Error.Wrap(err)
	}
	totals, err := exchangepb.NewDRPCExchangeClient(conn).Tell(ctx, encodePart(p))
	if err != nil {
		c.drop(address, conn)
		return Sum{}, Error.Wrap(err)
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

func (c *Client) conn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	d := net.Dialer{Control: upstream.UserTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = drpcconn.New(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
