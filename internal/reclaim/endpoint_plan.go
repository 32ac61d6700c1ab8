package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// never is longer than any notice: the duration of an export without a link.
const never = 24 * time.Hour

// endpoint plans the streams of one endpoint under notice.
func (p *Planner) endpoint(now time.Time, n Notice, streams []Stream, m *market) []Move {
	left := n.LeaveAt.Sub(now) - p.policy.Margin
	var out []Move
	var rest []Stream
	for _, s := range streams {
		if s.Fixed || p.finishes(s, left) {
			out = append(out, p.plan(n, s, Move{Ref: s.Ref, From: n.Endpoint, Method: Finish}))
			continue
		}
		rest = append(rest, s)
	}
	exported, rest := p.exports(now, n, rest, left, m)
	out = append(out, exported...)
	return append(out, p.recomputes(now, n, rest, left, m)...)
}

func (p *Planner) finishes(s Stream, left time.Duration) bool {
	return time.Duration(float64(s.Remaining)*p.policy.Slack) <= left
}

// exports chooses by recomputed tokens saved per second of the notice, the
// greedy answer to the knapsack of the link's remaining seconds. It returns
// the moves and the streams for which there was no time or no target.
func (p *Planner) exports(now time.Time, n Notice, streams []Stream, left time.Duration, m *market) ([]Move, []Stream) {
	lanes := make([]time.Duration, p.policy.Exports) // when each is free
	slices.SortStableFunc(streams, func(a, b Stream) int {
		return cmp.Compare(p.density(n, b), p.density(n, a))
	})
	var out []Move
	var rest []Stream
	for _, s := range streams {
		lane, ends := p.lane(lanes, n, s)
		if s.saved() < p.policy.MinTokens || ends > left {
			rest = append(rest, s)
			continue
		}
		target := m.take(s)
		if target == nil {
			rest = append(rest, s)
			continue
		}
		at := now.Add(lanes[lane])
		lanes[lane] = ends
		out = append(out, p.plan(n, s, Move{
			Ref: s.Ref, From: n.Endpoint, Method: ExportKV, To: target.target.Endpoint, At: at,
		}))
	}
	return out, rest
}

// lane returns the lane that is free first and when s would be over there.
func (p *Planner) lane(lanes []time.Duration, n Notice, s Stream) (int, time.Duration) {
	first := 0
	for i, free := range lanes {
		if free < lanes[first] {
			first = i
		}
	}
	return first, lanes[first] + p.duration(n, s)
}

// duration of an export: the lanes share the link.
func (p *Planner) duration(n Notice, s Stream) time.Duration {
	seconds := never.Seconds()
	if n.LinkBytes > 0 {
		seconds = min(seconds, float64(s.KVBytes)*float64(p.policy.Exports)/n.LinkBytes)
	}
	return p.policy.Setup + time.Duration(seconds*float64(time.Second))
}

func (p *Planner) density(n Notice, s Stream) float64 {
	return float64(s.saved()) / p.duration(n, s).Seconds()
}

// recomputes spreads the others over the notice. Each goes on generating here
// until its turn, which costs nothing: its text is with this daemon. Those that
// are nearest to their end come last, and may finish instead. Starting all at
// once would queue a wave of prefills before the targets.
func (p *Planner) recomputes(now time.Time, n Notice, streams []Stream, left time.Duration, m *market) []Move {
	slices.SortStableFunc(streams, func(a, b Stream) int { return cmp.Compare(b.Remaining, a.Remaining) })
	out := make([]Move, 0, len(streams))
	for i, s := range streams {
		move := Move{Ref: s.Ref, From: n.Endpoint, Method: Recompute, At: now}
		if left > 0 {
			move.At = now.Add(left * time.Duration(i+1) / time.Duration(len(streams)))
		}
		if target := m.take(s); target != nil {
			move.To = target.target.Endpoint
		}
		out = append(out, p.plan(n, s, move))
	}
	return out
}

func (p *Planner) plan(n Notice, s Stream, move Move) Move {
	known := planned{move: move, until: n.LeaveAt.Add(p.policy.Keep)}
	if move.To != "" {
		known.tokens = s.tokens()
	}
	p.planned[s.Ref] = known
	return move
}
