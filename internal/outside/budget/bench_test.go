package budget

import (
	"testing"
	"time"
)

func BenchmarkAdmitAllowed(b *testing.B) {
	budget := newBudget(340)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(2 * time.Second)
		if budget.Admit(now, Lease, ObjectWrite).Action == Allowed {
			budget.Report(now, ObjectWrite, Outcome{Result: Answered})
		}
	}
}

func BenchmarkAdmitWait(b *testing.B) {
	budget := newBudget(340)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		budget.Admit(now, Status, ObjectWrite)
	}
}
