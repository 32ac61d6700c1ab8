package rollout

import "time"

// Report is a daemon's counts of a roll-out since the order or the start of the daemon,
// whichever is later. All but Running and Moved only rise.
type Report struct {
	Service string
	Key     Key
	Asked   int // requests for the service
	Exposed int // requests sent to the new version
	// Running is the number of requests in progress at the old version that must not be
	// sent again.
	Running int
	// Moved is true once the daemon sends no more requests to the old version.
	Moved bool
	Rows  []Row
}

// Key identifies a roll-out among those of a service.
type Key struct {
	Target  string
	Started int64 // Unix ms
}

// Row is a daemon's counts of one route, from the old version or from one endpoint of
// the new one.
type Row struct {
	Route    string
	Endpoint string // of the new version; empty: all of the old one
	Counts   Counts
}

// rowKey identifies a row.
type rowKey struct{ route, endpoint string }

// Counter counts a daemon's requests and answers during a roll-out.
type Counter struct {
	service string
	key     Key
	asked   int
	exposed int
	running int
	moved   bool
	rows    map[rowKey]*Counts
}

// maxRows limits a daemon's rows: routes times endpoints of the new version. Answers
// beyond it aren't counted.
const maxRows = 512

// NewCounter returns a counter of a roll-out.
func NewCounter(service string, key Key) *Counter {
	return &Counter{service: service, key: key, rows: map[rowKey]*Counts{}}
}

// CountRequest counts a request for the service.
func (c *Counter) CountRequest() { c.asked++ }

// CountExposed counts a request sent to the new version.
func (c *Counter) CountExposed() { c.exposed++ }

// AddRunning changes the number of requests in progress at the old version that must not
// be sent again.
func (c *Counter) AddRunning(n int) { c.running += n }

// SetMoved sets whether the daemon sends no more requests to the old version.
func (c *Counter) SetMoved(moved bool) { c.moved = moved }

// CountAnswer counts a complete answer, or a failure of the endpoint. endpoint is empty
// for the old version.
func (c *Counter) CountAnswer(route, endpoint string, failed bool, took time.Duration) {
	p := rowKey{route, endpoint}
	counts := c.rows[p]
	if counts == nil {
		if len(c.rows) >= maxRows {
			return
		}
		counts = &Counts{}
		c.rows[p] = counts
	}
	counts.add(failed, took)
}

// Report returns the counts.
func (c *Counter) Report() Report {
	out := Report{
		Service: c.service, Key: c.key, Asked: c.asked, Exposed: c.exposed, Running: c.running, Moved: c.moved,
		Rows: make([]Row, 0, len(c.rows)),
	}
	for p, counts := range c.rows {
		out.Rows = append(out.Rows, Row{Route: p.route, Endpoint: p.endpoint, Counts: *counts})
	}
	return out
}
