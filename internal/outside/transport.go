package outside

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
)

const (
	dialTimeout = 2 * time.Second
	// keepAlive probes find a peer that vanished under a waiting watch, which
	// expects no bytes for half a minute.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// idleTimeout is shorter than usual servers' own, so that a connection is
	// rarely closed by the server just as a write is sent on it.
	idleTimeout = 20 * time.Second
	// maxIdle is more than the calls that a daemon makes to one API at the same time.
	maxIdle = 8
)

// newTransport returns a transport of its own for one API. It keeps to
// HTTP/1.1: on HTTP/2 all calls would share the one connection that may have
// gone silent, and closing idle connections wouldn't close it.
func newTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols,
	}
}

// newHTTPClient returns a client that follows no redirect: a redirected write
// would be sent a second time.
func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: answerhead.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
