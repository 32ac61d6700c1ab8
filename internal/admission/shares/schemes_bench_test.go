package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The benchmark compares schemes that share one workspace's token limit among
// four daemons, in a seeded simulation: arrivals of one Poisson stream, whose
// split over the daemons changes every twenty seconds. The grants of each scheme
// are compared with those of one central bucket.
//
// Run: go test -run=- -bench=SharingSchemes -benchtime=1x ./internal/admission/shares
const (
	schemeDaemons = 4
	schemeLimit   = 10_000 // tokens a second
	schemeRequest = 500    // tokens per request
	schemeTime    = 10 * time.Minute
	schemeShift   = 20 * time.Second
)

// splitFunc returns the share of the daemon with index i.
type splitFunc func(g *group, i int) float64

// BenchmarkSharingSchemes compares fixed shares, shares by demand, and a bucket in
// a shared store, for which split is nil.
func BenchmarkSharingSchemes(b *testing.B) {
	schemes := []struct {
		name    string
		floor   float64
		average float64 // seconds over which a daemon measures its demand
		split   splitFunc
		writes  float64 // to the store for each request
	}{
		{"fixed", 0.1, 1, func(*group, int) float64 { return 1.0 / schemeDaemons }, 0},
		{"demand", 0.1, 1, byDemand, 0},
		{"demand/floor=0", 0.001, 1, byDemand, 0},
		{"demand/floor=0.3", 0.3, 1, byDemand, 0},
		{"demand/average=5s", 0.1, 5, byDemand, 0},
		{"store", 0.1, 1, nil, 2}, // one to charge, one to settle
	}
	for _, load := range []float64{0.7, 0.9, 1.5} {
		for _, w := range schemes {
			b.Run(loadName(load)+"/"+w.name, func(b *testing.B) {
				for range b.N {
					runScheme(b, load, w.floor, w.average, w.split, w.writes)
				}
			})
		}
	}
}

func loadName(load float64) string { return fmt.Sprintf("load=%.0f", 100*load) }

func byDemand(g *group, i int) float64 { return g.daemons[i].shares.Share() }

// tokenBucket has a burst of one second's tokens, and debt of up to two seconds,
// like the buckets of package admission.
type tokenBucket struct{ tokens, rate float64 }

func (b *tokenBucket) refill(rate float64) {
	b.rate = rate
	b.tokens = min(rate, b.tokens+rate*step.Seconds())
}

func (b *tokenBucket) take() bool {
	const wait = 2
	if b.tokens < -wait*b.rate {
		return false
	}
	b.tokens -= schemeRequest
	return true
}

func runScheme(b *testing.B, load, floor, average float64, split splitFunc, writes float64) {
	cfg := DefaultConfig()
	cfg.Floor = floor
	g := newGroup(1, cfg, schemeDaemons)
	rng := rand.New(rand.NewPCG(2, 2))
	var own [schemeDaemons]tokenBucket
	var central tokenBucket
	weights := [schemeDaemons]float64{1, 1, 1, 1}
	requests, granted, grantedCentrally := 0, 0, 0
	for t := time.Duration(0); t < schemeTime; t += step {
		if t%schemeShift == 0 {
			for i := range weights {
				weights[i] = math.Exp(rng.NormFloat64())
			}
		}
		g.advance()
		central.refill(schemeLimit)
		for i, d := range g.daemons {
			if split != nil {
				own[i].refill(split(g, i) * schemeLimit)
			}
			rate := load * schemeLimit / schemeRequest * weights[i] / sumOf(weights)
			n := poisson(rng, rate*step.Seconds())
			measure(d, average, float64(n)*schemeRequest/step.Seconds())
			requests += n
			for range n {
				granted += count(split != nil && own[i].take())
				grantedCentrally += count(central.take())
			}
		}
	}
	if split == nil {
		granted = grantedCentrally
	}
	b.ReportMetric(100*float64(requests-granted)/float64(requests), "refused-%")
	b.ReportMetric(100*float64(requests-grantedCentrally)/float64(requests), "central-refused-%")
	b.ReportMetric(writes*float64(requests)/schemeTime.Seconds(), "writes/s")
	b.ReportMetric(0, "ns/op")
}

// measure updates the moving average that a daemon reports as its demand.
func measure(d *daemon, average, rate float64) {
	gain := 1 - math.Exp(-step.Seconds()/average)
	d.demand.Tokens += gain * (rate - d.demand.Tokens)
}

func sumOf(weights [schemeDaemons]float64) float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return sum
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// poisson draws by counting exponential gaps (Knuth, 1969).
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}
