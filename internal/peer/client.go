package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// dialTimeout bounds a connection's set-up between data centres.
	dialTimeout = 2 * time.Second
	// poolCapacity bounds the idle connections, whatever the fleet's size: a
	// daemon calls few others often.
	poolCapacity = 32
	// poolKeyCapacity bounds the idle connections to one daemon.
	poolKeyCapacity = 4
	// poolExpiration ends idle connections, so that one that became silent isn't kept.
	poolExpiration = 30 * time.Second
)

// Client calls other daemons. Connections are kept for a while and bounded.
type Client struct {
	tls  func() *tls.Config // nil is plain text
	wrap func(net.Conn) net.Conn
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client. config gives the TLS configuration of a new
// connection, so that new certificates are taken up; nil is plain text.
func NewClient(config func() *tls.Config) *Client {
	return &Client{
		tls:  config,
		wrap: func(c net.Conn) net.Conn { return c },
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  poolExpiration,
			Capacity:    poolCapacity,
			KeyCapacity: poolKeyCapacity,
		}),
	}
}

// Wrap passes each new connection through f, below TLS. Call it before the
// client is used.
func (c *Client) Wrap(f func(net.Conn) net.Conn) { c.wrap = f }

// Peer returns the calls of the daemon at address, host:port. Dialling happens
// at the first call; its failure is NotRun.
func (c *Client) Peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, address, c.dial))
}

// Close ends the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	return drpcconn.New(conn), nil
}

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := c.wrap(raw)
	if c.tls == nil {
		return conn, nil
	}
	return handshake(ctx, conn, c.tls(), address)
}

// handshake secures conn as a client's, and closes it where that fails.
func handshake(ctx context.Context, conn net.Conn, config *tls.Config, address string) (net.Conn, error) {
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		config = config.Clone()
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secured, nil
}
