package estimate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

const second = int64(1e9)

// A daemon sends three requests, of which the report, five seconds late, had
// seen two. Counted twice, the engine would look fuller than it is; left out,
// emptier.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	var e Engine
	e.Dispatched(100*second, 500)
	e.Dispatched(101*second, 500)
	e.Dispatched(104*second, 500)
	e.Report(engineapi.Load{TakenAtMillis: 102_000, Running: 1, Queued: 4, QueuedPromptTokens: 1500})
	v := e.View(102 * second)
	assert.Equal(t, v.Requests, 6.0) // three of others, three of its own
	assert.Equal(t, v.WaitingTokens, 2000.0)
	e.Prefilled(105*second, 500)
	e.Finished(106*second, 0)
	v = e.View(102 * second)
	assert.Equal(t, v.Requests, 5.0)
	assert.Equal(t, v.WaitingTokens, 1500.0)
}

// A report says that the engine is idle, but it usually isn't: by the time the
// report arrives, that moment is gone.
func TestOldReportConvergesToAverage(t *testing.T) {
	var e Engine
	for at := int64(1); at <= 60; at++ {
		e.Report(engineapi.Load{TakenAtMillis: at * 1000, Running: 20})
	}
	e.Report(engineapi.Load{TakenAtMillis: 60_001})
	assert.Assert(t, e.View(60*second).Requests < 1)
	assert.Assert(t, e.View(65*second).Requests > 15)
	assert.Equal(t, e.View(200*second).Requests, 0.0) // too old to say anything
}

func TestFirstToken(t *testing.T) {
	v := View{Requests: 10, WaitingTokens: 2000, Slots: 16, PrefillRate: 1000, TokenSeconds: 0.02}
	assert.Equal(t, v.FirstToken(Request{Uncached: 500, Decode: 4}), 2.52)
	v.Requests = 19 // and this one: four more than there are places
	assert.Equal(t, v.FirstToken(Request{Uncached: 500, Decode: 4}), 3.52)
}

func TestTokenLatencyLimit(t *testing.T) {
	var l TokenLatency
	assert.Equal(t, l.Limit(0.034, 64), 64.0)
	for i := range 500 {
		running := 5 + i%20
		l.Add(running, 0.010+0.001*float64(running))
	}
	limit := l.Limit(0.034, 64)
	assert.Assert(t, limit > 23.9 && limit < 24.1, "%f", limit)
	assert.Equal(t, l.Limit(0.034, 16), 16.0)
}
