package relay

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against a stop that accepts requests by a fixed time, whatever is left of its grace.
func TestStopAcceptsWhatEndsBeforeIt(t *testing.T) {
	second := time.Second
	began := time.Unix(0, 0)
	for _, grace := range []time.Duration{3 * second, 8 * second, 20 * second} {
		s := &stop{began: began, end: began.Add(grace)}
		for since := time.Duration(0); since < grace+second; since += 50 * time.Millisecond {
			now := began.Add(since)
			for _, timeout := range []time.Duration{50 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond, 4 * second, 15 * second, 60 * second} {
				for _, usual := range []time.Duration{0, second / 2, 4 * second, 30 * second} {
					got := s.accepts(now, timeout, now.Add(timeout), func() (time.Duration, bool) { return usual, usual > 0 })
					name := fmt.Sprintf("grace %v, %v after its start, timeout %v, usually %v", grace, since, timeout, usual)
					if timeout <= grace {
						assert.Equal(t, got, now.Add(timeout).Compare(s.end) <= 0, name)
						continue
					}
					early := float64(since) <= longRequestShare*float64(grace)
					assert.Equal(t, got, now.Before(s.end) && now.Add(usual).Compare(s.end) <= 0 && early, name)
				}
			}
		}
	}
}

func TestUsualDurationCoversMostRequests(t *testing.T) {
	var d durations
	_, known := d.usual("r")
	assert.Assert(t, !known)
	for i := range 200 {
		d.add("r", time.Duration(i)*time.Millisecond)
	}
	got, known := d.usual("r")
	assert.Assert(t, known)
	assert.Equal(t, got, 195*time.Millisecond)
	for i := range 2 * maxDurationRoutes {
		d.add(fmt.Sprint(i), time.Second)
	}
	assert.Assert(t, len(d.routes) <= maxDurationRoutes)
}

// slowEngine answers after some time.
func slowEngine(after time.Duration, answer string) *engine {
	return &engine{script: func(int, *http.Request) string {
		time.Sleep(after)
		return answer
	}}
}

// Guards against connections that are closed in place of an answer when the daemon ends.
func TestRequestsInProgressAtTheEndAreAnswered(t *testing.T) {
	for _, c := range []struct {
		path    string
		engine  *engine
		verdict verdict.Verdict
		begun   bool
	}{
		{"/order/1", slowEngine(time.Minute, response(200, "late")), verdict.MayHaveRun, false},
		{"/lookup/1", slowEngine(time.Minute, response(200, "late")), verdict.MayHaveRun, false},
		{"/once/1", slowEngine(0, streamHead()+chunk("id: 1\ndata: a\n\n")), verdict.MayHaveRun, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(t, testRoutes(), c.engine)
			time.AfterFunc(time.Second/4, func() { s.relay.Stop(time.Now(), time.Now().Add(3*time.Second/4)) })
			time.AfterFunc(time.Second, s.relay.EndAll)
			began := time.Now()
			got := s.send(t.Context(), c.path)
			assert.Equal(t, time.Since(began), time.Second)
			time.Sleep(2 * time.Minute) // until the engine has ended
			assert.Equal(t, s.recorder.last.Reason, CutOff)
			if c.begun {
				assert.Assert(t, got.aborted && !got.ended)
				return
			}
			assert.Equal(t, got.refusal.Verdict, c.verdict)
			assert.Equal(t, s.runs(), 1)
		})
	}
}

// Guards against requests that reach an endpoint while their connection is being closed.
func TestClosedRelaySendsNothing(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	s.relay.Close()
	got := s.send(t.Context(), "/order/1")
	assert.Equal(t, got.refusal.Reason, Stopping)
	assert.Equal(t, got.refusal.Verdict, verdict.NotRun)
	assert.Equal(t, s.runs(), 0)
	assert.Equal(t, s.state.Levels(time.Now())["w"], 1000.0) // refunded
}

// Guards against further attempts that a stopping daemon can't finish.
func TestNoFurtherAttemptOutlastsTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, testRoutes(), slowEngine(time.Second, response(503, "full")), slowEngine(time.Second, response(503, "full")))
		time.AfterFunc(time.Second/2, func() { s.relay.Stop(time.Now(), time.Now().Add(time.Second)) })
		got := s.send(t.Context(), "/order/1")
		assert.Equal(t, s.runs(), 1)
		assert.Equal(t, got.refusal.Reason, Stopping)
		assert.Equal(t, got.refusal.Verdict, verdict.NotRun)
	})
}
