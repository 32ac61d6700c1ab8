package usage

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const (
	// settleDelay is how long after a window's end its counts are complete: daemons
	// report them four times a second, and lost reports are repeated.
	settleDelay = 1500 * time.Millisecond
	// retryPause is the time between a failed call and its retry.
	retryPause = 300 * time.Millisecond
	// maxWindowsBehind is how many windows behind a reporter may be. Beyond that, it
	// continues with the newest complete window.
	maxWindowsBehind = 2
)

// Reporter reports the windows, on the daemon that holds the lease for it. A new
// holder starts with a new Reporter. A former holder may continue for a while, so
// writes to the store are conditional. A Reporter is not safe for concurrent use.
type Reporter struct {
	window   time.Duration
	loaded   bool   // the stored record was read
	revision uint64 // of the stored record, 0 if there is none
	record   Record // the stored record
	sent     bool   // the record was reported
	// lastFrozen is the newest record that this reporter has frozen. The store may
	// be restored from an older copy without it.
	lastFrozen Record
	// maybeReported is the newest window that another holder may have reported
	// although the restored store has no record of it.
	maybeReported uint64
	retryAt       time.Time
	inFlight      bool // a call is in flight
}

// NewReporter returns a reporter for windows of the given length.
func NewReporter(window time.Duration) *Reporter { return &Reporter{window: window} }

// Next returns the call that is due. now is the local time, for the pauses between
// retries; fleetTime is the fleet's common time, which windows are based on. counts
// returns the counts of a window.
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
	last := uint64(fleetTime.Add(-settleDelay).UnixNano()/int64(r.window)) - 1 // newest complete window
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

// recordsMayBeLost reports whether the store may have lost records later than the
// stored one: it was restored from an older copy, and the reporter is new. A lost
// record's window may have been reported, and must not be reported again with
// other counts, so all windows that are complete by now are skipped.
func (r *Reporter) recordsMayBeLost() bool {
	return r.revision != 0 && r.lastFrozen.Window == 0 && objects.EraOf(r.revision) > r.record.Era
}

// Found handles the stored record; revision 0 means that there is none.
func (r *Reporter) Found(revision uint64, record Record) {
	r.inFlight, r.loaded = false, true
	r.revision, r.record, r.sent = revision, record, false
}

// Frozen handles the success of Freeze.
func (r *Reporter) Frozen(revision uint64, record Record) {
	r.lastFrozen = record
	r.Found(revision, record)
}

// Unsure handles a call to the store that failed or whose condition didn't hold:
// the stored record must be read again before anything is sent.
func (r *Reporter) Unsure(now time.Time) {
	r.inFlight, r.loaded = false, false
	r.retryAt = now.Add(retryPause)
}

// Sent handles the success of Send.
func (r *Reporter) Sent() { r.inFlight, r.sent = false, true }

// SendFailed handles a report that was rejected or not answered; the same one is
// sent again.
func (r *Reporter) SendFailed(now time.Time) {
	r.inFlight = false
	r.retryAt = now.Add(retryPause)
}
