package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against callers who are refused as overload because they take longer than the target to send a body.
func TestTimeOfSendingIsNoOverload(t *testing.T) {
	lookup := route.Route{Name: "bare", Prefix: "/lookup/", Kind: route.Idempotent, MaxAttempts: 2, Target: 500 * time.Millisecond}
	s := newFixture(t, []route.Route{lookup}, alwaysAnswers(response(200, "done")))
	out, now := &recordingSink{}, time.Now()
	s.relay.Serve(t.Context(), &Request{
		ID: "r1", Method: "POST", Target: "/lookup/1", Path: "/lookup/1", Host: "h", Key: "key",
		Received: now.Add(-3 * lookup.Target), Complete: now, Deadline: now.Add(time.Minute),
	}, out)
	assert.Equal(t, out.body.String(), "done")
	assert.Equal(t, s.recorder.last.Verdict, verdict.Ran)
}
