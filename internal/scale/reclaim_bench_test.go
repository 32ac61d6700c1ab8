package scale

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/reclaim"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// The bounds that the daemon plans with.
const (
	reclaimTargets  = 32
	kvBytesPerToken = 128 << 10
	linkBytes       = 1.25e9
)

// BenchmarkReclaimOfOneDaemon is what a wave of half costs one daemon: its own
// streams alone, over notices for half of the engines. first-ns is the first
// plan, and ns/op each later one, ten a second while the wave lasts.
func BenchmarkReclaimOfOneDaemon(b *testing.B) {
	for _, streams := range []int{16, 150, 1_000, 2_000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			now := time.Unix(0, 0)
			notices, own, targets := wave(now, streams)
			planner := reclaim.NewPlanner(reclaim.DefaultPolicy())
			start := time.Now()
			moves := planner.Plan(now, notices, own, targets)
			first := time.Since(start)
			for b.Loop() {
				planner.Plan(now, notices, own, targets)
			}
			b.ReportMetric(float64(first.Nanoseconds()), "first-ns")
			b.ReportMetric(float64(len(moves)), "moves")
		})
	}
}

func wave(now time.Time, streams int) ([]reclaim.Notice, []reclaim.Stream, []reclaim.Target) {
	model := fleet.ModelRef{Model: "harvester-diagnosis", Adapter: "cane", Version: "1"}
	var notices []reclaim.Notice
	for i := range targetEngines / 2 {
		notices = append(notices, reclaim.Notice{
			Endpoint: engineID(i), DataCentre: dataCentre(i), LeaveAt: now.Add(30 * time.Second), LinkRate: linkBytes / targetDaemons,
		})
	}
	var own []reclaim.Stream
	for i := range streams {
		prompt, generated := 500+i*37%6000, i*101%2000
		own = append(own, reclaim.Stream{
			Ref:      request.Ref{Workspace: "workspace-17", ID: fleet.RequestID(fmt.Sprint("request-", i))},
			Endpoint: engineID(i % (targetEngines / 2)), Model: model, Prompt: prompt, Generated: generated,
			Remaining: time.Duration(2000-generated) * 34 * time.Millisecond, KVBytes: int64(prompt+generated) * kvBytesPerToken,
		})
	}
	var targets []reclaim.Target
	for i := range reclaimTargets {
		targets = append(targets, reclaim.Target{
			Endpoint: engineID(targetEngines/2 + i), DataCentre: dataCentre(i), Models: []fleet.ModelRef{model}, FreeSlots: 16, FreeTokens: 1 << 30,
		})
	}
	return notices, own, targets
}

func engineID(i int) fleet.EndpointID { return fleet.EndpointID(fmt.Sprintf("engine-%03d", i)) }
