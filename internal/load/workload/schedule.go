package workload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Schedule is the arrivals of a plan in chronological order.
type Schedule struct {
	Arrivals []Arrival
	// Conversations is the number of conversations in the arrivals.
	Conversations int
}

// Build draws the schedule of a plan. Each workspace has its own random source,
// so that one workspace's factor doesn't change the others' arrivals.
func Build(p *Plan) (*Schedule, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	var s Schedule
	total := p.totalWeight()
	for i, w := range p.Workspaces {
		src := rand.New(rand.NewPCG(p.Seed, xxh3.HashString(w.Name)))
		rate := p.Rate * w.Weight / total * w.factor()
		s.addWorkspace(p, i, arrivalTimes(src, p, rate), src)
	}
	slices.SortStableFunc(s.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	if len(s.Arrivals) > p.Requests {
		s.Arrivals = s.Arrivals[:p.Requests]
	}
	s.markLast()
	return &s, nil
}

// Hash returns a hash of the arrivals, which is equal for equal schedules.
func (s *Schedule) Hash() uint64 {
	h := xxh3.New()
	var buf []byte
	for _, a := range s.Arrivals {
		buf = a.appendTo(buf[:0])
		_, _ = h.Write(buf)
	}
	return h.Sum64()
}

// arrivalTimes returns one workspace's arrival times in order. They are of two
// Poisson processes, of single arrivals and of bursts, which together have the
// given rate in arrivals per second.
func arrivalTimes(src *rand.Rand, p *Plan, rate float64) []time.Duration {
	var times []time.Duration
	poisson(src, rate*(1-p.Bursts.Share), p, func(at time.Duration) {
		times = append(times, at)
	})
	if p.Bursts.Share > 0 {
		poisson(src, rate*p.Bursts.Share/float64(p.Bursts.Size), p, func(at time.Duration) {
			times = appendBurst(times, src, p, at)
		})
	}
	slices.Sort(times)
	return times
}

// poisson calls at with the time of each event of a Poisson process, at most
// p.Requests times. rate is in events per second.
func poisson(src *rand.Rand, rate float64, p *Plan, at func(time.Duration)) {
	mean := float64(time.Second) / rate
	t := src.ExpFloat64() * mean
	for n := 0; n < p.Requests && t < float64(p.Duration); n++ {
		at(time.Duration(t))
		t += src.ExpFloat64() * mean
	}
}

func appendBurst(times []time.Duration, src *rand.Rand, p *Plan, at time.Duration) []time.Duration {
	for range p.Bursts.Size {
		t := at + time.Duration(src.Float64()*float64(p.Bursts.Span))
		if t < p.Duration {
			times = append(times, t)
		}
	}
	return times
}

// addWorkspace adds the requests of one workspace at its arrival times.
func (s *Schedule) addWorkspace(p *Plan, workspace int, times []time.Duration, src *rand.Rand) {
	d := newSampler(p, src)
	for _, at := range times {
		a := d.sample(at, &s.Conversations)
		a.Workspace = workspace
		s.Arrivals = append(s.Arrivals, a)
	}
}

// markLast sets Last on the final turn of each conversation.
func (s *Schedule) markLast() {
	seen := make([]bool, s.Conversations)
	for i := len(s.Arrivals) - 1; i >= 0; i-- {
		a := &s.Arrivals[i]
		if a.Conversation < 0 || seen[a.Conversation] {
			continue
		}
		seen[a.Conversation] = true
		a.Last = true
	}
}
