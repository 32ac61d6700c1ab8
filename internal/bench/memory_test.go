package bench

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"
)

// memory returns the bytes of live objects and stacks.
func memory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkLiveStreams is the memory that a stream takes in the daemon while it
// runs: that of the process with streams through the entry, less that with as
// many straight from the engine.
func BenchmarkLiveStreams(b *testing.B) {
	for _, streams := range []int{25, 50, 100} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			direct, entry := start(b, 5*time.Millisecond) // threefold in a batch of 100
			warm(b, direct, entry)
			for range b.N {
				d, e := whileStreaming(b, direct, streams), whileStreaming(b, entry, streams)
				b.ReportMetric((e-d)/float64(streams), "B/stream")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// whileStreaming returns the memory that streams take in their middle.
func whileStreaming(b *testing.B, t target, streams int) float64 {
	before := memory()
	ctx, cancel := context.WithCancel(context.Background())
	var open, done sync.WaitGroup
	for i := range streams {
		open.Add(1)
		done.Go(func() {
			err := t.half(ctx, i, loadTokens, open.Done)
			if err != nil && !errors.Is(err, context.Canceled) {
				b.Error(err)
			}
		})
	}
	open.Wait()
	out := memory() - before
	cancel()
	done.Wait()
	return out
}

// BenchmarkHeldAnswers is the memory that a finished answer takes for as long
// as callers may come back for it.
func BenchmarkHeldAnswers(b *testing.B) {
	for _, answers := range []int{100, 200, 400} {
		b.Run(fmt.Sprintf("answers=%d", answers), func(b *testing.B) {
			direct, entry := start(b, atOnce)
			warm(b, direct, entry)
			before := memory()
			for n := range answers {
				entry.mustStream(b, n, loadTokens)
			}
			// The engine keeps a finished stream for a moment, too.
			for n := range 50 {
				direct.mustStream(b, answers+n, 1)
			}
			time.Sleep(2 * engineLinger)
			b.ReportMetric((memory()-before)/float64(answers), "B/answer")
			b.ReportMetric(0, "ns/op")
		})
	}
}
