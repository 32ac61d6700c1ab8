package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/scorer"
)

// The comparison simulates, in virtual time, the routers of several daemons and
// engines with continuous batching, without network or daemon.
const (
	simSeed         = 5
	simDaemons      = 6
	simEngines      = 18
	simEnd          = 300 * time.Second // no arrivals after it
	simWarmUp       = 120 * time.Second // arrivals before it aren't counted
	simLag          = 5 * time.Second   // of load reports and cache events
	simLostEvents   = 0.3               // fraction of cache events
	simSharedBlocks = 4                 // leading blocks common to all prompts
	// simFull is the fraction of the engines' time that counts as full load.
	// Steps lengthen with the load, so answers miss the target between tokens
	// well before 1.
	simFull = 0.75
)

// simTurn is a request of the generated load, and its progress.
type simTurn struct {
	at     time.Duration
	daemon int
	q      Request
	todo   int           // prompt tokens still to compute
	tokens int           // of the answer so far
	first  time.Duration // time of the first token
}

// simLoad generates requests at a mean rate per second: turns of conversations
// about a machine, which start with that machine's service history, and short
// single checks. Each request arrives at one of its workspace's three entries.
func simLoad(rate float64) []simTurn {
	const machines, meanTurns, checks = 300, 5, 0.4
	rng := rand.New(rand.NewPCG(simSeed, 2))
	var turns []simTurn
	add := func(at time.Duration, workspace int, blocks []uint64, answer int) {
		turns = append(turns, simTurn{at: at, daemon: (workspace + rng.IntN(3)) % simDaemons, q: Request{
			ID: fleet.RequestID(fmt.Sprint(len(turns))), Model: testModel, Blocks: blocks, MaxTokens: answer,
			PromptTokens: len(blocks)*engineapi.BlockTokens + rng.IntN(engineapi.BlockTokens),
		}})
	}
	// rate counts requests, starts counts checks and whole conversations.
	starts := rate * (checks + (1-checks)/meanTurns)
	for at := time.Duration(0); at < simEnd; at += time.Duration(rng.ExpFloat64() / starts * 1e9) {
		workspace, serial := rng.IntN(5), uint64(1e6+len(turns))
		if rng.Float64() < checks*rate/starts {
			add(at, workspace, simChain(serial, simSharedBlocks, simSharedBlocks+rng.IntN(8)), 20+rng.IntN(40))
			continue
		}
		machine := uint64(rng.IntN(machines))
		history := simSharedBlocks + 36 + int(machine)/3
		chain := append(simChain(machine, simSharedBlocks, history), simChain(serial, 0, 200)...)
		length, t := history+4+rng.IntN(12), at
		for range 1 + rng.IntN(2*meanTurns-1) {
			answer := 150 + rng.IntN(150)
			if t < simEnd {
				add(t, workspace, chain[:length], answer)
			}
			length += answer/engineapi.BlockTokens + 2 + rng.IntN(8)
			t += time.Duration((8 + 12*rng.ExpFloat64()) * 1e9)
		}
	}
	slices.SortStableFunc(turns, func(a, b simTurn) int { return cmp.Compare(a.at, b.at) })
	return turns
}

// simChain returns n block hashes, of which the first shared are the same for all
// seeds.
func simChain(seed uint64, shared, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = mix(uint64(i)*1e9 + 1)
		if i >= shared {
			out[i] = mix(seed<<16 + uint64(i) + 7)
		}
	}
	return out
}

// simCapacity returns the requests per second whose work takes simFull of the
// engines' time, with steps as long as the target between tokens and no block
// computed twice.
func simCapacity() float64 {
	fresh, answers, seen := 0, 0, map[uint64]bool{}
	turns := simLoad(50)
	for _, t := range turns {
		answers += t.q.MaxTokens
		for _, b := range t.q.Blocks {
			if !seen[b] {
				seen[b] = true
				fresh += engineapi.BlockTokens
			}
		}
	}
	rate := 0.0
	for i := range simEngines {
		c := simClasses[i%2]
		share := simFull * (1 - c.emptyStep/defaultTokenInterval.Seconds()) // of each step at the target, without the empty step
		rate += float64(len(turns)) * share / (float64(answers)*c.perRequest + float64(fresh)/c.prefill)
	}
	return rate
}

// BenchmarkCompare reports, for each load and policy, the percentage of requests
// answered within both latency targets, the percentage of prompt tokens
// recomputed, and the price of the work.
func BenchmarkCompare(b *testing.B) {
	capacity := simCapacity()
	for _, percent := range []int{30, 60, 90, 100, 130} {
		turns := simLoad(capacity * float64(percent) / 100)
		for _, policy := range Policies {
			b.Run(fmt.Sprintf("load=%d/%s", percent, policy), func(b *testing.B) {
				compare(b, Config{Policy: policy}, turns)
			})
		}
	}
}

// BenchmarkAblation reports the same with one scorer removed at a time.
func BenchmarkAblation(b *testing.B) {
	capacity := simCapacity()
	without := map[string]func(*Config, *scorer.Weights){
		"nothing":   func(*Config, *scorer.Weights) {},
		"recompute": func(_ *Config, w *scorer.Weights) { w.Recompute = 0 },
		"owner":     func(_ *Config, w *scorer.Weights) { w.AgreedCached = 0 },
		"wait":      func(_ *Config, w *scorer.Weights) { w.Wait = 0 },
		"load":      func(_ *Config, w *scorer.Weights) { w.Load = 0 },
		"price":     func(_ *Config, w *scorer.Weights) { w.Price = 0 },
		"index":     func(c *Config, _ *scorer.Weights) { c.IndexBlocks = 1 },
	}
	for _, percent := range []int{30, 100, 130} {
		turns := simLoad(capacity * float64(percent) / 100)
		for _, name := range []string{"nothing", "recompute", "owner", "wait", "load", "price", "index"} {
			weights := DefaultWeights
			config := Config{Weights: &weights}
			without[name](&config, &weights)
			b.Run(fmt.Sprintf("load=%d/without-%s", percent, name), func(b *testing.B) {
				compare(b, config, turns)
			})
		}
	}
}

func compare(b *testing.B, config Config, turns []simTurn) {
	var f *simFleet
	for range b.N {
		f = newSim(config)
		f.run(turns)
	}
	b.ReportMetric(100*float64(f.good)/float64(f.counted), "%within")
	b.ReportMetric(float64(f.good)/(simEnd-simWarmUp).Seconds(), "good/s")
	b.ReportMetric(100*float64(f.recomputed)/float64(f.prompt), "%recomputed")
	b.ReportMetric(1000*f.work/3600/float64(f.good), "work/1k")
	b.ReportMetric(0, "ns/op")
}
