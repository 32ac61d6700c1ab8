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
	planned map[request.Ref]planned
}

type planned struct {
	move   Move
	ends   time.Time // of an export
	tokens int       // reserved on move.To
	until  time.Time
}

// NewPlanner returns a planner without plans.
func NewPlanner(policy Policy) *Planner {
	return &Planner{
		policy:  policy,
		notices: make(map[fleet.EndpointID]Notice),
		planned: make(map[request.Ref]planned),
	}
}

// Plan returns the moves that are new or changed since the last plan, by
// endpoint and start. Streams of endpoints without a notice are ignored.
func (p *Planner) Plan(now time.Time, notices []Notice, streams []Stream, targets []Target) []Move {
	p.expire(now)
	p.learn(now, notices)
	doomed := p.unplanned(now, streams)
	if len(doomed) == 0 {
		return nil
	}
	m := p.market(targets)
	var out []Move
	for from := 0; from < len(doomed); {
		to := from
		for to < len(doomed) && doomed[to].Endpoint == doomed[from].Endpoint {
			to++
		}
		out = append(out, p.endpoint(now, p.notices[doomed[from].Endpoint], doomed[from:to], m)...)
		from = to
	}
	return out
}

// Settled says that a stream has moved or ended. Its reservation stays until
// the target's report shows it.
func (p *Planner) Settled(now time.Time, ref request.Ref) {
	known, ok := p.planned[ref]
	if !ok {
		return
	}
	known.until = now.Add(p.policy.Keep)
	p.planned[ref] = known
}

// Noticed reports whether an endpoint is under notice.
func (p *Planner) Noticed(e fleet.EndpointID) bool {
	_, ok := p.notices[e]
	return ok
}

func (p *Planner) expire(now time.Time) {
	for e, n := range p.notices {
		if now.Sub(n.LeaveAt) > p.policy.Keep {
			delete(p.notices, e)
		}
	}
	for ref, known := range p.planned {
		if now.After(known.until) {
			delete(p.planned, ref)
		}
	}
}

// learn merges notices: the earliest end counts. One that comes forward makes
// the endpoint's moves that have not started be planned anew.
func (p *Planner) learn(now time.Time, notices []Notice) {
	for _, n := range notices {
		if now.Sub(n.LeaveAt) > p.policy.Keep {
			continue
		}
		known, ok := p.notices[n.Endpoint]
		if ok && !n.LeaveAt.Before(known.LeaveAt) {
			continue
		}
		p.notices[n.Endpoint] = n
		if ok {
			p.replan(now, n.Endpoint)
		}
	}
}

func (p *Planner) replan(now time.Time, from fleet.EndpointID) {
	for ref, known := range p.planned {
		waits := known.move.Method == Finish || known.move.At.After(now)
		if known.move.From == from && waits {
			delete(p.planned, ref)
		}
	}
}

// unplanned returns the streams under notice that have no valid plan, by
// endpoint and id so that a plan depends on its input alone.
func (p *Planner) unplanned(now time.Time, streams []Stream) []Stream {
	var out []Stream
	for _, s := range streams {
		if p.Noticed(s.Endpoint) && !p.valid(now, s) {
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

// valid reports whether the stream's plan still stands: it is about the
// endpoint where the stream is, and its target is not under notice as well
// unless the move has started, which is left to end.
func (p *Planner) valid(now time.Time, s Stream) bool {
	known, ok := p.planned[s.Ref]
	if !ok || known.move.From != s.Endpoint {
		return false
	}
	return !p.Noticed(known.move.To) || !known.move.At.After(now)
}

// keyOf is what a stream's targets are drawn by.
func keyOf(s Stream) uint64 {
	return rendezvous.Score(rendezvous.Key(string(s.Ref.ID)), string(s.Ref.Workspace))
}
