package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Callers of a healthy endpoint see it slow down when another fails: 1,000
// requests a second fail for ten seconds, and each would be sent again. With a
// budget the retries stay within a tenth of the successes before, plus three a
// second, and those successes stop counting after ten seconds.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := NewRetryBudget(DefaultRetryShare, DefaultMinRetries)
	now := time.Unix(1000, 0)
	for range 1000 {
		b.Success(now)
	}
	taken := 0
	for second := range 10 {
		for range 1000 {
			if b.Take(now.Add(time.Duration(second) * time.Second)) {
				taken++
			}
		}
	}
	assert.Equal(t, taken, 130)
	later := now.Add(20 * time.Second)
	taken = 0
	for b.Take(later) {
		taken++
	}
	assert.Equal(t, taken, 30)
}

func BenchmarkRetryBudget(b *testing.B) {
	b.ReportAllocs()
	budget := NewRetryBudget(DefaultRetryShare, DefaultMinRetries)
	now := time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Success(now)
		budget.Take(now)
	}
}
