package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestForWaitsOrEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.Assert(t, For(t.Context(), time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !For(ctx, time.Minute))
		assert.Equal(t, time.Since(began), 2*time.Second)
	})
}

func TestEveryCallsUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		assert.Equal(t, calls, 3)
	})
}
