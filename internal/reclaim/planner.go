package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Planner plans for the streams that one daemon holds. It stores its plans, so
// that a repeated notice changes nothing, and its reservations on targets, so
// that overlapping notices don't use the same free capacity twice.
type Planner struct {
	policy  Policy
	notices map[fleet.EndpointID]Notice
	planned map[request.Ref]plannedMove
}

// plannedMove is a stored plan with its reservation on the target.
type plannedMove struct {
	move           Move
	exportEnd      time.Time // when the export is to be over, zero for other methods
	reservedTokens int       // reserved on move.To
	expiresAt      time.Time
}

// NewPlanner returns a planner without plans.
func NewPlanner(policy Policy) *Planner {
	return &Planner{
		policy:  policy,
		notices: make(map[fleet.EndpointID]Notice),
		planned: make(map[request.Ref]plannedMove),
	}
}

// Plan returns the moves that are new or changed since the last plan, grouped by
// endpoint. Streams on endpoints without a notice are ignored.
func (p *Planner) Plan(now time.Time, notices []Notice, streams []Stream, targets []Target) []Move {
	p.expire(now)
	p.mergeNotices(now, notices)
	unplanned := p.unplanned(now, streams)
	if len(unplanned) == 0 {
		return nil
	}
	c := p.newCandidates(targets)
	var out []Move
	for from := 0; from < len(unplanned); {
		to := from
		for to < len(unplanned) && unplanned[to].Endpoint == unplanned[from].Endpoint {
			to++
		}
		out = append(out, p.planEndpoint(now, p.notices[unplanned[from].Endpoint], unplanned[from:to], c)...)
		from = to
	}
	return out
}

// MoveDone records that a stream has moved or ended. Its reservation is kept for
// ReservationTTL, until the target's load report must have included the stream.
func (p *Planner) MoveDone(now time.Time, ref request.Ref) {
	entry, ok := p.planned[ref]
	if !ok {
		return
	}
	entry.expiresAt = now.Add(p.policy.ReservationTTL)
	p.planned[ref] = entry
}

// UnderNotice reports whether an endpoint is under notice.
func (p *Planner) UnderNotice(e fleet.EndpointID) bool {
	_, ok := p.notices[e]
	return ok
}

func (p *Planner) expire(now time.Time) {
	for e, n := range p.notices {
		if now.Sub(n.LeaveAt) > p.policy.ReservationTTL {
			delete(p.notices, e)
		}
	}
	for ref, entry := range p.planned {
		if now.After(entry.expiresAt) {
			delete(p.planned, ref)
		}
	}
}

// mergeNotices stores the earliest notice of each endpoint. If an endpoint is to
// leave earlier than before, its moves that have not started are planned again.
func (p *Planner) mergeNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		if now.Sub(n.LeaveAt) > p.policy.ReservationTTL {
			continue
		}
		old, ok := p.notices[n.Endpoint]
		if ok && !n.LeaveAt.Before(old.LeaveAt) {
			continue
		}
		p.notices[n.Endpoint] = n
		if ok {
			p.discardPending(now, n.Endpoint)
		}
	}
}

// discardPending deletes the plans of an endpoint's moves that have not started.
func (p *Planner) discardPending(now time.Time, from fleet.EndpointID) {
	for ref, entry := range p.planned {
		pending := entry.move.Method == Finish || entry.move.At.After(now)
		if entry.move.From == from && pending {
			delete(p.planned, ref)
		}
	}
}

// unplanned returns the streams under notice that have no valid plan, sorted by
// endpoint and id so that a plan depends only on its input.
func (p *Planner) unplanned(now time.Time, streams []Stream) []Stream {
	var out []Stream
	for _, s := range streams {
		if p.UnderNotice(s.Endpoint) && !p.hasValidPlan(now, s) {
			delete(p.planned, s.Ref)
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Stream) int {
		return cmp.Or(
			cmp.Compare(a.Endpoint, b.Endpoint),
			cmp.Compare(a.Ref.ID, b.Ref.ID),
			cmp.Compare(a.Ref.Workspace, b.Ref.Workspace),
		)
	})
	return out
}

// hasValidPlan reports whether the stream's plan is still valid: it moves the
// stream from the endpoint where it is, and its target is not under notice. A
// move that has started stays valid even if its target is under notice.
func (p *Planner) hasValidPlan(now time.Time, s Stream) bool {
	entry, ok := p.planned[s.Ref]
	if !ok || entry.move.From != s.Endpoint {
		return false
	}
	return !p.UnderNotice(entry.move.To) || !entry.move.At.After(now)
}

// drawKey returns the key that determines which targets are drawn for a stream.
func drawKey(s Stream) uint64 {
	return rendezvous.Score(rendezvous.Key(string(s.Ref.ID)), string(s.Ref.Workspace))
}
