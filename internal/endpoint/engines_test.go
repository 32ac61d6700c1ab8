package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine/enginefault"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const address = "engine:1"

var messages = []engineapi.Message{{Role: "user", Content: "what does code 17 mean"}}

func completionRequest(tokens int) *engineapi.CompletionRequest {
	return &engineapi.CompletionRequest{Model: "m", Messages: messages, MaxTokens: tokens}
}

var longTimeouts = StreamOptions{FirstTokenTimeout: 5 * time.Second, StallTimeout: time.Second}

// withEngine runs f against a stand-in engine on a fake clock.
func withEngine(t *testing.T, o engine.Options, f func(t *testing.T, e *engine.Engine, c *Engines, network *pipeNet)) {
	synctest.Test(t, func(t *testing.T) {
		o.Models = []fleet.ModelRef{{Model: "m"}}
		o.TokenInterval = 100 * time.Millisecond
		e := engine.New(o)
		network := servePipe(t, e.Handler())
		c := NewEngines(Options{Dial: network.dial})
		defer c.Close()
		defer e.Close()
		f(t, e, c, network)
	})
}

// readTokens returns at most limit tokens, up to the last piece or an error.
func readTokens(s *Stream, limit int) (text []string, err error) {
	for len(text) < limit {
		p, err := s.Next()
		if err != nil {
			return text, err
		}
		if p.Done {
			return text, nil
		}
		text = append(text, p.Text)
	}
	return text, nil
}

func TestStreamReturnsTheWholeAnswer(t *testing.T) {
	withEngine(t, engine.Options{}, func(t *testing.T, _ *engine.Engine, c *Engines, network *pipeNet) {
		for range 3 {
			s, err := c.Start(t.Context(), address, completionRequest(20), longTimeouts)
			assert.NilError(t, err)
			text, err := readTokens(s, 100)
			assert.NilError(t, err)
			assert.DeepEqual(t, text, engine.Text(messages, 20))
			_, err = s.Next()
			assert.Equal(t, err, io.EOF)
			s.Close()
		}
		assert.Equal(t, network.dials.Load(), int32(1), "a connection read to its end is used again")
	})
}

// A middlebox between daemon and engine loses its state of two open connections:
// one carries a stream, the other is idle in the pool. The stream stalls and its
// resume must not get the idle connection, which would stall as well and cost the
// caller a second timeout. It must dial a new one and get the rest.
func TestStalledConnectionIsReplacedWithAllOlderOnes(t *testing.T) {
	withEngine(t, engine.Options{}, func(t *testing.T, e *engine.Engine, c *Engines, network *pipeNet) {
		s, err := c.Start(t.Context(), address, completionRequest(20), longTimeouts)
		assert.NilError(t, err)
		defer s.Close()
		_, err = c.Load(t.Context(), address)
		assert.NilError(t, err)
		text, err := readTokens(s, 5)
		assert.NilError(t, err)
		assert.Equal(t, network.dials.Load(), int32(2))

		e.SetFaults(enginefault.Faults{SilenceOpen: true})
		began := time.Now()
		_, err = s.Next()
		var stall *StallError
		assert.Assert(t, errors.As(err, &stall))
		assert.DeepEqual(t, *stall, StallError{Address: address, StreamID: s.ID(), Stage: BetweenPieces, After: time.Second})
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		assert.Equal(t, time.Since(began), time.Second)

		r, err := c.Resume(t.Context(), address, s.ID(), 5, longTimeouts)
		assert.NilError(t, err)
		defer r.Close()
		rest, err := readTokens(r, 100)
		assert.NilError(t, err)
		assert.DeepEqual(t, append(text, rest...), engine.Text(messages, 20))
		assert.Equal(t, network.dials.Load(), int32(3))
	})
}

// Two streams stall at the same moment and time out one after the other. The second
// timeout concerns an older generation of connections: it must not close those
// opened since the first.
func TestStallOfAnOldConnectionKeepsNewConnections(t *testing.T) {
	withEngine(t, engine.Options{}, func(t *testing.T, e *engine.Engine, c *Engines, network *pipeNet) {
		open := func(between time.Duration) *Stream {
			s, err := c.Start(t.Context(), address, completionRequest(100), StreamOptions{FirstTokenTimeout: time.Second, StallTimeout: between})
			assert.NilError(t, err)
			_, err = readTokens(s, 1)
			assert.NilError(t, err)
			return s
		}
		quick, slow := open(time.Second), open(3*time.Second)
		defer quick.Close()
		defer slow.Close()
		e.SetFaults(enginefault.Faults{SilenceOpen: true})
		var stall *StallError
		_, err := readTokens(quick, 100)
		assert.Assert(t, errors.As(err, &stall))
		_, err = c.Load(t.Context(), address)
		assert.NilError(t, err)
		_, err = readTokens(slow, 100)
		assert.Assert(t, errors.As(err, &stall))
		_, err = c.Load(t.Context(), address)
		assert.NilError(t, err)
		assert.Equal(t, network.dials.Load(), int32(3))
	})
}

// The engine accepts requests and never answers. Each kind of call must end with
// its own timeout and report the stage it had reached.
func TestCallsToASilentEngineEndAtTheirDeadlines(t *testing.T) {
	withEngine(t, engine.Options{Slots: 1}, func(t *testing.T, e *engine.Engine, c *Engines, _ *pipeNet) {
		busy, err := c.Start(t.Context(), address, completionRequest(1000), longTimeouts)
		assert.NilError(t, err)
		defer busy.Close()
		queued, err := c.Start(t.Context(), address, completionRequest(1), longTimeouts)
		assert.NilError(t, err)
		defer queued.Close()
		var stall *StallError
		_, err = queued.Next()
		assert.Assert(t, errors.As(err, &stall))
		assert.Equal(t, stall.Stage, BeforeFirstPiece)
		assert.Equal(t, stall.StreamID, queued.ID())

		e.SetFaults(enginefault.Faults{Silent: true})
		_, err = c.Start(t.Context(), address, completionRequest(1), longTimeouts)
		assert.Assert(t, errors.As(err, &stall))
		assert.Equal(t, stall.Stage, BeforeAnswer)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		_, err = c.Load(t.Context(), address)
		assert.Assert(t, errors.As(err, &stall))
	})
}

func TestRefusalsOfAnEngineAreNotRun(t *testing.T) {
	withEngine(t, engine.Options{Slots: 1, MaxQueue: 1, Fences: true}, func(t *testing.T, e *engine.Engine, c *Engines, _ *pipeNet) {
		start := func(req *engineapi.CompletionRequest) error {
			s, err := c.Start(t.Context(), address, req, longTimeouts)
			if err == nil {
				t.Cleanup(s.Close)
				synctest.Wait()
			}
			return err
		}
		other := completionRequest(1)
		other.Model = "other"
		assertRefusal := func(err, want error) {
			t.Helper()
			assert.ErrorIs(t, err, want)
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
		}
		assertRefusal(start(other), ErrModelNotLoaded)
		assert.NilError(t, start(completionRequest(1000)))
		assert.NilError(t, start(completionRequest(1000)))
		assertRefusal(start(completionRequest(1)), ErrBusy)
		assert.NilError(t, c.Order(t.Context(), address, engineapi.Order{Fencing: 7, Kind: engineapi.SetRole}))
		err := c.Order(t.Context(), address, engineapi.Order{Fencing: 6, Kind: engineapi.SetRole})
		assertRefusal(err, ErrFenced)
		var status *StatusError
		assert.Assert(t, errors.As(err, &status))
		assert.Equal(t, status.Fencing, uint64(7))
		assert.ErrorIs(t, c.Cancel(t.Context(), address, "none"), ErrStreamGone)
		_, err = c.Resume(t.Context(), address, "none", 0, longTimeouts)
		assert.ErrorIs(t, err, ErrStreamGone)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		e.SetFaults(enginefault.Faults{Unavailable: true})
		assertRefusal(start(completionRequest(1)), ErrUnavailable)
	})
}

func TestKVCacheMovesBetweenStreams(t *testing.T) {
	withEngine(t, engine.Options{}, func(t *testing.T, _ *engine.Engine, c *Engines, _ *pipeNet) {
		s, err := c.Start(t.Context(), address, completionRequest(20), longTimeouts)
		assert.NilError(t, err)
		defer s.Close()
		head, err := readTokens(s, 5)
		assert.NilError(t, err)
		blob, err := c.Export(t.Context(), address, s.ID())
		assert.NilError(t, err)
		assert.DeepEqual(t, blob.Generated, head)
		_, err = s.Next()
		assert.ErrorIs(t, err, ErrTruncated)
		assert.NilError(t, c.Import(t.Context(), address, &blob))
		req := completionRequest(20)
		req.Continue = blob.Generated
		req.KV = blob.ID
		s, err = c.Start(t.Context(), address, req, longTimeouts)
		assert.NilError(t, err)
		defer s.Close()
		rest, err := readTokens(s, 100)
		assert.NilError(t, err)
		assert.DeepEqual(t, append(head, rest...), engine.Text(messages, 20))
		counters, err := c.Counters(t.Context(), address)
		assert.NilError(t, err)
		assert.Equal(t, counters.RecomputedTokens, int64(0))
		models, err := c.Models(t.Context(), address)
		assert.NilError(t, err)
		assert.DeepEqual(t, models, []fleet.ModelRef{{Model: "m"}})
		_, err = c.CacheEvents(t.Context(), address, 0)
		assert.NilError(t, err)
	})
}

func TestIncompleteOrMalformedStreamFails(t *testing.T) {
	for body, want := range map[string]error{
		"data: {\"offset\":0,\"text\":\"a\"}\n\n": ErrTruncated,
		"data: {\"offset\":":                      ErrTruncated,
		"data: {]\n\n":                            ErrMalformed,
	} {
		resp := &http.Response{Header: make(http.Header), Body: io.NopCloser(strings.NewReader(body))}
		s := newStream(newPool(address, &Options{}), nil, newWatchdog(context.Background(), 0), resp, StreamOptions{}, time.Now())
		_, err := readTokens(s, 10)
		assert.ErrorIs(t, err, want)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		s.Close()
	}
}
