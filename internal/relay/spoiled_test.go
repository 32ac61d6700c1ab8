package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soundEvents returns events of a stream.
func soundEvents(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// spoiledStreams are bodies of which the events before the mark may be passed on.
var spoiledStreams = map[string]string{
	"empty id":             soundEvents(1, 2) + "|id: \ndata: x\n\n" + soundEvents(3, 4),
	"no id":                soundEvents(1, 2) + "|data: x\n\n" + soundEvents(3, 4),
	"no id at the end":     soundEvents(1, 2) + "|data: x\n\n",
	"noise first":          "|x7 noise\n\n" + soundEvents(1, 4),
	"noise within":         soundEvents(1, 2) + "|id: 3\nx7 noise\ndata: 3\n\n" + soundEvents(4, 4),
	"noise last":           soundEvents(1, 2) + "|x7 noise\n\n",
	"another answer":       soundEvents(1, 2) + "|HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + soundEvents(1, 2),
	"head of an answer":    soundEvents(1, 2) + "|Content-Length: 7\n\n" + soundEvents(3, 4),
	"an event twice":       soundEvents(1, 2) + "|" + soundEvents(2, 4),
	"an earlier event":     soundEvents(1, 3) + "|" + soundEvents(1, 1) + soundEvents(4, 4),
	"an event is missing":  soundEvents(1, 2) + "|" + soundEvents(4, 4),
	"the first is missing": "|" + soundEvents(2, 4),
	"id that is no number": soundEvents(1, 2) + "|id: x7\ndata: x\n\n" + soundEvents(3, 4),
	"two ids":              soundEvents(1, 2) + "|id: 3\nid: 4\ndata: x\n\n",
	"negative id":          soundEvents(1, 2) + "|id: -3\ndata: x\n\n" + soundEvents(3, 4),
	"id too large":         soundEvents(1, 2) + "|id: 99999999999999999999\ndata: x\n\n",
	"control characters":   soundEvents(1, 2) + "|id: 3\ndata: \x00\x01\n\n" + soundEvents(4, 4),
	"no text":              soundEvents(1, 2) + "|id: 3\ndata: \xff\xfe\n\n" + soundEvents(4, 4),
}

// framings are the ways in which an answer can state its end.
var framings = map[string]func(body string) string{
	"chunked":         func(body string) string { return streamHead() + chunk(body) + "0\r\n\r\n" },
	"with its length": func(body string) string { return response(200, body) },
	"ends with its connection": func(body string) string {
		return closeFramed(body)
	},
}

// Guards against streams with bytes that no run wrote, which look complete.
func TestStreamsHoldNothingThatNoRunWrote(t *testing.T) {
	for name, body := range spoiledStreams {
		valid, _, _ := strings.Cut(body, "|")
		for framing, frame := range framings {
			for _, path := range []string{"/stream/1", "/once/1"} {
				t.Run(name+" "+framing+path, func(t *testing.T) {
					s := newFixture(t, testRoutes(), &engine{}, &engine{})
					for _, e := range s.engines {
						e.script = func(_ int, r *http.Request) string {
							if s.runs() == 1 {
								return frame(strings.Replace(body, "|", "", 1))
							}
							after := 0
							_, _ = fmt.Sscan(r.Header.Get("After"), &after)
							return frame(soundEvents(after+1, 4))
						}
					}
					got := s.send(t.Context(), path)
					if path == "/stream/1" {
						assert.Equal(t, got.body.String(), soundEvents(1, 4))
						assert.Assert(t, got.ended && !got.aborted)
						return
					}
					assert.Equal(t, got.body.String(), valid)
					assert.Assert(t, !got.ended && (got.aborted || got.refusal != nil))
					assert.Equal(t, s.runs(), 1)
				})
			}
		}
	}
}

// faultyThenSound returns two endpoints, of which the one that is asked first sends a body.
func faultyThenSound(t *testing.T, body string) *fixture {
	s := newFixture(t, testRoutes(), &engine{}, &engine{})
	for _, e := range s.engines {
		e.script = func(_ int, r *http.Request) string {
			head := strings.Replace(streamHead(), "Id: ID", "Id: ID\r\nSigned: second", 1)
			if s.runs() == 1 {
				return strings.Replace(head, "second", "first", 1) + chunk(body) + "0\r\n\r\n"
			}
			after := 0
			_, _ = fmt.Sscan(r.Header.Get("After"), &after)
			return head + chunk(soundEvents(after+1, 4)) + "0\r\n\r\n"
		}
	}
	return s
}

// Guards against an event that readers drop for its lack of data and that isn't sent again.
func TestEventWithoutDataIsNotAPosition(t *testing.T) {
	for _, event := range []string{"id: 3\n\n", "id: 3\nx: noise\n\n", "id: 3\nevent: x\n\n"} {
		s := faultyThenSound(t, soundEvents(1, 2)+event+"x7 noise\n\n")
		got := s.send(t.Context(), "/stream/1")
		assert.Check(t, strings.Contains(got.body.String(), "data: 3"), "%q: %q", event, got.body.String())
	}
}

// headSink records the head that a caller gets.
type headSink struct {
	recordingSink
	header http.Header
}

func (s *headSink) Begin(status int, h http.Header) {
	s.recordingSink.Begin(status, h)
	s.header = h
}

// Guards against bytes before the first event that bind a stream to the head of an endpoint that ran nothing of it.
func TestHeadIsThatOfTheRun(t *testing.T) {
	for _, start := range []string{"\n", "\r\n", ": x7\n\n", "retry: 7\n\n"} {
		s := faultyThenSound(t, start+"x7 noise\n\n")
		out := &headSink{}
		now := time.Now()
		s.relay.Serve(t.Context(), &Request{
			ID: "r1", Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", Key: "key",
			Received: now, Deadline: now.Add(time.Minute),
		}, out)
		assert.Check(t, out.ended)
		assert.Check(t, strings.HasPrefix(out.body.String(), soundEvents(1, 1)), "%q", out.body.String())
		assert.Check(t, out.header.Get("Signed") == "second", "%q: head of the %s endpoint, body %q", start, out.header.Get("Signed"), out.body.String())
	}
}

// Guards against an event that is cut within a field's name and joined to one of another answer.
func TestCutEventIsNotJoinedToAnother(t *testing.T) {
	for _, joint := range []string{
		"id: 3\nda" + "id: 1\ndata: other\n\n", "id: 3\nda" + "event: x\ndata: other\n\n",
		"id: 3\ndata: 3HTTP/1.1 200 OK\r\nid-of: other\r\n\r\n",
	} {
		s := faultyThenSound(t, soundEvents(1, 2)+joint+"x7 noise\n\n")
		got := s.send(t.Context(), "/stream/1")
		assert.Check(t, got.ended && !strings.Contains(got.body.String(), "other"), "%q", got.body.String())
	}
}
