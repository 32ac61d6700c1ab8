package rollout

import "time"

// Report is what one daemon has counted of a roll-out since its order, or since the
// daemon's start. Its numbers only rise, but for Running and Moved.
type Report struct {
	Service string
	Key     Key
	Asked   int // requests that were sent to the service
	Exposed int // sends to the new version
	// Running is the requests at the old version now that must not be sent again.
	Running int
	// Moved says that the daemon sends no request to the old version any more.
	Moved bool
	Rows  []Row
}

// Key tells the roll-outs of a service apart.
type Key struct {
	Target  string
	Started int64 // Unix ms
}

// Row is a daemon's answers of one route, from the old version or from one endpoint
// of the new one.
type Row struct {
	Route    string
	Endpoint string // of the new version, empty for the old one
	Counts   Counts
}

// rowKey is what a row is about.
type rowKey struct{ route, endpoint string }

// Counter counts a daemon's part of a roll-out.
type Counter struct {
	service string
	key     Key
	asked   int
	exposed int
	running int
	moved   bool
	rows    map[rowKey]*Counts
}

// maxRows bounds a daemon's rows: endpoints of the new version by routes.
const maxRows = 512

// NewCounter returns a counter of a roll-out.
func NewCounter(service string, key Key) *Counter {
	return &Counter{service: service, key: key, rows: map[rowKey]*Counts{}}
}

// CountRequest counts a request for the service.
func (c *Counter) CountRequest() { c.asked++ }

// CountExposed counts a send to the new version.
func (c *Counter) CountExposed() { c.exposed++ }

// AddRunning adds to the requests at the old version that must not be sent again.
func (c *Counter) AddRunning(n int) { c.running += n }

// SetMoved notes whether the daemon follows a word by which all routes have moved.
func (c *Counter) SetMoved(moved bool) { c.moved = moved }

// CountAnswer counts a whole answer: the endpoint's own failure, or one that took a
// while. endpoint is empty for the old version.
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

// Report returns what was counted.
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
