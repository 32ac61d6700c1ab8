package delivery

import (
	"slices"
	"sync"
)

// Log records the deliveries of one request. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	all     []*Delivery
	repeats bool // the request may be run more than once
	closed  bool // its caller is answered that it was not run
}

// ErrClosed means that a request's caller is answered that it was not run.
var ErrClosed = Error.New("the request is refused as not run")

// NewLog returns the log of a request that was sent nowhere yet.
func NewLog() *Log { return &Log{} }

// Delivery is one delivery. Until it is settled the request may have been run.
type Delivery struct {
	log    *Log
	record Record
}

// AllowRepeats records that the request may be run more than once, so that its callers send it
// again after any failure, and the status of an endpoint's failure is passed on.
func (l *Log) AllowRepeats() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats = true
}

// Begin records that the request is about to be sent. It returns ErrClosed if it must not be. A nil
// log records nothing.
func (l *Log) Begin(to string) (*Delivery, error) {
	if l == nil {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	d := &Delivery{log: l, record: Record{To: to, Evidence: NoAnswer}}
	l.all = append(l.all, d)
	return d, nil
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
	return l.records()
}

// records returns them; the lock is held.
func (l *Log) records() []Record {
	out := make([]Record, len(l.all))
	for i, d := range l.all {
		out[i] = d.record
		out[i].Further = slices.Clone(out[i].Further)
	}
	return out
}

// Prove reports whether each delivery proves that the request was not run. If so it closes the log:
// the request is sent nowhere from then on.
func (l *Log) Prove() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = l.closed || AllProve(l.records())
	return l.closed
}

// permits reports whether the caller may be sent a status.
func (l *Log) permits(status int) bool {
	if !SaysNotRun(status) {
		return true
	}
	if l.Prove() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.repeats
}
