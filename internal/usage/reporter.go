package usage

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const (
	// settle is how long after a window's end its counts are complete: parts
	// are told four times a second, and one that is lost is told again.
	settle = 1500 * time.Millisecond
	// pause is between a failed call and its repeat.
	pause = 300 * time.Millisecond
	// oldest is how many windows back a holder begins that finds no record.
	oldest = 2
)

// Reporter is the holder's side of the duty. A new holder starts with a new
// Reporter. It is not safe for concurrent use.
type Reporter struct {
	window   time.Duration
	known    bool   // the record was read
	revision uint64 // of the stored record, 0 where there is none
	record   Record // the stored one
	sent     bool   // it was reported
	// last is the newest record that this reporter has frozen: the store may come
	// back from a copy without it.
	last Record
	// floor is the newest window that another holder may have reported, of which
	// the store's copy knows nothing.
	floor    uint64
	notUntil time.Time
	busy     bool // a call is under way
}

// NewReporter returns a reporter for windows of a length.
func NewReporter(window time.Duration) *Reporter { return &Reporter{window: window} }

// Next returns the call that is due. truth is the fleet's time; now paces
// repeats. begun returns the counts of a window.
func (r *Reporter) Next(now, truth time.Time, begun func(uint64) map[fleet.WorkspaceID]uint64) Action {
	if r.busy || now.Before(r.notUntil) {
		return Action{}
	}
	switch {
	case !r.known:
		r.busy = true
		return Action{Kind: Read}
	case r.revision != 0 && !r.sent:
		r.busy = true
		return Action{Kind: Send, Record: r.record}
	}
	last := uint64(truth.Add(-settle).UnixNano()/int64(r.window)) - 1 // newest window that is complete
	if r.last.Window > r.record.Window {
		r.busy = true
		return Action{Kind: Freeze, Revision: r.revision, Record: r.last}
	}
	if r.lost() && r.floor == 0 {
		r.floor = last
	}
	next := max(r.record.Window, r.floor) + 1
	if r.revision == 0 && r.floor == 0 || next+oldest < last {
		next = last
	}
	if next > last {
		return Action{}
	}
	r.busy = true
	return Action{Kind: Freeze, Revision: r.revision, Record: Record{Window: next, Begun: begun(next)}}
}

// lost reports whether later records than the stored one may be lost. Failure: the
// store comes back from a copy some seconds old, and the duty has a new holder.
// Symptom: a window that was reported is reported again, with other counts. What
// is complete by now may have been; it is left out.
func (r *Reporter) lost() bool {
	return r.revision != 0 && r.last.Window == 0 && objects.EraOf(r.revision) > r.record.Era
}

// Found takes the stored record; revision 0 is none.
func (r *Reporter) Found(revision uint64, record Record) {
	r.busy, r.known = false, true
	r.revision, r.record, r.sent = revision, record, false
}

// Frozen takes the answer that a record was written.
func (r *Reporter) Frozen(revision uint64, record Record) {
	r.last = record
	r.Found(revision, record)
}

// Unsure notes that a call of the store failed or lost its condition: what is
// stored must be read before anything is sent.
func (r *Reporter) Unsure(now time.Time) {
	r.busy, r.known = false, false
	r.notUntil = now.Add(pause)
}

// Sent notes that the record's report was taken.
func (r *Reporter) Sent() { r.busy, r.sent = false, true }

// SendFailed notes that a report has no answer or was turned away; the same
// one is repeated.
func (r *Reporter) SendFailed(now time.Time) {
	r.busy = false
	r.notUntil = now.Add(pause)
}
