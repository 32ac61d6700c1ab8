package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// newUploadFixture returns a relay in front of two endpoints that answer before they have read the request: the first
// request as early says, the others with all events that are asked for. runs counts them.
func newUploadFixture(t *testing.T, early string, end earlyanswer.End, dial upstream.Dialer) (s *fixture, runs *atomic.Int32) {
	runs = &atomic.Int32{}
	address := earlyanswer.Serve(t, func(r *http.Request) (string, earlyanswer.End) {
		if runs.Add(1) == 1 {
			return early, end
		}
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &after)
		events := soundEvents(after+1, 4)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", len(events), events), earlyanswer.ReadOn
	})
	s = newFixture(t, testRoutes(), &engine{}, &engine{})
	s.relay.pool = upstream.NewPool(4, func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx, address) })
	return s, runs
}

// upload sends a request whose body isn't written while the endpoint doesn't read it.
func (s *fixture) upload(ctx context.Context, path string) *recordingSink {
	out := &recordingSink{}
	now := time.Now()
	s.relay.Serve(ctx, &Request{
		ID: "r1", Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: make([]byte, earlyanswer.BodyBytes),
		Received: now, Deadline: now.Add(time.Minute),
	}, out)
	return out
}

func withoutLength(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: r1\r\n\r\n%s", status, body)
}

// Guards against a caller that gets the part of an answer before a reset as a whole one.
func TestAnswerThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1", "/lookup/1", "/stream/1"} {
		for _, part := range []string{"", soundEvents(1, 2)} {
			t.Run(fmt.Sprintf("%s after %d bytes", path, len(part)), func(t *testing.T) {
				s, runs := newUploadFixture(t, withoutLength(200, part), earlyanswer.Reset, earlyanswer.DialWriterFirst)
				got := s.upload(t.Context(), path)
				assert.Equal(t, len(s.recorder.cuts), 1)
				if path == "/lookup/1" || path == "/stream/1" {
					assert.Equal(t, got.body.String(), soundEvents(1, 4))
					assert.Assert(t, got.ended && !got.aborted)
					assert.Equal(t, runs.Load(), int32(2))
					return
				}
				assert.Assert(t, !got.ended && (got.aborted || got.refusal.Verdict == verdict.MayHaveRun))
				assert.Equal(t, s.recorder.last.Reason, Broken)
				assert.Equal(t, runs.Load(), int32(1))
			})
		}
	}
}

// Guards against a long answer, passed on as it arrives, that looks complete where a reset has cut it off.
func TestLongAnswerThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	part := strings.Repeat("x", freeBufferBytes+1)
	for _, path := range []string{"/order/1", "/lookup/1"} {
		s, runs := newUploadFixture(t, withoutLength(200, part), earlyanswer.Reset, earlyanswer.DialWriterFirst)
		s.relay.SetAnswerMemory(memlimit.New(0))
		got := s.upload(t.Context(), path)
		assert.Assert(t, got.aborted && !got.ended, path)
		assert.Equal(t, got.body.String(), part, path)
		assert.Equal(t, runs.Load(), int32(1), path)
	}
}

// Guards against whole answers that count as broken since their endpoint reads the request after them.
func TestAnswerBeforeItsUploadIsReadIsWhole(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1", "/lookup/1", "/stream/1"} {
		s, runs := newUploadFixture(t, withoutLength(200, soundEvents(1, 2)), earlyanswer.ReadOn, earlyanswer.Dial)
		got := s.upload(t.Context(), path)
		assert.Assert(t, got.ended && !got.aborted, path)
		assert.Equal(t, got.body.String(), soundEvents(1, 2), path)
		assert.Equal(t, runs.Load(), int32(1), path)
		assert.Equal(t, len(s.recorder.cuts), 0, path)
	}
}

// Guards against a refusal, proven by its head, that counts as a request that may have run since a reset follows.
func TestRefusalThatIsResetDuringTheUploadIsNotRun(t *testing.T) {
	s, runs := newUploadFixture(t, withoutLength(503, "full"), earlyanswer.Reset, earlyanswer.DialWriterFirst)
	got := s.upload(t.Context(), "/order/1")
	assert.Assert(t, got.ended)
	assert.Equal(t, got.body.String(), soundEvents(1, 4))
	assert.Equal(t, runs.Load(), int32(2))
}

// Guards against a request that is held for a caller who has left while its endpoint doesn't read it.
func TestUnreadUploadEndsWithItsCaller(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	answered := func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		leave()
		<-t.Context().Done()
	}
	s, _ := newUploadFixture(t, withoutLength(200, "part"), answered, earlyanswer.Dial)
	got := s.upload(ctx, "/order/1")
	assert.Assert(t, got.aborted && !got.ended)
	assert.Equal(t, s.recorder.last.Reason, CallerLeft)
}

// Guards against an endpoint that resets its uploads and gets as many requests as the others.
func TestEndpointThatResetsUploadsIsAvoided(t *testing.T) {
	var resets atomic.Int32
	resetting := earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) {
		resets.Add(1)
		return withoutLength(200, "part"), earlyanswer.Reset
	})
	sound := earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) {
		return withoutLength(200, "done"), earlyanswer.ReadOn
	})
	s := newFixture(t, testRoutes(), &engine{}, &engine{}, &engine{})
	s.relay.pool = upstream.NewPool(4, func(ctx context.Context, endpoint string) (net.Conn, error) {
		if endpoint == "e0" {
			return earlyanswer.DialWriterFirst(ctx, resetting)
		}
		return earlyanswer.Dial(ctx, sound)
	})
	for range 20 {
		assert.Equal(t, s.upload(t.Context(), "/lookup/1").body.String(), "done")
	}
	assert.Assert(t, resets.Load() >= 1 && resets.Load() <= 3, "%d of 20 requests", resets.Load())
}
