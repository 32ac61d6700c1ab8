package relay

import "maps"

// Work is what the endpoints of a service were asked for, as running totals.
type Work struct {
	Requests int     // asked for by callers, let in or not
	Refused  int     // of them, for want of room
	Busy     float64 // endpoint-seconds: the requests' time at endpoints
}

// loads counts the work of each service.
type loads struct{ work map[string]Work }

func newLoads() *loads { return &loads{work: map[string]Work{}} }

func (l *loads) asked(service string) {
	w := l.work[service]
	w.Requests++
	l.work[service] = w
}

func (l *loads) refused(service string) {
	w := l.work[service]
	w.Refused++
	l.work[service] = w
}

func (l *loads) busy(service string, seconds float64) {
	w := l.work[service]
	w.Busy += seconds
	l.work[service] = w
}

func (l *loads) snapshot() map[string]Work { return maps.Clone(l.work) }
