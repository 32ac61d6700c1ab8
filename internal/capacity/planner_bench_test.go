package capacity

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures a plan that changes nothing, for a complete set of ready
// instances, and a plan without any instances.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{18, 690} {
		b.Run(fmt.Sprintf("settled/engines=%d", engines), func(b *testing.B) {
			p := newPlanner()
			p.cfg.MaxLaunches = engines
			r, owned := buyAll(p, float64(engines)*100/1.5)
			in := input(after(time.Minute), float64(engines)*100/1.5, r, owned...)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(after(time.Minute), in)
			}
		})
		b.Run(fmt.Sprintf("cold/engines=%d", engines), func(b *testing.B) {
			in := input(start, float64(engines)*100/1.5, Record{})
			for b.Loop() {
				newPlanner().Plan(start, in)
			}
		})
	}
}
