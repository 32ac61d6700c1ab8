package progress

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var bounds = Bounds{FirstByte: 400 * time.Millisecond, Idle: 100 * time.Millisecond, Total: time.Second}

// endOf returns when and why the context of a transfer ends. arrive counts the
// transfer's bytes as they arrive.
func endOf(t *testing.T, arrive func(m *Meter)) (after time.Duration, cause error) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		m.Add(7) // of an earlier transfer on the connection
		began := time.Now()
		ctx, cancel := WithBounds(t.Context(), &m, bounds)
		defer cancel()
		var arrivals sync.WaitGroup
		arrivals.Go(func() { arrive(&m) })
		<-ctx.Done()
		after, cause = time.Since(began), context.Cause(ctx)
		arrivals.Wait()
	})
	return after, cause
}

// bytesEvery counts a byte at each interval, n times.
func bytesEvery(every time.Duration, n int) func(m *Meter) {
	return func(m *Meter) {
		for range n {
			time.Sleep(every)
			m.Add(1)
		}
	}
}

func TestStalledTransferEnds(t *testing.T) {
	for name, c := range map[string]struct {
		come func(m *Meter)
		ends time.Duration
	}{
		"no bytes at all":       {func(*Meter) {}, bounds.FirstByte},
		"soon stalled":          {bytesEvery(30*time.Millisecond, 5), bounds.FirstByte + bounds.Idle},
		"steady until the end":  {bytesEvery(30*time.Millisecond, 50), bounds.Total},
		"late first byte":       {bytesEvery(350*time.Millisecond, 1), bounds.FirstByte + bounds.Idle},
		"long gaps":             {bytesEvery(260*time.Millisecond, 9), bounds.FirstByte + bounds.Idle},
		"stalled after a while": {bytesEvery(51*time.Millisecond, 11), 700 * time.Millisecond},
	} {
		after, cause := endOf(t, c.come)
		assert.Equal(t, after, c.ends, name)
		assert.ErrorIs(t, cause, context.DeadlineExceeded, name)
	}
}

// A caller's cancellation must be distinguishable from a stalled transfer.
func TestCancelledTransferReportsItsOwnCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, cancel := context.WithCancel(t.Context())
		var m Meter
		ctx, done := WithBounds(parent, &m, bounds)
		defer done()
		cancel()
		<-ctx.Done()
		assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
