package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries that overload healthy endpoints when others fail: 1,000
// requests a second fail for ten seconds, and each would be retried. Retries must
// stay within a tenth of the earlier successes plus three a second, and successes
// must stop counting after ten seconds.
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
