package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

func runsOf(started time.Duration) []roster.Endpoint {
	return []roster.Endpoint{{ID: "e1", Address: "a", Service: "s", StartedAt: start.Add(started)}}
}

// Guards against a listed version that is trusted though its run has ended.
func TestEndedRunIsDoubtedUntilTheListIsComplete(t *testing.T) {
	r := NewRuns()
	r.Listed(runsOf(0))
	at := func(d time.Duration) time.Time { return start.Add(d) }
	_, doubted := r.TrustedUntil("a", at(time.Second))
	assert.Assert(t, !doubted)

	r.Refused(at(time.Second), "a")
	r.Refused(at(2*time.Second), "a")
	until, doubted := r.TrustedUntil("a", at(time.Minute)) // nothing has listened there since
	assert.Assert(t, doubted && until.Equal(at(time.Second)))

	r.Connected(at(time.Minute), "a")
	r.Connected(at(time.Minute+time.Second), "a")
	until, doubted = r.TrustedUntil("a", at(time.Minute+settling-1))
	assert.Assert(t, doubted && until.Equal(at(time.Second)))
	_, doubted = r.TrustedUntil("a", at(time.Minute+settling))
	assert.Assert(t, !doubted)
}

func TestListedRestartEndsTheDoubt(t *testing.T) {
	r := NewRuns()
	r.Listed(runsOf(0))
	r.Refused(start.Add(time.Second), "a")
	r.Listed(runsOf(0))
	_, doubted := r.TrustedUntil("a", start)
	assert.Assert(t, doubted)
	r.Listed(runsOf(2 * time.Second))
	_, doubted = r.TrustedUntil("a", start)
	assert.Assert(t, !doubted)
	r.Refused(start.Add(3*time.Second), "elsewhere")
	_, doubted = r.TrustedUntil("elsewhere", start)
	assert.Assert(t, !doubted)
}
