package budget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// way gives a daemon its budgets.
type way struct {
	name    string
	roles   bool
	standby bool
	budgets func(*sim, *simDaemon) [classes]*Budget
	start   func(*sim)
}

func (s *sim) seeded(d *simDaemon, c Config) *Budget {
	return New(c, s.now, rand.New(rand.NewPCG(7, uint64(d.id))))
}

func all(b *Budget) (out [classes]*Budget) {
	for c := range out {
		out[c] = b
	}
	return out
}

// equal gives each daemon the same share of all writes.
func equal() way {
	return way{name: "equal", budgets: func(s *sim, d *simDaemon) [classes]*Budget {
		return all(s.seeded(d, Config{FleetSize: s.fleet}))
	}}
}

// reserved reserves a part for the writers of shards.
func reserved(part float64) way {
	return way{name: fmt.Sprintf("reserved%.0f", 100*part), roles: true, budgets: func(s *sim, d *simDaemon) [classes]*Budget {
		return all(s.seeded(d, Config{FleetSize: s.fleet, LedgerShards: s.shards, LeaseShards: simLeases, LedgerPart: part}))
	}}
}

// standby adds a second daemon for each shard, which is asked when the writer doesn't answer.
func standby(part float64) way {
	w := reserved(part)
	w.name, w.standby = fmt.Sprintf("standby%.0f", 100*part), true
	return w
}

// larger lets each daemon make as many intents as if the fleet were smaller.
func larger(times int) way {
	return way{name: fmt.Sprintf("larger%d", times), budgets: func(s *sim, d *simDaemon) [classes]*Budget {
		out := all(s.seeded(d, Config{FleetSize: s.fleet}))
		out[Intent] = s.seeded(d, Config{FleetSize: max(1, s.fleet/times)})
		return out
	}}
}

const lendLag = 3 * time.Second // until all daemons heard of a demand

// lent lends unused shares to daemons that want more, by demands that are exchanged each second and
// known to all some seconds later.
func lent() way {
	w := equal()
	w.name = "lent"
	w.start = func(s *sim) {
		planned := DefaultObjectWrites * DefaultUtilisation
		share := planned / float64(s.fleet)
		var round func()
		round = func() {
			wants := make([]float64, s.fleet)
			spare, over := planned, 0.0
			for i, d := range s.daemons {
				wants[i] = float64(d.wanted)
				spare -= min(share, wants[i])
				over += max(0, wants[i]-share)
				d.wanted = 0
			}
			s.after(lendLag, func() {
				for i, d := range s.daemons {
					rate := share
					if more := wants[i] - share; more > 0 {
						rate += spare * more / over
					}
					d.budgets[Intent].lanes[ObjectWrite].resize(s.now, rate)
				}
			})
			s.after(time.Second, round)
		}
		round()
	}
	return w
}

// figures reports a run of some seconds.
func (s *sim) figures(b *testing.B, seconds float64) {
	slices.Sort(s.added)
	n := len(s.added)
	at := func(q int) float64 { return float64(s.added[min(n-1, n*q/100)].Microseconds()) / 1000 }
	if n > 0 {
		b.ReportMetric(at(50), "p50-ms")
		b.ReportMetric(at(99), "p99-ms")
	}
	b.ReportMetric(float64(len(s.writes))/seconds, "writes/s")
	b.ReportMetric(float64(s.peak()), "peak-writes")
	b.ReportMetric(100*float64(s.refused)/float64(max(1, n+s.refused)), "refused-%")
	b.ReportMetric(s.stored(), "stored-%")
	b.ReportMetric(float64(s.late), "late-renewals")
}

const simSeconds = 30

func (s *sim) begin(perSecond float64) {
	if s.way.start != nil {
		s.way.start(s)
	}
	s.background()
	s.run(20 * time.Second) // buckets fill
	s.writes = nil
	if perSecond > 0 {
		s.orders(perSecond, simSeconds*time.Second)
	}
}

var ways = []way{equal(), larger(60), lent(), reserved(0.6), standby(0.3), standby(0.45), standby(0.6)}

// BenchmarkSteady compares the ways under a steady stream of orders. Run with
// -benchtime 1x: the metrics are of virtual time.
func BenchmarkSteady(b *testing.B) {
	for _, n := range []int{9, 340} {
		for _, w := range ways {
			for _, shards := range []int{1, 2, 4, 8, 16, 32} {
				for _, rate := range []float64{5, 20, 50, 100, 200, 500} {
					b.Run(fmt.Sprintf("daemons=%d/%s/shards=%d/orders=%.0f", n, w.name, shards, rate), func(b *testing.B) {
						for b.Loop() {
							s := newSim(w, n, shards)
							s.begin(rate)
							s.run((simSeconds + 4) * time.Second)
							s.figures(b, simSeconds+4)
						}
					})
				}
			}
		}
	}
}
