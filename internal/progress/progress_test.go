package progress

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var bounds = Bounds{First: 400 * time.Millisecond, Silence: 100 * time.Millisecond, Total: time.Second}

// endsAfter returns when a transfer ends whose bytes come as said, and why.
func endsAfter(t *testing.T, come func(m *Meter)) (after time.Duration, cause error) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		m.Add(7) // by another transfer, before
		began := time.Now()
		ctx, cancel := Within(t.Context(), &m, bounds)
		defer cancel()
		var coming sync.WaitGroup
		coming.Go(func() { come(&m) })
		<-ctx.Done()
		after, cause = time.Since(began), context.Cause(ctx)
		coming.Wait()
	})
	return after, cause
}

// steadily counts a byte at each interval, n times.
func steadily(every time.Duration, n int) func(m *Meter) {
	return func(m *Meter) {
		for range n {
			time.Sleep(every)
			m.Add(1)
		}
	}
}

func TestTransferIsBoundedByItsSilence(t *testing.T) {
	for name, c := range map[string]struct {
		come func(m *Meter)
		ends time.Duration
	}{
		"nothing comes":          {func(*Meter) {}, bounds.First},
		"it stops":               {steadily(30*time.Millisecond, 5), bounds.First + bounds.Silence},
		"it goes on":             {steadily(30*time.Millisecond, 50), bounds.Total},
		"it begins in time":      {steadily(350*time.Millisecond, 1), bounds.First + bounds.Silence},
		"it comes in long gaps":  {steadily(260*time.Millisecond, 9), bounds.First + bounds.Silence},
		"it stops a while later": {steadily(51*time.Millisecond, 11), 700 * time.Millisecond},
	} {
		after, cause := endsAfter(t, c.come)
		assert.Equal(t, after, c.ends, name)
		assert.ErrorIs(t, cause, context.DeadlineExceeded, name)
	}
}

// The caller gives up. That isn't the transfer's fault, and is told apart.
func TestGivenUpTransferIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, cancel := context.WithCancel(t.Context())
		var m Meter
		ctx, done := Within(parent, &m, bounds)
		defer done()
		cancel()
		<-ctx.Done()
		assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
