package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// These benchmarks produce the figures of docs/adr/0007-limits.md.
// Run: go test -run=- -bench=Sim -benchtime=1x ./internal/admission

const simTime = 10 * time.Minute

// capacity is what the simulated engines can serve, in requests a second.
func capacity() float64 { return simSlots / meanHold() }

func workspaceName(i int) fleet.WorkspaceID { return fleet.WorkspaceID(fmt.Sprintf("w%d", i)) }

// addEvenLoad offers load times capacity, split over five workspaces.
func (l *loadSim) addEvenLoad(load float64) {
	for i := range 5 {
		l.addArrivals(workspaceName(i), load*capacity()/5, 0, simTime)
	}
}

// sum adds up the tallies of all workspaces but the excluded ones.
func (l *loadSim) sum(without ...fleet.WorkspaceID) *tally {
	sum := &tally{}
	for id, t := range l.tallies {
		if slices.Contains(without, id) {
			continue
		}
		sum.offered += t.offered
		sum.good += t.good
		sum.late += t.late
		sum.refused += t.refused
		sum.firstTokens = append(sum.firstTokens, t.firstTokens...)
	}
	return sum
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }

// BenchmarkSimGoodput offers 30% to 130% of capacity and compares: no limit on
// requests in flight (none), a queue without early refusal (queue), a queue that
// drops late requests at dispatch (drop), and early refusal (early).
func BenchmarkSimGoodput(b *testing.B) {
	variants := []struct {
		name string
		set  func(*loadSim)
	}{
		{"none", func(l *loadSim) { l.a.SetCapacity("engines", 1<<20) }},
		{"queue", func(l *loadSim) { l.noDeadline = true }},
		{"drop", func(l *loadSim) { l.noDeadline, l.dropLate = true, true }},
		{"early", func(*loadSim) {}},
	}
	for _, load := range []float64{0.3, 0.6, 0.9, 1.0, 1.15, 1.3} {
		for _, w := range variants {
			b.Run(fmt.Sprintf("load=%.0f/%s", 100*load, w.name), func(b *testing.B) {
				for range b.N {
					l := newLoadSim(1, DefaultConfig())
					w.set(l)
					l.addEvenLoad(load)
					l.run()
					s := l.sum()
					b.ReportMetric(float64(s.good)/simTime.Seconds()/capacity(), "goodput")
					b.ReportMetric(percent(s.late, s.offered), "late-%")
					b.ReportMetric(percent(l.refusedAfterQueue, l.refusals), "refused-after-queue-%")
					b.ReportMetric(l.timeToRefusal.Seconds()*1e3/float64(max(1, l.refusals)), "held-ms")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkSimFairness lets one of five workspaces send ten times its fair share
// (storm) or 80% of it (calm) while the others send 80% of theirs. The ratio
// compares the others' 95th percentiles of the time to the first token.
func BenchmarkSimFairness(b *testing.B) {
	share := capacity() / 5
	limit := Limits{TokensPerSecond: share * meanTokens(), TokenBurst: 5 * share * meanTokens()}
	for _, w := range []struct {
		name   string
		limits Limits
	}{{"fair-queue", Limits{}}, {"limits", limit}} {
		b.Run(w.name, func(b *testing.B) {
			for range b.N {
				calm := othersBesideRate(w.limits, 0.8*share)
				storm := othersBesideRate(w.limits, 10*share)
				before, after := calm.firstToken(0.95), storm.firstToken(0.95)
				b.ReportMetric(1e3*before.Seconds(), "calm-p95-ms")
				b.ReportMetric(1e3*after.Seconds(), "storm-p95-ms")
				b.ReportMetric(after.Seconds()/before.Seconds(), "ratio")
				b.ReportMetric(percent(storm.refused, storm.offered), "others-refused-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// othersBesideRate returns what four workspaces get while a fifth offers rate
// requests a second.
func othersBesideRate(limits Limits, rate float64) *tally {
	l := newLoadSim(1, DefaultConfig())
	for i := range 5 {
		l.a.SetLimits(l.clock(), workspaceName(i), limits, 1)
		if i > 0 {
			l.addArrivals(workspaceName(i), 0.8*capacity()/5, 0, simTime)
		}
	}
	l.addArrivals(workspaceName(0), rate, 0, simTime)
	l.run()
	return l.sum(workspaceName(0))
}

// BenchmarkSimPriority gives one of five workspaces each priority that a closing
// can have, at 130% load.
func BenchmarkSimPriority(b *testing.B) {
	for priority := range MaxPriority + 1 {
		b.Run(fmt.Sprintf("priority=%d", priority), func(b *testing.B) {
			for range b.N {
				l := newLoadSim(1, DefaultConfig())
				l.a.SetLimits(l.clock(), workspaceName(0), Limits{Priority: priority}, 1)
				l.addEvenLoad(1.3)
				l.run()
				closing, rest := l.tally(workspaceName(0)), l.sum(workspaceName(0))
				b.ReportMetric(percent(closing.refused, closing.offered), "closing-refused-%")
				b.ReportMetric(percent(rest.refused, rest.offered), "others-refused-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkSimRetry sends a burst of 300 requests every minute in addition to
// 50% load. Refused callers retry, up to 20 tries in all.
func BenchmarkSimRetry(b *testing.B) {
	rng := rand.New(rand.NewPCG(3, 3))
	variants := []struct {
		name   string
		jitter float64
		in     func(time.Duration) time.Duration
	}{
		{"one-second", 0, func(time.Duration) time.Duration { return time.Second }},
		{"one-second-jitter", 0, func(time.Duration) time.Duration {
			return time.Second/2 + time.Duration(rng.Float64()*float64(time.Second))
		}},
		{"retry-after/jitter=0", 0, func(d time.Duration) time.Duration { return d }},
		{"retry-after/jitter=0.2", 0.2, func(d time.Duration) time.Duration { return d }},
		{"retry-after/jitter=1", 1, func(d time.Duration) time.Duration { return d }},
	}
	for _, w := range variants {
		b.Run(w.name, func(b *testing.B) {
			for range b.N {
				cfg := DefaultConfig()
				cfg.RetryJitter = w.jitter
				l := newLoadSim(1, cfg)
				l.maxTries, l.retryDelay = 20, w.in
				l.addEvenLoad(0.5)
				for at := 30 * time.Second; at < simTime; at += time.Minute {
					for range 300 {
						l.events.push(l.newJob(workspaceName(0), at+time.Duration(l.rng.IntN(100))*time.Millisecond))
					}
				}
				l.run()
				s := l.sum()
				slices.Sort(l.startDelays)
				b.ReportMetric(float64(l.tries)/float64(s.offered), "tries/request")
				b.ReportMetric(percent(s.refused, s.offered), "gave-up-%")
				b.ReportMetric(l.startDelays[len(l.startDelays)*95/100].Seconds(), "p95-s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
