package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// fakeEngines is one engine that generates the tokens " t0", " t1" and so on.
type fakeEngines struct {
	mu       sync.Mutex
	starts   int
	resumes  int
	cancels  int
	cutAfter int           // tokens after which the next stream breaks; 0: it does not
	startErr error         // of every Start, if not nil
	interval time.Duration // between tokens
	length   int           // of the newest answer, in tokens
}

type fakeStream struct {
	e      *fakeEngines
	ctx    context.Context
	at     int // the next token
	cut    int // the token before which it breaks; 0: it does not
	length int
}

func (e *fakeEngines) Start(ctx context.Context, _ string, q *engineapi.CompletionRequest, _ fleet.RequestID, _ StartOptions) (Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.startErr != nil {
		return nil, e.startErr
	}
	e.starts++
	cut := e.cutAfter
	e.cutAfter = 0
	e.length = q.MaxTokens
	return &fakeStream{e: e, ctx: ctx, at: len(q.Continue), cut: cut, length: q.MaxTokens}, nil
}

func (e *fakeEngines) Resume(ctx context.Context, _, _ string, from int, _ bool) (Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes++
	return &fakeStream{e: e, ctx: ctx, at: from, length: e.length}, nil
}

func (e *fakeEngines) Cancel(context.Context, string, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
	return nil
}

func (e *fakeEngines) Export(context.Context, string, string) (engineapi.KVBlob, error) {
	return engineapi.KVBlob{}, errors.New("no export")
}
func (e *fakeEngines) Import(context.Context, string, engineapi.KVBlob) error { return nil }

func (s *fakeStream) ID() string { return "stream" }
func (s *fakeStream) Close()     {}

func (s *fakeStream) Next() (engineapi.Piece, error) {
	select {
	case <-time.After(s.e.interval):
	case <-s.ctx.Done():
		return engineapi.Piece{}, &AttemptError{Kind: request.Reset, Err: s.ctx.Err()}
	}
	if s.cut > 0 && s.at == s.cut {
		return engineapi.Piece{}, &AttemptError{Kind: request.Reset, Err: errors.New("cut")}
	}
	if s.at == s.length {
		return engineapi.Piece{Offset: s.at, Done: true, Usage: &engineapi.Usage{PromptTokens: 2}}, nil
	}
	p := engineapi.Piece{Offset: s.at, Text: fmt.Sprintf(" t%d", s.at)}
	s.at++
	return p, nil
}

// fakeDeps is all other dependencies. They succeed unless a field is set.
type fakeDeps struct {
	noEndpoint    bool
	overloaded    bool // every endpoint would answer too late
	intent        Intent
	settled       []ledger.Outcome
	refusal       *problem.Problem
	released      atomic.Int64
	peers         map[fleet.DaemonID]*Dispatcher
	repliesToLose int // number of replies to offers that are lost
	offers        int
	heldFor       map[quarantine.Key]time.Duration
	mu            sync.Mutex // guards cuts and ran
	cuts          []ends.Disconnect
	ran           []quarantine.Key
}

func (f *fakeDeps) Pick(*routing.Request) (routing.Choice, error) {
	if f.noEndpoint {
		return routing.Choice{}, routing.NoEndpoint{Cause: routing.NotServed}
	}
	c := routing.Choice{Endpoint: "e", Address: "e:1"}
	if f.overloaded {
		c.PredictedFirstToken = 2 * maxPredictedFirstToken
	}
	return c, nil
}
func (f *fakeDeps) Address(fleet.EndpointID) (string, bool)                        { return "e:1", true }
func (f *fakeDeps) Dispatched(fleet.EndpointID, *routing.Request, routing.Choice)  {}
func (f *fakeDeps) FirstToken(fleet.EndpointID, fleet.RequestID)                   {}
func (f *fakeDeps) Finished(fleet.EndpointID, fleet.RequestID, routing.Outcome)    {}
func (f *fakeDeps) Connected(fleet.EndpointID)                                     {}
func (f *fakeDeps) Stalled(fleet.EndpointID)                                       {}
func (f *fakeDeps) DialFailed(fleet.EndpointID)                                    {}
func (f *fakeDeps) Admit(context.Context, admission.Request) *problem.Problem      { return f.refusal }
func (f *fakeDeps) Extend(fleet.RequestID)                                         {}
func (f *fakeDeps) Release(fleet.RequestID, admission.Usage)                       { f.released.Add(1) }
func (f *fakeDeps) Announce(directory.Holding)                                     {}
func (f *fakeDeps) Cancel(context.Context, directory.Holding) bool                 { return false }
func (f *fakeDeps) Claim(_ context.Context, h directory.Holding) directory.Holding { return h }
func (f *fakeDeps) Intend(context.Context, request.Ref, string, request.Digest) Intent {
	return f.intent
}
func (f *fakeDeps) Settle(_ request.Ref, _ string, _ request.Digest, o ledger.Outcome) {
	f.settled = append(f.settled, o)
}
func (f *fakeDeps) Attempt(string)       {}
func (f *fakeDeps) AttemptFailed(string) {}

func (f *fakeDeps) Held(k quarantine.Key) time.Duration { return f.heldFor[k] }

func (f *fakeDeps) Cut(c ends.Disconnect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = append(f.cuts, c)
}

func (f *fakeDeps) Responded(fleet.EndpointID, time.Time) {}
func (f *fakeDeps) Ran(_ time.Time, k quarantine.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran = append(f.ran, k)
}
func (f *fakeDeps) Ended(string)   {}
func (f *fakeDeps) Recomputed(int) {}
func (f *fakeDeps) Lookup(context.Context, fleet.WorkspaceID, fleet.RequestID) (directory.Holding, bool) {
	return directory.Holding{}, false
}

func (f *fakeDeps) Follow(context.Context, directory.Holding, request.Digest) (gateway.Answer, error) {
	return nil, errors.New("no daemon holds it")
}

func (f *fakeDeps) Members() []request.Member {
	var out []request.Member
	for id := range f.peers {
		out = append(out, request.Member{Daemon: id, DataCentre: "dc", Serving: true})
	}
	return out
}

func (f *fakeDeps) Offer(_ context.Context, t *Transfer) (request.Reply, error) {
	f.offers++
	reply := f.peers[t.Offer.To].Take(t)
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return request.Reply{}, verdict.Wrap(verdict.MayHaveRun, errors.New("reply lost"))
	}
	return reply, nil
}

func (f *fakeDeps) Keep(_ context.Context, to fleet.DaemonID, a *Finished) error {
	if !f.peers[to].Keep(a) {
		return errors.New("not taken")
	}
	return nil
}

func (f *fakeDeps) Withdraw(_ context.Context, w request.Withdraw, deadline time.Time) (request.Rank, error) {
	return f.peers[w.To].HandleWithdraw(w.Ref, w.Rank, deadline), nil
}

// newFakeDispatcher returns a dispatcher with fake dependencies.
func newFakeDispatcher(id fleet.DaemonID, e *fakeEngines, f *fakeDeps, nonIdempotent bool) *Dispatcher {
	if e.interval == 0 {
		e.interval = 10 * time.Millisecond
	}
	return New(Options{
		Instance: fleet.InstanceID(id), Daemon: id, Engines: e, Router: f, Quarantine: f, Admission: f, Locator: f, Intents: f, Peers: f,
		NonIdempotent: func(fleet.ModelRef, fleet.WorkspaceID) bool { return nonIdempotent },
		Model:         func(_ fleet.WorkspaceID, m fleet.ModelRef) (fleet.ModelRef, bool) { return m, m.Model == "m" },
		Priority:      func(fleet.WorkspaceID) int { return 0 },
		Observer:      f,
		Policy:        request.DefaultPolicy(),
		CallerAddress: func(d fleet.DaemonID) string { return "at " + string(d) },
		Timeout:       time.Minute,
		Limits:        request.DefaultTableLimits(),
		Log:           logrus.NewEntry(logrus.New()),
	})
}

func submission(id fleet.RequestID, body string) *gateway.Submission {
	return &gateway.Submission{
		ID: id, Workspace: "w", KeySent: true, Body: []byte(body),
		Completion: engineapi.CompletionRequest{
			Model: "m", MaxTokens: 20, Messages: []engineapi.Message{{Role: "user", Content: "x"}},
		},
	}
}
