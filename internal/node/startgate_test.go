package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A daemon starts again, and callers connect before it has a configuration. They must be
// served once it has one, a few tenths of a second later. Without a wait, 845 requests were
// refused in the 0.4 s after 195 daemons started again, and so was the single retry of each
// caller.
func TestRequestBeforeTheConfigurationIsServed(t *testing.T) {
	f := newFleet(t, 0)
	f.addWith(&slowConfigStore{memoryStore: f.store}, func(*Node) {})
	out := sendRequest(f.nodes[0])
	assert.Assert(t, out.refusal == nil, "%+v", out.refusal)
	assert.Equal(t, out.body, "done")
}

// No configuration is available. Requests must be refused after startHold, and later ones
// at once: their callers can try another daemon.
func TestRequestsWaitForAStartForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := newStartGate(began)
		s.hasEndpoints()
		s.wait(t.Context(), time.Now())
		assert.Equal(t, time.Since(began), startHold)
		s.wait(t.Context(), time.Now())
		assert.Equal(t, time.Since(began), startHold)
	})
}

// A caller disconnects while its request waits.
func TestWaitEndsWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := newStartGate(began)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		s.wait(ctx, time.Now())
		assert.Equal(t, time.Since(began), 50*time.Millisecond)
		assert.Equal(t, s.waiting, 0)
	})
}

// More requests arrive than may wait. Those beyond the bound are refused at once.
func TestRequestsThatWaitAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := newStartGate(began)
		for range maxWaiting {
			go s.wait(t.Context(), time.Now())
		}
		synctest.Wait()
		s.wait(t.Context(), time.Now())
		assert.Equal(t, time.Since(began), time.Duration(0))
		s.hasConfiguration()
		s.hasEndpoints()
		synctest.Wait()
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, s.waiting, 0)
	})
}
