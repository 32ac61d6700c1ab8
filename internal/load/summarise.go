package load

import (
	"cmp"
	"runtime"
	"slices"
	"time"
)

// result assembles the result of the run. executions is how often each order's
// key ran, nil if that is not known.
func (r *run) result(executions map[string]int) *Result {
	c := r.recorder
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks.Orders = c.orders.check(executions)
	res := &Result{
		Schema: Schema, Name: r.o.Name, Policy: r.o.Policy,
		GoVersion: runtime.Version(), StartedAt: r.start.UTC(),
		Settings: r.settings(), Targets: r.targets(), Checks: c.checks,
		Answers: c.answers.section(), Services: c.services.section(),
		Timeline: c.timeline, Reasons: c.reasonCounts(),
		Generator: Generator{SendLag: newDistribution(c.lag), SentWithoutHistory: r.conversations.sentWithoutHistory()},
	}
	res.Engines.Counters, res.Engines.Count, res.Engines.FailedReadings = r.meter.totals()
	res.Goodput = float64(res.Answers.Within) / r.elapsed.Seconds()
	res.Cost = r.cost(r.meter.cost(), res.Answers.Within)
	for i, k := range r.plan.Mix.Kinds {
		res.Kinds = append(res.Kinds, NamedSection{Name: k.Name, Section: c.kinds[i].section()})
	}
	for i, w := range r.plan.Workspaces {
		res.Workspaces = append(res.Workspaces, NamedSection{Name: w.Name, Section: c.workspaces[i].section()})
	}
	for _, f := range r.o.Faults {
		res.Faults = append(res.Faults, FaultRecord{Name: f.Name, AtMillis: f.At.Milliseconds()})
	}
	return res
}

// reasonCounts returns the reasons of failed attempts, most frequent first.
func (r *recorder) reasonCounts() []ReasonCount {
	var all []ReasonCount
	for reason, n := range r.reasons {
		all = append(all, ReasonCount{Reason: reason, Count: n})
	}
	slices.SortFunc(all, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

func (r *run) cost(spent float64, within int64) Cost {
	c := Cost{Known: spent > 0, Total: spent}
	if c.Known && within > 0 {
		per := spent / float64(within) * 1000
		c.PerThousandWithin = &per
	}
	return c
}

func (r *run) settings() Settings {
	return Settings{
		Seed: r.o.Seed, Mix: r.plan.Mix.Name, Model: r.plan.Mix.Model,
		Rate: r.o.Rate, Load: r.o.Load, Capacity: r.o.Capacity,
		Seconds: r.plan.Duration.Seconds(), Requests: len(r.schedule.Arrivals), InFlight: r.o.InFlight,
		TargetScale: r.o.TargetScale, TokenScale: r.o.TokenScale, Bursts: r.plan.Bursts,
		Workspaces: r.o.Workspaces, ScheduleHash: r.schedule.Hash(),
	}
}

func (r *run) targets() Targets {
	t := r.recorder.target
	return Targets{
		Scale:               r.o.TargetScale,
		FirstTokenMillis:    float64(t.first) / float64(time.Millisecond),
		BetweenTokensMillis: float64(t.between) / float64(time.Millisecond),
	}
}
