package relay

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// blockingSink is a caller that takes a while to read each piece.
type blockingSink struct {
	recordingSink
	takes time.Duration
}

func (s *blockingSink) WriteBody(p []byte) error {
	time.Sleep(s.takes)
	return s.recordingSink.WriteBody(p)
}

// latePauseAfter streams three events with a pause between them to a caller that takes a while
// for each, and reports whether that counts as a late pause of the engine.
func latePauseAfter(t *testing.T, pause, takes time.Duration) bool {
	paused := route.Route{Name: "stream", Prefix: "/stream/", Kind: route.Streaming, MaxAttempts: 1, PauseTarget: 400 * time.Millisecond}
	e := &engine{write: func(w io.Writer) {
		_, _ = io.WriteString(w, strings.ReplaceAll(streamHead(), "ID", "r1"))
		for n := range 3 {
			_, _ = io.WriteString(w, chunk(soundEvents(n+1, n+1)))
			time.Sleep(pause)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}}
	s := newFixture(t, []route.Route{paused}, e)
	now := time.Now()
	out := &blockingSink{takes: takes}
	s.relay.Serve(t.Context(), &Request{
		ID: "r1", Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", Key: "key", Received: now, Deadline: now.Add(time.Minute),
	}, out)
	assert.Assert(t, out.ended)
	return s.state.balancer.HadLatePause(time.Now(), "s")
}

// Guards against late pauses of endpoints that the balancer doesn't get, and callers' own pauses that it does.
func TestLatePausesOfEndpointsAreReported(t *testing.T) {
	for _, c := range []struct {
		pause, takes time.Duration
		late         bool
	}{{time.Second, 0, true}, {100 * time.Millisecond, 0, false}, {100 * time.Millisecond, time.Second, false}} {
		synctest.Test(t, func(t *testing.T) {
			assert.Equal(t, latePauseAfter(t, c.pause, c.takes), c.late)
		})
	}
}
