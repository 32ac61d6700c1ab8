package scale

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// BenchmarkDirectory is what one daemon's part of the directory costs: the
// time of a registration, and the memory of an entry at three sizes.
func BenchmarkDirectory(b *testing.B) {
	for _, entries := range []int{1_000, 6_000, 16_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			now := time.Unix(0, 0)
			before := heapBytes()
			d := directory.New(directory.Config{MaxEntries: entries, RunningTTL: time.Hour, FinishedTTL: time.Hour})
			n := 0
			register := func() {
				d.Register(now, directory.Holding{
					Request:   fleet.RequestID(fmt.Sprintf("01a23812-59f2-7c0b-bbeb-%012d", n)),
					Workspace: fleet.WorkspaceID(fmt.Sprintf("workspace-%d", n%200)),
					Holder:    fleet.InstanceID(fmt.Sprintf("entry-%d", n%targetDaemons)),
				})
				n++
			}
			for range entries {
				register()
			}
			memory := heapBytes() - before
			for b.Loop() {
				register()
			}
			b.ReportMetric(memory/float64(entries), "B/entry")
			runtime.KeepAlive(d)
		})
	}
}

// BenchmarkOwners is the choice of a request's directory daemons.
func BenchmarkOwners(b *testing.B) {
	for _, daemons := range []int{9, 85, targetDaemons} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			var serving []string
			for i := range daemons {
				serving = append(serving, fmt.Sprintf("entry-%d", i))
			}
			for b.Loop() {
				directory.Owners("01a23812-59f2-7c0b-bbeb-341182c86a96", serving, directory.Replicas)
			}
		})
	}
}
