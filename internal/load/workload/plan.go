package workload

import "time"

// Plan is the input of a schedule.
type Plan struct {
	Mix        *Mix
	Workspaces []Workspace
	Rate       float64 // requests per second of all workspaces, at factor 1
	Duration   time.Duration
	Requests   int // maximum in the schedule
	Seed       uint64
	Bursts     Bursts
	// LatencyScale multiplies the time between turns of a conversation.
	LatencyScale float64
}

func (p *Plan) check() error {
	switch {
	case p.Mix == nil:
		return Error.New("no mix")
	case len(p.Workspaces) == 0:
		return Error.New("no workspaces")
	case p.Rate <= 0 || p.Duration <= 0 || p.Requests <= 0 || p.LatencyScale <= 0:
		return Error.New("rate, duration, requests and latency scale must be above 0")
	case p.Bursts.Share < 0 || p.Bursts.Share >= 1:
		return Error.New("share of bursts %v must be from 0 to below 1", p.Bursts.Share)
	case p.Bursts.Share > 0 && p.Bursts.Size < 1:
		return Error.New("size of bursts %d must be above 0", p.Bursts.Size)
	}
	for _, w := range p.Workspaces {
		if w.Weight <= 0 || w.Factor < 0 {
			return Error.New("workspace %s: weight must be above 0, factor not below", w.Name)
		}
	}
	return nil
}

// totalWeight returns the sum of the workspaces' weights.
func (p *Plan) totalWeight() float64 {
	sum := 0.0
	for _, w := range p.Workspaces {
		sum += w.Weight
	}
	return sum
}
