// Package instancelist is an in-memory stand-in of the platform's instance list
// (package listapi). It answers with the truth as it was some time ago.
package instancelist

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
)

// List holds the truth and its past. All methods are safe for concurrent use.
type List struct {
	mu          sync.Mutex
	lag         time.Duration
	unavailable bool
	truth       listapi.List
	past        history
}

// New returns an empty list. What the first change sets is taken to have been
// true for ever, so that a deployment starts with a list that is in force.
func New(o Options) *List {
	return &List{lag: o.Lag}
}

// Set replaces the whole truth; TakenAtMillis is ignored.
func (l *List) Set(truth listapi.List) {
	l.change(func() {
		l.truth.Entries = slices.Clone(truth.Entries)
		l.truth.Endpoints = slices.Clone(truth.Endpoints)
	})
}

// AddEntry adds an entry instance, or replaces the one of the same instance.
func (l *List) AddEntry(entry listapi.Entry) {
	l.change(func() {
		same := func(e listapi.Entry) bool { return e.Instance == entry.Instance }
		l.truth.Entries = append(slices.DeleteFunc(l.truth.Entries, same), entry)
	})
}

// AddEndpoint adds an endpoint, or replaces the one of the same id.
func (l *List) AddEndpoint(endpoint fleet.Endpoint) {
	l.change(func() {
		same := func(e fleet.Endpoint) bool { return e.ID == endpoint.ID }
		l.truth.Endpoints = append(slices.DeleteFunc(l.truth.Endpoints, same), endpoint)
	})
}

// SetModels says which models an endpoint holds.
func (l *List) SetModels(id fleet.EndpointID, models []fleet.ModelRef) {
	l.change(func() {
		for i := range l.truth.Endpoints {
			if l.truth.Endpoints[i].ID == id {
				l.truth.Endpoints[i].Models = slices.Clone(models)
			}
		}
	})
}

// MarkLeaving marks everything on the instance as leaving. A zero leaveAt is unknown.
func (l *List) MarkLeaving(instance fleet.InstanceID, leaveAt time.Time) {
	var millis int64
	if !leaveAt.IsZero() {
		millis = leaveAt.UnixMilli()
	}
	l.change(func() {
		for i := range l.truth.Entries {
			if l.truth.Entries[i].Instance == instance {
				l.truth.Entries[i].State = fleet.Leaving
			}
		}
		for i := range l.truth.Endpoints {
			if l.truth.Endpoints[i].Instance == instance {
				l.truth.Endpoints[i].State = fleet.Leaving
				l.truth.Endpoints[i].LeaveAt = millis
			}
		}
	})
}

// Remove drops everything on the instance.
func (l *List) Remove(instance fleet.InstanceID) {
	l.change(func() {
		l.truth.Entries = slices.DeleteFunc(l.truth.Entries, func(e listapi.Entry) bool {
			return e.Instance == instance
		})
		l.truth.Endpoints = slices.DeleteFunc(l.truth.Endpoints, func(e fleet.Endpoint) bool {
			return e.Instance == instance
		})
	})
}

// change applies edit to a copy of the truth, since the past shares the old one.
func (l *List) change(edit func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truth.Entries = slices.Clone(l.truth.Entries)
	l.truth.Endpoints = slices.Clone(l.truth.Endpoints)
	edit()
	l.past.add(time.Now(), l.truth)
}

// Now returns the truth, without lag.
func (l *List) Now() listapi.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	truth := l.truth
	truth.TakenAtMillis = time.Now().UnixMilli()
	truth.Entries = slices.Clone(truth.Entries)
	truth.Endpoints = slices.Clone(truth.Endpoints)
	return truth
}

// SetFaults switches the lag and unavailability.
func (l *List) SetFaults(f listapi.Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = time.Duration(f.LagMillis) * time.Millisecond
	l.unavailable = f.Unavailable
}

// answer returns the truth as it was lag ago, or false when unavailable.
func (l *List) answer() (listapi.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return listapi.List{}, false
	}
	then := time.Now().Add(-l.lag)
	list := l.past.at(then)
	list.TakenAtMillis = then.UnixMilli()
	return list, true
}
