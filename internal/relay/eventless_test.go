package relay

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// eventlessInterval is the time between the bytes of a stream without further events.
const eventlessInterval = 100 * time.Millisecond

// newEventlessFixture returns engines of which the first that is asked sends the beginning of a stream and
// then the same bytes for ever, and the others the events from a number on.
func newEventlessFixture(t *testing.T, begin, bytes string, from int) *fixture {
	var runs atomic.Int32
	write := func(w io.Writer) {
		_, _ = io.WriteString(w, strings.ReplaceAll(streamHead(), "ID", "r1"))
		if runs.Add(1) > 1 {
			_, _ = io.WriteString(w, chunk(soundEvents(from, 4))+"0\r\n\r\n")
			return
		}
		if begin != "" {
			_, _ = io.WriteString(w, chunk(begin))
		}
		for {
			time.Sleep(eventlessInterval)
			if _, err := io.WriteString(w, chunk(bytes)); err != nil {
				return
			}
		}
	}
	return newFixture(t, testRoutes(), &engine{write: write}, &engine{write: write})
}

// Guards against streams that last until their callers' deadlines since their endpoints send bytes, but no
// event.
func TestStreamsWithoutFurtherEventsEnd(t *testing.T) {
	for _, c := range []struct {
		name, begin, bytes string
		from               int
	}{
		{"comments", soundEvents(1, 2), ": c\n\n", 3},
		{"lines of a comment", soundEvents(1, 2), ": c\n", 3},
		{"empty lines", soundEvents(1, 2), "\r\n", 3},
		{"an event without end", soundEvents(1, 2) + "id: 3\ndata: ", "x", 3},
		{"comments first", "", ": c\n\n", 1},
		{"empty lines first", "", "\n", 1},
		{"an event without end first", "", "x", 1},
	} {
		t.Run(c.name+" resumable", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEventlessFixture(t, c.begin, c.bytes, c.from)
				defer time.Sleep(2 * eventlessInterval) // the engine's next write fails
				began := time.Now()
				got := s.send(t.Context(), "/stream/1")
				assert.Assert(t, time.Since(began) < 2*retryStallTimeout, "%v", time.Since(began))
				assert.Equal(t, strings.ReplaceAll(got.body.String(), c.bytes, ""), strings.ReplaceAll(soundEvents(1, 4), c.bytes, ""))
				assert.Assert(t, got.ended && !got.aborted)
			})
		})
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEventlessFixture(t, c.begin, c.bytes, c.from)
				defer time.Sleep(2 * eventlessInterval) // the engine's next write fails
				began := time.Now()
				got := s.send(t.Context(), "/once/1")
				assert.Assert(t, time.Since(began) < finalStallTimeout+time.Second, "%v", time.Since(began))
				assert.Assert(t, !got.ended && (got.aborted || got.refusal != nil))
				assert.Equal(t, s.runs(), 1)
				if c.begin == "" {
					assert.Equal(t, got.body.String(), "")
					assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
					assert.Equal(t, s.recorder.last.First, time.Duration(0))
					assert.Equal(t, s.recorder.begun, 0)
				}
			})
		})
	}
}

// Guards against streams that are given up since this process was paused, or for bytes before an event.
func TestEventlessTimeCountsFromTheFirstByte(t *testing.T) {
	var e eventless
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	assert.Equal(t, e.bytesArrived(at(10), time.Time{}), time.Duration(0))
	assert.Equal(t, e.bytesArrived(at(12), at(5)), 2*time.Second)
	assert.Equal(t, e.bytesArrived(at(20), at(19)), time.Second)
	e.eventArrived()
	assert.Equal(t, e.bytesArrived(at(30), at(19)), time.Duration(0))
	assert.Equal(t, e.bytesArrived(at(31), at(19)), time.Second)
}

// Guards against streams that are given up in the pauses of a slow engine, whose comments are rare.
func TestStreamWithCommentsBetweenItsEventsIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		write := func(w io.Writer) {
			_, _ = io.WriteString(w, strings.ReplaceAll(streamHead(), "ID", "r1"))
			for n := range 4 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, chunk(": c\n\n"))
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, chunk(soundEvents(n+1, n+1)))
			}
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
		s := newFixture(t, testRoutes(), &engine{write: write}, &engine{write: write})
		got := s.send(t.Context(), "/stream/1")
		assert.Equal(t, strings.ReplaceAll(got.body.String(), ": c\n\n", ""), soundEvents(1, 4))
		assert.Assert(t, got.ended && s.runs() == 1)
	})
}
