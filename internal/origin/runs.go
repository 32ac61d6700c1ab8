package origin

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Runs tracks the endpoints that may have started again since they were listed: connecting was
// refused there, so that no process listened. It is not safe for concurrent use.
type Runs struct {
	started map[string]time.Time // the start of the listed run, by address
	ended   map[string]*endedRun // by address
}

// endedRun is a run that has ended, as far as is known.
type endedRun struct {
	refusedAt   time.Time // when connecting was first refused
	connectedAt time.Time // when it first succeeded since, zero if it hasn't
}

// NewRuns returns a record without a list.
func NewRuns() *Runs { return &Runs{started: map[string]time.Time{}, ended: map[string]*endedRun{}} }

// Listed takes the newest list of endpoints.
func (r *Runs) Listed(all []roster.Endpoint) {
	started := make(map[string]time.Time, len(all))
	for i := range all {
		started[all[i].Address] = all[i].StartedAt
	}
	for address := range r.ended {
		at, ok := started[address]
		if !ok || at.After(r.started[address]) {
			delete(r.ended, address)
		}
	}
	r.started = started
}

// Refused records that connecting to an address was refused.
func (r *Runs) Refused(now time.Time, address string) {
	if _, ok := r.started[address]; !ok {
		return
	}
	e := r.ended[address]
	if e == nil {
		r.ended[address] = &endedRun{refusedAt: now}
		return
	}
	e.connectedAt = time.Time{}
}

// Connected records that a connection to an address was established.
func (r *Runs) Connected(now time.Time, address string) {
	if e := r.ended[address]; e != nil && e.connectedAt.IsZero() {
		e.connectedAt = now
	}
}

// TrustedUntil returns until when connections to an address reach the listed run. doubted is
// false if no other run can have started unlisted, where the list is complete up to a time.
func (r *Runs) TrustedUntil(address string, completeUpTo time.Time) (until time.Time, doubted bool) {
	e := r.ended[address]
	if e == nil {
		return time.Time{}, false
	}
	if !e.connectedAt.IsZero() && completeUpTo.Sub(e.connectedAt) >= settling {
		delete(r.ended, address)
		return time.Time{}, false
	}
	return e.refusedAt, true
}
