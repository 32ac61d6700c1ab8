package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Planner plans for the streams that one daemon holds. It remembers what it
// planned, so that a notice told again changes nothing, and what it reserved
// on targets, so that overlapping notices don't count the same room twice.
type Planner struct {
	policy  Policy
	notices map[fleet.EndpointID]Notice
	planned map[request.Ref]plannedMove
}

type plannedMove struct {
	move           Move
	exportEnd      time.Time // of an export
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

// Plan returns the moves that are new or changed since the last plan, by
// endpoint and start. Streams of endpoints without a notice are ignored.
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

// MoveDone says that a stream has moved or ended. Its reservation stays until
// the target's report shows it.
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

// mergeNotices merges notices: the earliest end counts. One that comes forward makes
// the endpoint's moves that have not started be planned anew.
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

func (p *Planner) discardPending(now time.Time, from fleet.EndpointID) {
	for ref, entry := range p.planned {
		pending := entry.move.Method == Finish || entry.move.At.After(now)
		if entry.move.From == from && pending {
			delete(p.planned, ref)
		}
	}
}

// unplanned returns the streams under notice that have no valid plan, by
// endpoint and id so that a plan depends on its input alone.
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

// hasValidPlan reports whether the stream's plan still stands: it is about the
// endpoint where the stream is, and its target is not under notice as well
// unless the move has started, which is left to end.
func (p *Planner) hasValidPlan(now time.Time, s Stream) bool {
	entry, ok := p.planned[s.Ref]
	if !ok || entry.move.From != s.Endpoint {
		return false
	}
	return !p.UnderNotice(entry.move.To) || !entry.move.At.After(now)
}

// drawKey is what a stream's targets are drawn by.
func drawKey(s Stream) uint64 {
	return rendezvous.Score(rendezvous.Key(string(s.Ref.ID)), string(s.Ref.Workspace))
}
