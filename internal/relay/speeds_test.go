package relay

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

var firstEngine = rendezvous.ShortKeyOf("e0")

// newEngineFixture is newFixture with engines, which have a time per event.
func newEngineFixture(t *testing.T, engines ...*engine) *fixture {
	s := newFixture(t, testRoutes(), engines...)
	table := *s.state.Table()
	s.state.Configure(time.Now(), route.New(route.Table{
		Version: 2, Routes: table.Routes, Workspaces: table.Workspaces,
		Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: 8, CacheTokens: 100_000}}},
	}))
	return s
}

// streaming answers with events some time apart, the first after a second.
func streaming(events int, apart func(i int) time.Duration) *engine {
	return &engine{write: func(w io.Writer) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range events {
			if i > 0 {
				time.Sleep(apart(i))
			}
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}}
}

func every(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// sendPrompt sends a stream's request with a prompt.
func (s *fixture) sendPrompt(t *testing.T, sink Sink, prompt int) {
	now := time.Now()
	s.relay.Serve(t.Context(), &Request{
		ID: "r1", Method: "POST", Target: "/once/1", Path: "/once/1", Host: "h", Key: "key",
		Received: now, Deadline: now.Add(time.Minute), Prompt: prompt, Parts: []balance.Part{{ID: 9, Tokens: prompt}},
	}, sink)
}

func seconds(log float64) float64 { return math.Round(math.Exp(log)*1000) / 1000 }

// Guards against an engine whose speed isn't observed, and against one counted twice.
func TestStreamsShowTheSpeedOfTheirEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngineFixture(t, streaming(50, every(40*time.Millisecond)))
		s.sendPrompt(t, &recordingSink{}, 8)
		got := s.state.OwnState(time.Now()).Speeds[firstEngine]
		assert.Equal(t, seconds(got.LogEventSeconds), 0.04)
		assert.Assert(t, got.Weight > 5, "%+v", got)
		assert.Equal(t, got.Load, 0.125)
	})
}

// slowSink takes a while for each piece.
type slowSink struct {
	recordingSink
	takes time.Duration
}

func (s *slowSink) WriteBody(p []byte) error {
	time.Sleep(s.takes)
	return s.recordingSink.WriteBody(p)
}

// Guards against a slow caller that makes its engine look slow.
func TestSlowCallerDoesNotSlowItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngineFixture(t, streaming(30, every(40*time.Millisecond)))
		s.sendPrompt(t, &slowSink{takes: 30 * time.Millisecond}, 8)
		fast := s.state.OwnState(time.Now()).Speeds[firstEngine]
		assert.Equal(t, seconds(fast.LogEventSeconds), 0.04)
		s = newEngineFixture(t, streaming(30, every(40*time.Millisecond)))
		s.sendPrompt(t, &slowSink{takes: 150 * time.Millisecond}, 8)
		assert.Equal(t, len(s.state.OwnState(time.Now()).Speeds), 0)
	})
}

// Guards against a hanging stream that shows nothing before its next event.
func TestWaitForAnEventCountsBeforeItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngineFixture(t, streaming(100, func(i int) time.Duration {
			if i == 80 {
				return 3 * time.Second
			}
			return 40 * time.Millisecond
		}))
		go s.sendPrompt(t, &recordingSink{}, 8)
		before := speed.Observation{}
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			s.state.Tick(time.Now())
			before = s.state.OwnState(time.Now()).Speeds[firstEngine]
		}
		assert.Equal(t, seconds(before.LogEventSeconds), 0.04)
		s.state.Tick(time.Now())
		time.Sleep(1500 * time.Millisecond)
		frozen := s.state.OwnState(time.Now()).Speeds[firstEngine]
		assert.Equal(t, seconds(frozen.LogEventSeconds), 0.04)
		s.state.Tick(time.Now())
		for range 5 {
			time.Sleep(pause.MonitorInterval)
			s.state.Tick(time.Now())
		}
		stalled := s.state.OwnState(time.Now()).Speeds[firstEngine]
		assert.Assert(t, seconds(stalled.LogEventSeconds) > 0.05, "%v", seconds(stalled.LogEventSeconds))
		synctest.Wait()
		time.Sleep(10 * time.Second)
	})
}

// A daemon whose settings turn it off must observe and send nothing.
func TestNothingIsObservedWhereSpeedsAreOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngineFixture(t, streaming(50, every(40*time.Millisecond)))
		s.state.SetSpeeds(speed.ModeOff)
		s.sendPrompt(t, &recordingSink{}, 8)
		assert.Equal(t, len(s.state.OwnState(time.Now()).Speeds), 0)
	})
}

// throughAnother is a Forwarder that sends all requests through a daemon that states its endpoint.
type throughAnother struct{ pool *upstream.Pool }

func (throughAnother) Target(string, int, []string, bool) (string, bool) { return "e0", false }
func (throughAnother) FoundOpen(string, string)                          {}
func (throughAnother) Done(string, bool)                                 {}
func (f throughAnother) Pool() *upstream.Pool                            { return f.pool }
func (throughAnother) Header(*ForwardedRequest) http.Header              { return http.Header{"Id": {"r1"}} }
func (throughAnother) Owns(r *Request) func(http.Header) upstream.Ownership {
	return plainProtocol{}.Owns(r)
}
func (throughAnother) Version(http.Header) (string, bool)    { return "", false }
func (throughAnother) Endpoint(http.Header) *roster.Endpoint { return &roster.Endpoint{ID: "e0"} }
func (throughAnother) Refusal(http.Header) *Refusal          { return nil }
func (throughAnother) Deliveries(http.Header) ([]delivery.Record, bool) {
	return nil, false
}

// Guards against a stream that two daemons count, or none.
func TestForwardedStreamCountsAtTheDaemonThatReachesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngineFixture(t, streaming(50, every(40*time.Millisecond)))
		now := time.Now()
		r := s.state.Table().Routes[3]
		sink := &recordingSink{}
		s.relay.ServeForwarded(t.Context(), &ForwardedRequest{
			Request: &Request{ID: "r1", Method: "POST", Target: "/once/1", Path: "/once/1", Host: "h", Received: now, Deadline: now.Add(time.Minute)},
			Route:   r, Service: "s", TimeLeft: time.Minute,
		}, sink)
		assert.Assert(t, sink.ended)
		got := s.state.OwnState(time.Now()).Speeds[firstEngine]
		assert.Equal(t, seconds(got.LogEventSeconds), 0.04)

		s = newEngineFixture(t, streaming(50, every(40*time.Millisecond)))
		s.relay.SetForwarder(throughAnother{s.relay.pool})
		sink = &recordingSink{}
		s.sendPrompt(t, sink, 8)
		assert.Assert(t, sink.ended)
		assert.Equal(t, len(s.state.OwnState(time.Now()).Speeds), 0)
	})
}

// Guards against a time in which this process stood still that counts as a late pause of an endpoint.
func TestPauseOfThisProcessIsNotOneOfTheEndpoint(t *testing.T) {
	sent := time.Unix(1000, 0)
	a := &trackedAttempt{eventSentAt: sent}
	a.eventArrived(sent.Add(3*time.Second), sent.Add(3*time.Second))
	assert.Equal(t, a.longestPause, time.Duration(0))
	a.eventArrived(sent.Add(time.Second), sent)
	assert.Equal(t, a.longestPause, time.Second)
}
