package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endless"
	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// endlessEngine answers with start, and then with piece until its connection is closed.
func endlessEngine(start, piece string, written *atomic.Int64) *engine {
	return &engine{write: func(w io.Writer) { endless.Write(w, strings.ReplaceAll(start, "ID", "r1"), piece, written) }}
}

// Guards against a daemon that keeps an event without an end.
func TestEventWithoutEndEndsTheAttempt(t *testing.T) {
	for _, path := range []string{"/once/1", "/stream/1"} {
		var written atomic.Int64
		s := newFixture(t, testRoutes(), endlessEngine("HTTP/1.1 200 OK\r\nId: ID\r\n\r\nid: 1\ndata: a\n\ndata: ", "x", &written))
		got := s.send(t.Context(), path)
		assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\n")
		assert.Assert(t, got.aborted && !got.ended)
		assert.Assert(t, written.Load() < 2*maxEventBytes, "%d bytes read", written.Load())
		assert.Equal(t, s.relay.answerMemory.Used(), int64(0))
	}
}

// Guards against answers in memory that only their own lengths bound.
func TestAnswersInMemoryAreBoundedTogether(t *testing.T) {
	const size = maxBufferedBytes / 2
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, strings.Repeat("x", size))))
	s.relay.SetAnswerMemory(memlimit.New(4 * bufferStepBytes))
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			got := s.send(t.Context(), "/lookup/1")
			assert.Check(t, got.refusal == nil && got.ended, "%+v", got.refusal)
			assert.Check(t, got.body.Len() == size)
		})
	}
	wg.Wait()
	assert.Equal(t, s.relay.answerMemory.Used(), int64(0))
}

// Guards against an answer that is joined from two runs since a part of it was sent.
func TestLongAnswerIsNeverJoinedFromTwoRuns(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+10)
	for path, first := range map[string]string{
		"/lookup/1": "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9000000\r\n\r\n" + long + "cut",
		"/stream/1": "HTTP/1.1 500 X\r\nId: ID\r\nContent-Length: 9000000\r\n\r\n" + long,
	} {
		var runs atomic.Int64
		script := func(int, *http.Request) string {
			if runs.Add(1) == 1 {
				return first
			}
			return streamHead() + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
		}
		s := newFixture(t, testRoutes(), &engine{script: script}, &engine{script: script})
		got := s.send(t.Context(), path)
		assert.Equal(t, runs.Load(), int64(1), path)
		assert.Assert(t, got.aborted && !got.ended, path)
		assert.Equal(t, strings.Trim(got.body.String(), "xcut"), "", path)
	}
}

// Guards against an event that is taken for endless since others hold the memory: small ones
// always fit.
func TestSmallEventsNeedNoMemoryOfTheLimit(t *testing.T) {
	events := ""
	for n := range 50 {
		events += fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("y", 4000))
	}
	s := newFixture(t, testRoutes(), alwaysAnswers(streamHead()+chunk(events)+"0\r\n\r\n"))
	s.relay.SetAnswerMemory(memlimit.New(0))
	got := s.send(t.Context(), "/once/1")
	assert.Assert(t, got.ended, "%v", s.recorder.last.Cause)
	assert.Equal(t, got.body.Len(), len(events))
}

// Guards against a verdict that an endless answer ran nothing.
func TestEndlessHeadLeavesTheVerdictOpen(t *testing.T) {
	var written atomic.Int64
	s := newFixture(t, testRoutes(), endlessEngine("HTTP/1.1 200 OK\r\nId: ID\r\nA: ", "x", &written))
	got := s.send(t.Context(), "/order/1")
	assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
	assert.Equal(t, got.refusal.Reason, Broken)
}
