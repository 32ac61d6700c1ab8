package caller

import (
	"net"
	"net/http"
	"time"
)

// EntryChoice is which of the listed entries a caller prefers.
type EntryChoice string

// The choices.
const (
	First  EntryChoice = "first"  // the first, which is the best, as the API demands
	Spread EntryChoice = "spread" // a different one for each caller
)

// Options are a client's settings. Zero values stand for the defaults.
type Options struct {
	// Seeds are entry addresses, host:port, for the first request for entries.
	Seeds []string
	// Scheme is "http" or "https".
	Scheme string
	// Transport sends requests; nil stands for NewTransport.
	Transport http.RoundTripper
	// Callers is how many callers a workspace has; each has its own cache of the
	// list of entries.
	Callers int
	Choice  EntryChoice
	// MaxRetries bounds the retries of one request before it is accepted.
	MaxRetries int
	// MaxResumes bounds the resumes of an accepted request's stream, and its moves.
	MaxResumes int
	// ProgressTimeout is how long a connection may receive nothing before it is
	// closed, and the request retried or its stream resumed on a new one.
	ProgressTimeout time.Duration
	// RequestTimeout bounds one request with all its attempts.
	RequestTimeout time.Duration
}

// Defaults.
const (
	defaultCallers    = 8
	defaultMaxRetries = 3
	// A hand-over costs one resume; eight suffice for repeated and overlapping
	// ones.
	defaultMaxResumes = 8
	// Longer than a deployment should keep an accepted request queued, so that a
	// queued request isn't mistaken for a dead connection.
	defaultProgressTimeout = 20 * time.Second
	defaultRequestTimeout  = 3 * time.Minute
	dialTimeout            = 2 * time.Second
	idleTimeout            = 90 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.Transport == nil {
		o.Transport = NewTransport()
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	if o.Choice == "" {
		o.Choice = First
	}
	if o.MaxRetries == 0 {
		o.MaxRetries = defaultMaxRetries
	}
	if o.MaxResumes == 0 {
		o.MaxResumes = defaultMaxResumes
	}
	if o.ProgressTimeout == 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	return o
}

// idleConnections is how many idle connections to one entry are kept. With few,
// most requests of a burst would have to open a connection.
const idleConnections = 1024

// NewTransport returns an HTTP transport for many streams from few addresses.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
