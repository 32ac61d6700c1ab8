package delivery

import (
	"slices"
	"sync"
)

// Log records the deliveries of one request. It is safe for concurrent use.
type Log struct {
	request string // its ID

	mu  sync.Mutex
	all []*Delivery
}

// NewLog returns the log of a request that was sent nowhere yet.
func NewLog(request string) *Log { return &Log{request: request} }

// Request returns the request's ID.
func (l *Log) Request() string { return l.request }

// Delivery is one delivery. Until it is settled the request may have been run.
type Delivery struct {
	log    *Log
	record Record
}

// Begin records that the request is about to be sent. A nil log records nothing.
func (l *Log) Begin(to string) *Delivery {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &Delivery{log: l, record: Record{To: to, Evidence: NoAnswer}}
	l.all = append(l.all, d)
	return d
}

// Settle records what became of the delivery.
func (d *Delivery) Settle(r Record) {
	if d == nil {
		return
	}
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	r.To = d.record.To
	d.record = r
}

// Records returns the deliveries so far, in their order.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Record, len(l.all))
	for i, d := range l.all {
		out[i] = d.record
		out[i].Further = slices.Clone(out[i].Further)
	}
	return out
}
