package estimate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

const second = int64(1e9)

// A daemon sends three requests, of which a late load report counts two. If these
// two were counted twice, the load would be overestimated; if they were left out,
// it would be underestimated.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	var e Engine
	e.Dispatched(100*second, 500)
	e.Dispatched(101*second, 500)
	e.Dispatched(104*second, 500)
	e.Report(engineapi.Load{TakenAtMillis: 102_000, Running: 1, Queued: 4, QueuedPromptTokens: 1500})
	v := e.View(102 * second)
	assert.Equal(t, v.Requests, 6.0) // three of other daemons, three of its own
	assert.Equal(t, v.WaitingTokens, 2000.0)
	e.Prefilled(105*second, 500)
	e.Finished(106*second, 0)
	v = e.View(102 * second)
	assert.Equal(t, v.Requests, 5.0)
	assert.Equal(t, v.WaitingTokens, 1500.0)
}

// The latest report is of an idle moment of a busy engine. As the report ages, the
// estimate must return to the engine's average.
func TestOldReportConvergesToAverage(t *testing.T) {
	var e Engine
	for at := int64(1); at <= 60; at++ {
		e.Report(engineapi.Load{TakenAtMillis: at * 1000, Running: 20})
	}
	e.Report(engineapi.Load{TakenAtMillis: 60_001})
	assert.Assert(t, e.View(60*second).Requests < 1)
	assert.Assert(t, e.View(65*second).Requests > 15)
	assert.Equal(t, e.View(200*second).Requests, 0.0) // the report is ignored
}

func TestFirstToken(t *testing.T) {
	v := View{Requests: 10, WaitingTokens: 2000, Slots: 16, PrefillRate: 1000, TokenSeconds: 0.02}
	assert.Equal(t, v.FirstToken(Request{Uncached: 500, Decode: 4}), 2.52)
	v.Requests = 19 // with this request, four more than the slots
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
