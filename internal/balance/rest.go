package balance

import (
	"maps"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// rampTime is the time after an endpoint's rest in which this daemon's requests there may rise
// from one at a time to all slots.
const rampTime = 2 * time.Second

// Rest records that an endpoint wants no requests from this daemon for a while. A shorter rest
// than the one in force doesn't end that sooner, and neither does an answer to another request.
func (b *Balancer) Rest(now time.Time, c Choice, rest time.Duration) {
	m := b.member(c)
	if m == nil {
		return
	}
	if until := now.Add(rest); until.After(m.restUntil) {
		m.restUntil = until
		b.rests[m.ID] = runRest{m.StartedAt, until}
	}
}

// runRest is the rest that one run of an endpoint has asked for.
type runRest struct {
	startedAt time.Time
	until     time.Time
}

// restoreRest gives a member that is listed anew the rest that its run has asked for: an entry
// may be missing in the list for a moment.
func (b *Balancer) restoreRest(m *member) {
	if r, ok := b.rests[m.ID]; ok && r.startedAt.Equal(m.StartedAt) {
		m.restUntil = r.until
	}
}

// pruneRests forgets the rests that have ended.
func (b *Balancer) pruneRests(now time.Time) {
	maps.DeleteFunc(b.rests, func(_ fleet.EndpointID, r runRest) bool { return now.Sub(r.until) > rampTime })
}

// resting reports whether the endpoint gets no further requests from this daemon, at rest or
// just after it.
func (m *member) resting(now time.Time) bool {
	if m.restUntil.IsZero() {
		return false
	}
	since := now.Sub(m.restUntil)
	if since < 0 {
		return true
	}
	return since < rampTime && float64(m.own.Requests) >= 1+float64(max(m.Slots, 1))*since.Seconds()/rampTime.Seconds()
}

// restWait returns the time until the first of the endpoints at rest takes requests again; ok
// is false if there is none.
func (b *Balancer) restWait(now time.Time, r *Request) (d time.Duration, ok bool) {
	for _, m := range b.eligible(r) {
		if left := m.restUntil.Sub(now); m.resting(now) && (!ok || left < d) {
			d, ok = max(left, minRestWait), true
		}
	}
	return d, ok
}

// AnyRest reports whether an endpoint that a request may go to is at rest.
func (b *Balancer) AnyRest(now time.Time, r *Request) bool {
	if len(b.rests) == 0 {
		return false
	}
	_, ok := b.restWait(now, r)
	return ok
}

// minRestWait is the least wait after a rest, while its endpoint takes few requests.
const minRestWait = 100 * time.Millisecond

// MostRest reports whether more than half of the endpoints that a request may go to are at
// rest: another attempt would likely be turned away too.
func (b *Balancer) MostRest(now time.Time, r *Request) bool {
	set, resting := b.eligible(r), 0
	for _, m := range set {
		if m.resting(now) {
			resting++
		}
	}
	return 2*resting > len(set)
}
