package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

func encodeRolloutReports(all []rollout.Report) []*exchangepb.RolloutReport {
	out := make([]*exchangepb.RolloutReport, len(all))
	for i := range all {
		r := &all[i]
		out[i] = &exchangepb.RolloutReport{
			Service: r.Service, Target: r.Key.Target, StartedMs: r.Key.Started,
			Asked: uint64(r.Asked), Exposed: uint64(r.Exposed), Running: int64(r.Running), Moved: r.Moved,
		}
		for j := range r.Rows {
			row := &r.Rows[j]
			out[i].Rows = append(out[i].Rows, &exchangepb.RolloutRow{
				Route: row.Route, Endpoint: row.Endpoint, Failed: row.Counts.Failed, Times: row.Counts.Trimmed(),
			})
		}
	}
	return out
}

func decodeRolloutReports(all []*exchangepb.RolloutReport) []rollout.Report {
	if len(all) == 0 {
		return nil
	}
	out := make([]rollout.Report, len(all))
	for i, r := range all {
		out[i] = rollout.Report{
			Service: r.Service, Key: rollout.Key{Target: r.Target, Started: r.StartedMs},
			Asked: int(r.Asked), Exposed: int(r.Exposed), Running: int(r.Running), Moved: r.Moved,
		}
		for _, row := range r.Rows {
			counts := rollout.Counts{Failed: row.Failed}
			copy(counts.Times[:], row.Times)
			out[i].Rows = append(out[i].Rows, rollout.Row{Route: row.Route, Endpoint: row.Endpoint, Counts: counts})
		}
	}
	return out
}

func encodeRolloutUpdate(u *rollout.Update) *exchangepb.RolloutNews {
	if u.Rank.Token == 0 {
		return nil
	}
	out := &exchangepb.RolloutNews{Token: u.Rank.Token, Seq: u.Rank.Seq, AgeMs: u.Age.Milliseconds(), OrdersAgeMs: u.OrdersAge.Milliseconds()}
	for i := range u.Splits {
		split := &u.Splits[i]
		encoded := &exchangepb.RolloutWord{
			Service: split.Service, Target: split.Key.Target, StartedMs: split.Key.Started, Phase: uint32(split.Phase),
			Share: split.Share, Spread: uint32(split.Spread), Turn: split.Rotation,
		}
		for route, share := range split.Routes {
			encoded.Routes = append(encoded.Routes, &exchangepb.Amount{Name: route, Amount: share})
		}
		out.Words = append(out.Words, encoded)
	}
	return out
}

func decodeRolloutUpdate(n *exchangepb.RolloutNews) rollout.Update {
	if n == nil {
		return rollout.Update{}
	}
	out := rollout.Update{
		Rank: rollout.Rank{Token: n.Token, Seq: n.Seq}, Age: time.Duration(n.AgeMs) * time.Millisecond,
		OrdersAge: time.Duration(n.OrdersAgeMs) * time.Millisecond,
	}
	for _, w := range n.Words {
		split := rollout.Split{
			Service: w.Service, Key: rollout.Key{Target: w.Target, Started: w.StartedMs}, Phase: rollout.PhaseOf(w.Phase),
			Share: w.Share, Spread: int(w.Spread), Rotation: w.Turn,
		}
		for _, a := range w.Routes {
			if split.Routes == nil {
				split.Routes = map[string]float64{}
			}
			split.Routes[a.Name] = a.Amount
		}
		out.Splits = append(out.Splits, split)
	}
	return out
}
