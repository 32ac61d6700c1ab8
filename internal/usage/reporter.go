package usage

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const (
	// settleDelay is how long after a window's end its counts are complete: parts
	// are told four times a second, and one that is lost is told again.
	settleDelay = 1500 * time.Millisecond
	// retryPause is between a failed call and its repeat.
	retryPause = 300 * time.Millisecond
	// maxWindowsBehind is how many windows back a holder begins that finds no record.
	maxWindowsBehind = 2
)

// Reporter is the holder's side of the duty. A new holder starts with a new
// Reporter. It is not safe for concurrent use.
type Reporter struct {
	window   time.Duration
	loaded   bool   // the record was read
	revision uint64 // of the stored record, 0 where there is none
	record   Record // the stored one
	sent     bool   // it was reported
	// lastFrozen is the newest record that this reporter has frozen: the store may come
	// back from a copy without it.
	lastFrozen Record
	// maybeReported is the newest window that another holder may have reported, of which
	// the store's copy knows nothing.
	maybeReported uint64
	retryAt       time.Time
	inFlight      bool // a call is under way
}

// NewReporter returns a reporter for windows of a length.
func NewReporter(window time.Duration) *Reporter { return &Reporter{window: window} }

// Next returns the call that is due. truth is the fleet's time; now paces
// repeats. begun returns the counts of a window.
func (r *Reporter) Next(now, fleetTime time.Time, counts func(uint64) map[fleet.WorkspaceID]uint64) Action {
	if r.inFlight || now.Before(r.retryAt) {
		return Action{}
	}
	switch {
	case !r.loaded:
		r.inFlight = true
		return Action{Kind: Read}
	case r.revision != 0 && !r.sent:
		r.inFlight = true
		return Action{Kind: Send, Record: r.record}
	}
	last := uint64(fleetTime.Add(-settleDelay).UnixNano()/int64(r.window)) - 1 // newest window that is complete
	if r.lastFrozen.Window > r.record.Window {
		r.inFlight = true
		return Action{Kind: Freeze, Revision: r.revision, Record: r.lastFrozen}
	}
	if r.recordsMayBeLost() && r.maybeReported == 0 {
		r.maybeReported = last
	}
	next := max(r.record.Window, r.maybeReported) + 1
	if r.revision == 0 && r.maybeReported == 0 || next+maxWindowsBehind < last {
		next = last
	}
	if next > last {
		return Action{}
	}
	r.inFlight = true
	return Action{Kind: Freeze, Revision: r.revision, Record: Record{Window: next, Begun: counts(next)}}
}

// recordsMayBeLost reports whether later records than the stored one may be recordsMayBeLost. Failure: the
// store comes back from a copy some seconds old, and the duty has a new holder.
// Symptom: a window that was reported is reported again, with other counts. What
// is complete by now may have been; it is left out.
func (r *Reporter) recordsMayBeLost() bool {
	return r.revision != 0 && r.lastFrozen.Window == 0 && objects.EraOf(r.revision) > r.record.Era
}

// Found takes the stored record; revision 0 is none.
func (r *Reporter) Found(revision uint64, record Record) {
	r.inFlight, r.loaded = false, true
	r.revision, r.record, r.sent = revision, record, false
}

// Frozen takes the answer that a record was written.
func (r *Reporter) Frozen(revision uint64, record Record) {
	r.lastFrozen = record
	r.Found(revision, record)
}

// Unsure notes that a call of the store failed or lost its condition: what is
// stored must be read before anything is sent.
func (r *Reporter) Unsure(now time.Time) {
	r.inFlight, r.loaded = false, false
	r.retryAt = now.Add(retryPause)
}

// Sent notes that the record's report was taken.
func (r *Reporter) Sent() { r.inFlight, r.sent = false, true }

// SendFailed notes that a report has no answer or was turned away; the same
// one is repeated.
func (r *Reporter) SendFailed(now time.Time) {
	r.inFlight = false
	r.retryAt = now.Add(retryPause)
}
