package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// BenchmarkPick measures a pick without dispatch. Half of the prompts, of 1,600
// tokens each, are in the prefix index. The sizes are a small deployment, a large
// one, and a large one with one endpoint for each accelerator.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 690, 5500} {
		for _, policy := range Policies {
			b.Run(fmt.Sprintf("endpoints=%d/%s", n, policy), func(b *testing.B) {
				r := testRouter(1, Config{Policy: policy}, endpoints(n))
				requests := make([]*Request, 256)
				for i := range requests {
					requests[i] = prompt(uint64(i), 100)
				}
				for i, e := range endpoints(n) {
					r.ReportLoad(start, e.ID, engineapi.Load{TakenAtMillis: 1000_000, Running: i % 20, Slots: 64})
				}
				for _, q := range requests[:128] {
					c, _ := r.Pick(start, q)
					r.Dispatched(start, c.Endpoint, q, c)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					if _, err := r.Pick(start, requests[i%len(requests)]); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkSetEndpoints measures the update with an unchanged list, and a
// router's memory for each endpoint without the prefix index.
func BenchmarkSetEndpoints(b *testing.B) {
	for _, n := range []int{18, 690, 5500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			list := endpoints(n)
			var before, after runtime.MemStats
			r := testRouter(1, Config{}, nil)
			runtime.GC()
			runtime.ReadMemStats(&before)
			r.SetEndpoints(start, list)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				r.SetEndpoints(start, list)
				r.refresh()
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "B/endpoint")
		})
	}
}
