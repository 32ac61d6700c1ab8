package bench

import (
	"sync"
	"testing"
	"time"
)

const (
	// atOnce is an engine's interval between tokens where only the cost of
	// passing tokens on is of interest.
	atOnce = time.Nanosecond
	// paced is one at which tokens are passed on one by one, 34 times as fast as
	// the target asks.
	paced = time.Millisecond
)

// BenchmarkRequest is a streamed answer of one token, in turn straight from the
// engine and through the entry: first is the time to the token, whole to the end.
func BenchmarkRequest(b *testing.B) {
	direct, entry := start(b, atOnce)
	warm(b, direct, entry)
	var d, e, dw, ew sample
	for n := range b.N {
		d.spend(func() { d.add(&dw, direct.mustStream(b, n, 1)) })
		e.spend(func() { e.add(&ew, entry.mustStream(b, n, 1)) })
	}
	reportTimes(b, "first", &d, &e)
	reportTimes(b, "whole", &dw, &ew)
	reportCost(b, "request", b.N, &d, &e)
	b.ReportMetric(0, "ns/op")
}

func (s *sample) add(whole *sample, a answer) {
	s.times = append(s.times, a.first)
	whole.times = append(whole.times, a.whole)
}

// BenchmarkTokensAtOnce streams 1,000 tokens that the engine has at once: the
// times are a whole answer's divided by its tokens.
func BenchmarkTokensAtOnce(b *testing.B) {
	const tokens = 1_000
	direct, entry := start(b, atOnce)
	warm(b, direct, entry)
	var d, e sample
	for n := range b.N {
		d.spend(func() { d.times = append(d.times, direct.mustStream(b, n, tokens).whole/tokens) })
		e.spend(func() { e.times = append(e.times, entry.mustStream(b, n, tokens).whole/tokens) })
	}
	reportTimes(b, "token", &d, &e)
	reportCost(b, "token", b.N*tokens, &d, &e)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTokensPaced streams 200 tokens a millisecond apart: the times are
// the gaps between tokens as the caller sees them.
func BenchmarkTokensPaced(b *testing.B) {
	const tokens = 200
	direct, entry := start(b, paced)
	warm(b, direct, entry)
	var d, e sample
	for n := range b.N {
		d.spend(func() { d.times = append(d.times, direct.mustStream(b, n, tokens).gaps...) })
		e.spend(func() { e.times = append(e.times, entry.mustStream(b, n, tokens).gaps...) })
	}
	reportTimes(b, "gap", &d, &e)
	reportCost(b, "token", b.N*tokens, &d, &e)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTokensOfManyStreams is BenchmarkTokensPaced with 100 streams at
// once, a token each 34 ms: the processor time is that of a daemon with two
// thirds of the streams that each holds at the target's peak.
func BenchmarkTokensOfManyStreams(b *testing.B) {
	const streams, tokens = 100, 30
	direct, entry := start(b, 34*time.Millisecond/3) // the batch slows it threefold
	warm(b, direct, entry)
	var d, e sample
	for n := range b.N {
		d.spend(func() { d.times = append(d.times, many(b, direct, n, streams, tokens)...) })
		e.spend(func() { e.times = append(e.times, many(b, entry, n, streams, tokens)...) })
	}
	reportTimes(b, "gap", &d, &e)
	reportCost(b, "token", b.N*streams*tokens, &d, &e)
	b.ReportMetric(0, "ns/op")
}

// many reads streams at once and returns the gaps between their tokens.
func many(b *testing.B, t target, n, streams, tokens int) []time.Duration {
	var all []time.Duration
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range streams {
		done.Go(func() {
			a, err := t.stream(n*streams+i, tokens)
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a.gaps...)
		})
	}
	done.Wait()
	return all
}

// warm opens the connections and fills the caches of both ways.
func warm(b *testing.B, direct, entry target) {
	for n := range 20 {
		direct.mustStream(b, -1-n, 1)
		entry.mustStream(b, -1-n, 1)
	}
	b.ResetTimer()
}
