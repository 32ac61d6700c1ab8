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
			out = append(out, p.plan(n, s, Move{Ref: s.Ref, From: n.Endpoint, Method: Finish}, time.Time{}))
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

// exports chooses what saves the most recomputed tokens in the seconds that are
// left. It returns the moves and the streams for which there was no time or no
// target.
func (p *Planner) exports(now time.Time, n Notice, streams []Stream, left time.Duration, m *market) ([]Move, []Stream) {
	link := newLink(p.policy, n.LinkBytes, m.busy[n.Endpoint].Sub(now))
	rest := slices.DeleteFunc(slices.Clone(streams), func(s Stream) bool { return s.saved() >= p.policy.MinTokens })
	streams = slices.DeleteFunc(streams, func(s Stream) bool { return s.saved() < p.policy.MinTokens })
	link.order(streams, left)
	var out []Move
	for _, s := range streams {
		start, end := link.next(s.KVBytes)
		if end > left {
			rest = append(rest, s)
			continue
		}
		target := m.take(s)
		if target == nil {
			rest = append(rest, s)
			continue
		}
		link.add(end)
		move := Move{Ref: s.Ref, From: n.Endpoint, Method: ExportKV, To: target.target.Endpoint, At: now.Add(start)}
		out = append(out, p.plan(n, s, move, now.Add(end)))
	}
	return out, rest
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
		out = append(out, p.plan(n, s, move, time.Time{}))
	}
	return out
}

func (p *Planner) plan(n Notice, s Stream, move Move, ends time.Time) Move {
	known := planned{move: move, ends: ends, until: n.LeaveAt.Add(p.policy.Keep)}
	if move.To != "" {
		known.tokens = s.tokens()
	}
	p.planned[s.Ref] = known
	return move
}
