package caller

import (
	"net"
	"net/http"
	"time"
)

// EntryChoice is which of the listed entries a caller uses.
type EntryChoice string

// The choices.
const (
	First  EntryChoice = "first"  // the best one, as the API asks
	Spread EntryChoice = "spread" // each caller starts at another one of the list
)

// Options are a client's settings. Zero values stand for the defaults.
type Options struct {
	// Seeds are entry addresses, host:port, that are known without asking.
	Seeds []string
	// Scheme is "http" or "https".
	Scheme string
	// Transport sends requests; nil stands for NewTransport.
	Transport http.RoundTripper
	// Callers is how many callers a workspace has; each asks for entries and
	// keeps the answer for itself.
	Callers int
	Choice  EntryChoice
	// MaxRetries bounds how often one request is sent again before it is accepted.
	MaxRetries int
	// MaxResumes bounds how often one accepted request's stream is taken up again.
	MaxResumes int
	// ProgressTimeout is how long a stream may be silent before it is given up
	// and resumed on a new connection.
	ProgressTimeout time.Duration
	// RequestTimeout bounds one request with all its retries.
	RequestTimeout time.Duration
}

// Defaults.
const (
	defaultCallers    = 8
	defaultMaxRetries = 3
	// A hand-over costs one resume; eight outlast repeated and overlapping ones.
	defaultMaxResumes = 8
	// Above the longest queueing time that a deployment should accept a
	// request for, so that a queue isn't taken for a silent connection.
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

// idleConnections is how many unused connections to one entry are kept. Fewer
// would open a connection for most requests of a burst.
const idleConnections = 1024

// NewTransport returns an HTTP transport for many streams to few addresses.
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
