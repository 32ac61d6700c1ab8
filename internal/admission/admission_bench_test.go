package admission

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// BenchmarkOfferRelease admits and releases one request, and calls Tick.
func BenchmarkOfferRelease(b *testing.B) {
	for _, n := range []int{5, 100, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			a, requests := benchAdmission(n, n)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				req := &requests[i%len(requests)]
				a.Offer(now, *req)
				a.Release(now, req.ID, Usage{PromptTokens: 100, CompletionTokens: 100})
				a.Tick(now)
			}
		})
	}
}

// BenchmarkOfferOverloaded refuses one request while all slots are in use and
// every workspace has a queue.
func BenchmarkOfferOverloaded(b *testing.B) {
	for _, n := range []int{5, 100, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			a, requests := benchAdmission(n, 40*n)
			now := time.Unix(0, 0)
			a.SetCapacity("engines", 4*n)
			for _, req := range requests {
				a.Offer(now, req)
			}
			req := requests[0]
			req.ID = "new"
			req.Deadline = now.Add(time.Millisecond)
			b.ReportAllocs()
			for i := range b.N {
				req.Workspace = requests[i%n].Workspace
				a.Offer(now, req)
			}
		})
	}
}

func benchAdmission(workspaces, count int) (*Admission, []Request) {
	cfg := DefaultConfig()
	cfg.LeaseTime = 1000 * time.Hour
	cfg.MaxQueued = 1 << 20
	a := New(cfg, rand.New(rand.NewPCG(1, 1)))
	requests := make([]Request, count)
	for i := range requests {
		requests[i] = Request{
			ID:           fleet.RequestID(fmt.Sprintf("r%d", i)),
			Workspace:    workspaceName(i % workspaces),
			Pool:         "engines",
			Model:        fleet.ModelRef{Model: "m"},
			PromptTokens: 100,
			MaxTokens:    200,
		}
	}
	for i := range workspaces {
		l := Limits{RequestsPerSecond: 1e9, RequestBurst: 1e9, TokensPerSecond: 1e12, TokenBurst: 1e12, Concurrency: 1000}
		a.SetLimits(time.Unix(0, 0), workspaceName(i), l, 1)
	}
	return a, requests
}
