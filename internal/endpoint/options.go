package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Defaults of Options.
const (
	// DefaultDialTimeout is far above a round trip between data centres (a few
	// milliseconds) and leaves time for the retransmission of a lost SYN after 1 s.
	DefaultDialTimeout = 1500 * time.Millisecond
	// DefaultCallTimeout bounds JSON calls such as load reports.
	DefaultCallTimeout = 2 * time.Second
	// DefaultIdleTimeout is below the idle time after which common NAT and firewall
	// tables drop a connection.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultMaxConns bounds the connections to one endpoint. It is several times
	// the requests that an engine runs at once, since queued ones use a connection
	// too.
	DefaultMaxConns = 256
	// DefaultMaxIdleConns bounds the idle connections to one endpoint.
	DefaultMaxIdleConns = 16
	// DefaultMaxEndpoints bounds the endpoints whose idle connections are kept:
	// those of the fleet, with room for replaced ones.
	DefaultMaxEndpoints = 2048
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the options of the clients. Zero values select the defaults.
type Options struct {
	DialTimeout  time.Duration
	CallTimeout  time.Duration
	IdleTimeout  time.Duration
	MaxConns     int // to one endpoint
	MaxIdleConns int // to one endpoint
	MaxEndpoints int
	KeepAlive    net.KeepAliveConfig // TCP; zero probes after 10 s idle, then every 5 s, 3 times
	TLS          *tls.Config         // nil is plain text
	Dial         DialFunc            // nil is a net.Dialer with KeepAlive
}

// defaultKeepAlive detects a dead peer within half a minute on connections without
// a stall timeout.
var defaultKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     10 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// or returns v, or fallback if v is zero.
func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

func (o Options) withDefaults() Options {
	o.DialTimeout = or(o.DialTimeout, DefaultDialTimeout)
	o.CallTimeout = or(o.CallTimeout, DefaultCallTimeout)
	o.IdleTimeout = or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxConns = or(o.MaxConns, DefaultMaxConns)
	o.MaxIdleConns = or(o.MaxIdleConns, DefaultMaxIdleConns)
	o.MaxEndpoints = or(o.MaxEndpoints, DefaultMaxEndpoints)
	o.KeepAlive = or(o.KeepAlive, defaultKeepAlive)
	if o.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: o.KeepAlive}
		o.Dial = dialer.DialContext
	}
	return o
}

func (o Options) scheme() string {
	if o.TLS != nil {
		return "https"
	}
	return "http"
}
