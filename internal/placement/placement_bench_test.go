package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// BenchmarkPlan plans for a fleet with all models loaded.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{18, 8}, {690, 100}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			f := newFleet(size.engines, 3)
			wants := benchWants(size.models, testEngineRate*float64(size.engines)/float64(size.models)/2)
			for range 100 {
				f.now = f.now.Add(time.Hour) // later than all loads, so that the weight store is idle
				for _, o := range f.p.Plan(f.now, wants, f.engines).Orders {
					f.apply(o)
				}
				for i := range f.engines {
					for k := range f.engines[i].Holds {
						f.engines[i].Holds[k].Ready = true
					}
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.p.Plan(f.now, wants, f.engines)
			}
		})
	}
}

func benchWants(models int, load float64) []Want {
	var wants []Want
	for i := range models {
		wants = append(wants, want(fmt.Sprint("m", i), "1", load))
	}
	return wants
}

// BenchmarkMoves replaces an engine or changes a model's load, 200 times, and reports
// the loads per change of this planner and of placement by rendezvous hashing alone.
// Run: go test -run=- -bench=Moves -benchtime=1x ./internal/placement
func BenchmarkMoves(b *testing.B) {
	for range b.N {
		f := newFleet(18, 3)
		wants := benchWants(8, 120)
		f.settle(wants)
		f.loads = 0
		hashed, hashLoads := placeByHash(f, wants), 0
		for event := range 200 {
			if event%2 == 0 {
				i := f.rng.IntN(len(f.engines))
				f.engines[i].ID = fleet.EndpointID(fmt.Sprint("new", event))
				f.engines[i].Holds = nil
			} else {
				w := &wants[f.rng.IntN(len(wants))]
				w.Load = 60 + 120*f.rng.Float64()
			}
			for range 60 {
				f.step(wants)
			}
			next := placeByHash(f, wants)
			for r := range next {
				if !hashed[r] {
					hashLoads++
				}
			}
			hashed = next
		}
		b.ReportMetric(float64(f.loads)/200, "loads/change")
		b.ReportMetric(float64(hashLoads)/200, "hashed-loads/change")
		b.ReportMetric(0, "ns/op")
	}
}

// placeByHash places every want on its first engines by rendezvous hashing.
func placeByHash(f *simFleet, wants []Want) map[Replica]bool {
	var ids []string
	for _, e := range f.engines {
		ids = append(ids, string(e.ID))
	}
	placed := map[Replica]bool{}
	for _, w := range wants {
		for _, id := range rendezvous.Rank(rendezvous.Key(w.Model.Model), ids, w.replicas(&f.p.cfg)) {
			placed[Replica{fleet.EndpointID(id), w.Model}] = true
		}
	}
	return placed
}
