package scale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
)

// BenchmarkRouterControl is what a router does without a request: a list that
// repeats what is known, a load report, and a page of 64 cache events. The
// memory is that of a router which has had one report of each engine.
func BenchmarkRouterControl(b *testing.B) {
	for _, engines := range []int{18, 170, targetEngines} {
		endpoints := list(0, engines).Endpoints
		now := time.Unix(0, 0)
		before := heapBytes()
		r := routing.New(routing.Config{}, dataCentre(0), rand.New(rand.NewPCG(1, 1)))
		r.SetEndpoints(now, endpoints)
		load := engineapi.Load{TakenAtMillis: 1, Running: 10, Slots: 64, CacheBlocks: 4096, PrefillPerSecond: 8000, TokenMillis: 34}
		for i := range endpoints {
			r.ReportLoad(now, endpoints[i].ID, load)
		}
		memory := heapBytes() - before
		b.Run(fmt.Sprintf("list/engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				r.SetEndpoints(now, endpoints)
			}
			b.ReportMetric(memory, "B-router")
		})
		b.Run(fmt.Sprintf("load/engines=%d", engines), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				load.Running = i % 64
				r.ReportLoad(now, endpoints[i%engines].ID, load)
			}
		})
		b.Run(fmt.Sprintf("events/engines=%d", engines), func(b *testing.B) {
			page := engineapi.CacheEvents{Events: make([]engineapi.CacheEvent, 64)}
			for i := 0; b.Loop(); i++ {
				for j := range page.Events {
					page.Next++
					page.Events[j] = engineapi.CacheEvent{Seq: page.Next, Stored: true, Hash: page.Next * 0x9e3779b97f4a7c15}
				}
				page.Next++
				r.ReportCache(now, endpoints[i%engines].ID, page)
			}
		})
	}
}
