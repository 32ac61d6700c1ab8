package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// maxTransfer bounds the computed duration of a transfer, also where the rate is
// 0. It is longer than any notice.
const maxTransfer = 24 * time.Hour

// planEndpoint plans for the streams on one endpoint under notice.
func (p *Planner) planEndpoint(now time.Time, n Notice, streams []Stream, c *candidates) []Move {
	left := n.LeaveAt.Sub(now) - p.policy.Margin
	var out []Move
	var rest []Stream
	for _, s := range streams {
		if s.NonIdempotent || p.finishesInTime(s, left) {
			out = append(out, p.record(n, s, Move{Ref: s.Ref, From: n.Endpoint, Method: Finish}, time.Time{}))
			continue
		}
		rest = append(rest, s)
	}
	exported, rest := p.planExports(now, n, rest, left, c)
	out = append(out, exported...)
	return append(out, p.planRecomputes(now, n, rest, left, c)...)
}

func (p *Planner) finishesInTime(s Stream, left time.Duration) bool {
	return time.Duration(float64(s.Remaining)*p.policy.Slack) <= left
}

// planExports chooses the exports that save the most recomputed tokens in the
// time that is left. It returns the moves, and the streams for which there was
// no time or no target.
func (p *Planner) planExports(now time.Time, n Notice, streams []Stream, left time.Duration, c *candidates) ([]Move, []Stream) {
	link := newLink(p.policy, n.LinkRate, c.exportsEnd[n.Endpoint].Sub(now))
	rest := slices.DeleteFunc(slices.Clone(streams), func(s Stream) bool { return s.savedTokens() >= p.policy.MinExportTokens })
	streams = slices.DeleteFunc(streams, func(s Stream) bool { return s.savedTokens() < p.policy.MinExportTokens })
	link.sortForExport(streams, left)
	var out []Move
	for _, s := range streams {
		start, end := link.next(s.KVBytes)
		if end > left {
			rest = append(rest, s)
			continue
		}
		chosen := c.reserve(s)
		if chosen == nil {
			rest = append(rest, s)
			continue
		}
		link.add(end)
		move := Move{Ref: s.Ref, From: n.Endpoint, Method: ExportKV, To: chosen.target.Endpoint, At: now.Add(start)}
		out = append(out, p.record(n, s, move, now.Add(end)))
	}
	return out, rest
}

// planRecomputes spreads the recomputes over the time that is left: starting all
// at once would queue a burst of prefills at the targets. Until its turn a stream
// continues to generate on its endpoint, and nothing of that is lost, since this
// daemon has the text. The streams nearest to their end come last, and may finish
// instead.
func (p *Planner) planRecomputes(now time.Time, n Notice, streams []Stream, left time.Duration, c *candidates) []Move {
	slices.SortStableFunc(streams, func(a, b Stream) int { return cmp.Compare(b.Remaining, a.Remaining) })
	out := make([]Move, 0, len(streams))
	for i, s := range streams {
		move := Move{Ref: s.Ref, From: n.Endpoint, Method: Recompute, At: now}
		if left > 0 {
			move.At = now.Add(left * time.Duration(i+1) / time.Duration(len(streams)))
		}
		if chosen := c.reserve(s); chosen != nil {
			move.To = chosen.target.Endpoint
		}
		out = append(out, p.record(n, s, move, time.Time{}))
	}
	return out
}

// record stores the plan of a stream, with a reservation if move has a target,
// and returns move.
func (p *Planner) record(n Notice, s Stream, move Move, exportEnd time.Time) Move {
	entry := plannedMove{move: move, exportEnd: exportEnd, expiresAt: n.LeaveAt.Add(p.policy.ReservationTTL)}
	if move.To != "" {
		entry.reservedTokens = s.prefillTokens()
	}
	p.planned[s.Ref] = entry
	return move
}
