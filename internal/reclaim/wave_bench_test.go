package reclaim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Assumptions of the waves.
const (
	waveStreams       = 16                    // per engine
	waveTokenInterval = 34 * time.Millisecond // between tokens
	waveLinkRate      = 1.25e9                // bytes per second, 10 Gbit/s
	waveMaxTokens     = 2000                  // of an answer
)

// wave is a notice to half of the engines at once, whole data centres first.
type wave struct {
	notices         []Notice
	streams         []Stream
	targets         []Target
	actualRemaining map[fleet.RequestID]time.Duration // actual time to the end of the answer
}

func newWave(engines int, left time.Duration) wave {
	random := rand.New(rand.NewPCG(7, uint64(engines)))
	w := wave{actualRemaining: map[fleet.RequestID]time.Duration{}}
	for e := range engines {
		id := fleet.EndpointID(fmt.Sprintf("engine-%03d", e))
		dc := fleet.DataCentre(fmt.Sprint("dc", e*11/engines))
		if e >= engines/2 {
			w.targets = append(w.targets, target(id, dc, 2*waveStreams))
			continue
		}
		n := notice(id, left)
		n.DataCentre, n.LinkRate = dc, waveLinkRate
		w.notices = append(w.notices, n)
		for i := range waveStreams {
			w.add(random, id, i)
		}
	}
	return w
}

// add adds a stream. Prompts are log-normal around 4,000 tokens. The actual
// remaining time is between 0.8 and 1.4 times the estimate.
func (w *wave) add(random *rand.Rand, on fleet.EndpointID, i int) {
	s := stream(fmt.Sprintf("%s-%d", on, i), on, 0, 0)
	s.Prompt = min(32_000, int(4000*math.Exp(random.NormFloat64())))
	s.Generated = random.IntN(waveMaxTokens)
	s.Remaining = time.Duration(waveMaxTokens-s.Generated) * waveTokenInterval
	s.KVBytes = int64(s.prefillTokens()) * kvBytesPerToken
	w.actualRemaining[s.Ref.ID] = time.Duration(float64(s.Remaining) * (0.8 + 0.6*random.Float64()))
	w.streams = append(w.streams, s)
}

// recomputedTokens returns the tokens that have to be recomputed with the moves.
func (w *wave) recomputedTokens(moves []Move) int {
	planned := byID(moves)
	sum := 0
	for _, s := range w.streams {
		m := planned[string(s.Ref.ID)]
		at := w.notices[0].LeaveAt
		if m.Method == Recompute {
			at = m.At
		}
		ran := at.Sub(t0)
		if m.Method == ExportKV || w.actualRemaining[s.Ref.ID] <= ran {
			continue
		}
		speed := float64(s.Remaining) / float64(w.actualRemaining[s.Ref.ID])
		sum += s.prefillTokens() + int(float64(ran/waveTokenInterval)*speed)
	}
	return sum
}

// BenchmarkWave plans for a wave and compares the tokens that are recomputed with
// the plan, with a plan without exports, and when all streams that have not
// finished are restarted after the engines have left.
func BenchmarkWave(b *testing.B) {
	for _, engines := range []int{9, 690} {
		for _, left := range []time.Duration{5 * time.Second, 10 * time.Second, 30 * time.Second} {
			b.Run(fmt.Sprintf("engines=%d/notice=%s", engines, left), func(b *testing.B) {
				w := newWave(engines, left)
				var moves []Move
				for b.Loop() {
					moves = NewPlanner(DefaultPolicy()).Plan(t0, w.notices, w.streams, w.targets)
				}
				plan := w.recomputedTokens(moves)
				for i := range w.notices {
					w.notices[i].LinkRate = 0
				}
				recompute := w.recomputedTokens(NewPlanner(DefaultPolicy()).Plan(t0, w.notices, w.streams, w.targets))
				restart := w.recomputedTokens(nil)
				b.ReportMetric(float64(len(w.streams)), "streams")
				b.ReportMetric(float64(plan), "plan-tokens")
				b.ReportMetric(float64(recompute), "recompute-tokens")
				b.ReportMetric(float64(restart), "restart-tokens")
				b.ReportMetric(float64(plan)/float64(restart), "plan/restart")
			})
		}
	}
}
