package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// ForwardedRequest is a request that one daemon has admitted and another one sends to an
// endpoint. The first one charges the workspace's limit and repeats the request where that
// is allowed; the other one reports its usage.
type ForwardedRequest struct {
	Request       *Request // without the caller's credential
	Route         route.Route
	Workspace     fleet.WorkspaceID // empty without a credential
	Service       string
	Pinned        bool   // the stream goes on, at Version
	Version       string // of the endpoint's software
	Priority      int
	TimeLeft      time.Duration
	Elapsed       time.Duration // since the head of the caller's request was received
	Waited        time.Duration // since the whole of it was
	ConfigVersion uint64        // by which it was admitted
}

// Forwarder sends requests through other daemons, for services whose endpoints this daemon
// can't reach. It is safe for concurrent use.
type Forwarder interface {
	// Target returns the address of another daemon for a request that has found this many
	// endpoints unreachable, at least 1 if none can be chosen, and that the tried daemons didn't run. direct says that it
	// should go to an endpoint directly; the address is empty then, and if there is no
	// other daemon. pinned says that the daemon must keep to a version.
	Target(service string, unreached int, tried []string, pinned bool) (address string, direct bool)
	// FoundOpen records that the daemon at an address has sent a request to an endpoint of a
	// service.
	FoundOpen(service, address string)
	// Done records the end of a request at an address, and whether the daemon there
	// answered. An answer that breaks off counts as one, since its endpoint may have crashed.
	Done(address string, answered bool)
	// Pool holds the connections to other daemons.
	Pool() *upstream.Pool
	// Header returns the header to send.
	Header(r *ForwardedRequest) http.Header
	// Owns returns a function that reports whether an answer belongs to the request.
	Owns(r *Request) func(http.Header) upstream.Ownership
	// Version returns the version of the endpoint that an answer comes from, if that is stated.
	// It must be called before Refusal.
	Version(h http.Header) (version string, stated bool)
	// Endpoint returns the endpoint that an answer comes from, with its ID and start alone, nil if
	// that isn't stated. It must be called before Refusal.
	Endpoint(h http.Header) *roster.Endpoint
	// Deliveries returns where the other daemon sent the request that it refused; stated is false
	// if it doesn't say. It must be called before Refusal.
	Deliveries(h http.Header) (all []delivery.Record, stated bool)
	// Refusal returns the other daemon's refusal, nil if the answer is an endpoint's. It
	// removes what the other daemon added to the header.
	Refusal(h http.Header) *Refusal
}

// forwardMargin is added to the time for which an endpoint may send nothing, since the other
// daemon ends the attempt first.
const forwardMargin = time.Second

// maxForwards bounds the daemons that are tried for one request.
const maxForwards = 3

// SetForwarder sets the forwarder. It must be called before Serve.
func (r *Relay) SetForwarder(f Forwarder) { r.forwarder = f }

// ServeForwarded runs a request that another daemon has admitted, and sends the answer to
// sink. It sends the request to endpoints only, never to a third daemon.
func (r *Relay) ServeForwarded(ctx context.Context, fr *ForwardedRequest, sink Sink) {
	a, refusal := r.state.admitForwarded(time.Now(), fr)
	r.serve(ctx, fr.Request, a, refusal, sink, true)
}

// admitForwarded returns the request as admitted by another daemon. Its bound on attempts
// stays with that daemon, which counts this one as a single attempt.
func (s *State) admitForwarded(now time.Time, fr *ForwardedRequest) (*admitted, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fr.Request.Received, fr.Request.Complete = now.Add(-fr.Elapsed), now.Add(-fr.Waited)
	r := fr.Route
	r.MaxAttempts = 1
	a := &admitted{
		table: s.table, configuredAt: s.configuredAt, route: &r, service: fr.Service, priority: fr.Priority,
		deadline: now.Add(fr.TimeLeft), pinned: fr.Pinned, version: fr.Version,
	}
	if fr.Workspace != "" {
		a.workspace = &route.Workspace{Name: fr.Workspace}
	}
	if s.table == nil {
		return a, notRun(NoConfiguration, noConfigurationRetryAfter)
	}
	return a, nil
}

// forwardTarget returns the daemon through which the next attempt goes, empty if it should
// go to an endpoint. It returns a refusal if no daemon is left for a request that others
// could not run either.
func (f *inflight) forwardTarget() (string, *Refusal) {
	if f.forwarded || f.relay.forwarder == nil {
		return "", nil
	}
	unreached := f.tally.unreached
	if f.relay.state.anyRest(f) {
		unreached = 0 // other daemons could reach only the endpoints that want rest
	}
	address, direct := f.targetDaemon(unreached)
	switch {
	case direct:
		return "", nil
	case address != "":
		return address, nil
	case len(f.triedDaemons) > 0:
		return "", f.relay.state.refuseBusy(f, NoEndpoint)
	default:
		return "", nil
	}
}

// lastDaemon returns a daemon for a request that no endpoint can be chosen for, empty if there
// is none.
func (f *inflight) lastDaemon(r *Refusal) string {
	if f.forwarded || f.relay.forwarder == nil || r.Reason != NoEndpoint || f.relay.state.anyRest(f) {
		return ""
	}
	address, _ := f.targetDaemon(max(f.tally.unreached, 1))
	return address
}

// targetDaemon returns the forwarder's choice within the bound on forwarding.
func (f *inflight) targetDaemon(unreached int) (address string, direct bool) {
	if len(f.triedDaemons) >= maxForwards {
		return "", false
	}
	return f.relay.forwarder.Target(f.service, unreached, f.triedDaemons, f.continuation.begun)
}

// attemptVia sends the request through another daemon once and reads the answer.
func (f *inflight) attemptVia(ctx context.Context, address string) (attemptResult, *bufferedAnswer) {
	f.triedDaemons = append(f.triedDaemons, address)
	f.outcome.Via, f.outcome.Endpoint, f.outcome.Predicted = address, "", 0
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, buffered, err := f.exchangeForwarded(attemptCtx, address)
	f.outcome.Cause = err
	f.outcome.Failed = res.class == Failure && res.complete
	f.relay.forwarder.Done(address, daemonAnswered(ctx, res, err))
	f.count(res)
	return res, buffered
}

// daemonAnswered reports whether the daemon answered to which a request was forwarded. It passes
// the crash of its endpoint on by breaking the answer off. If that counted against the daemon,
// the crash of an endpoint with many streams would exclude all daemons that have sent them there.
func daemonAnswered(ctx context.Context, res attemptResult, err error) bool {
	switch {
	case err == nil:
		return true
	case !res.headReceived:
		return false
	case errors.Is(ctx.Err(), context.Canceled): // the caller has left
		return true
	}
	return !timedOut(err)
}

// timedOut reports whether an attempt's error is that no bytes arrived in time.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, upstream.ErrSilent) || errors.As(err, &timeout) && timeout.Timeout()
}

// exchangeForwarded sends the request to another daemon and reads the answer.
func (f *inflight) exchangeForwarded(ctx context.Context, address string) (attemptResult, *bufferedAnswer, error) {
	sent := time.Now()
	call := f.forwardCall(address)
	t := &trackedAttempt{inflight: f, sent: sent, forwarded: true, silenceTimeout: call.SilenceTimeout}
	a, err := f.relay.forwarder.Pool().Send(ctx, call)
	if err != nil {
		return f.noAnswer(t, err), nil, err
	}
	defer a.Close()
	f.outcome.Evidence = delivery.DaemonStates
	if a.Unnamed {
		f.outcome.Evidence = delivery.DaemonUnnamed
	}
	t.version, t.versionKnown = f.relay.forwarder.Version(a.Header)
	if e := f.relay.forwarder.Endpoint(a.Header); e != nil {
		t.choice.Endpoint = *e
		t.choice.Endpoint.Service = f.service
	}
	further, stated := f.relay.forwarder.Deliveries(a.Header)
	if refusal := f.relay.forwarder.Refusal(a.Header); refusal != nil {
		if !stated || !delivery.AllProve(further) {
			refusal.Verdict = verdict.MayHaveRun // also by a daemon of a release that doesn't state them
		}
		ran := refusal.Verdict != verdict.NotRun
		a.Delivery.Settle(delivery.Record{NotRun: !ran, Evidence: f.outcome.Evidence, Status: a.Status, Further: further})
		return attemptResult{verdict: refusal.Verdict, reached: ran || refusal.Reason == Shed, refusal: refusal}, nil, nil
	}
	f.relay.forwarder.FoundOpen(f.service, address)
	return f.receive(ctx, t, a)
}

func (f *inflight) forwardCall(address string) *upstream.Call {
	q := *f.request
	q.Key, q.LastEvent = "", f.events.Last()
	fr := &ForwardedRequest{
		Request: &q, Route: *f.route, Workspace: f.outcome.Workspace, Service: f.service, Priority: f.priority,
		ConfigVersion: f.outcome.ConfigVersion, Pinned: f.balanceReq.Pinned, Version: f.balanceReq.Version,
	}
	return &upstream.Call{
		Address: address, Deliveries: f.sink.Deliveries(), To: address, Method: q.Method, Target: q.Target, Host: q.Host, Body: q.Body,
		Header: func() http.Header {
			fr.TimeLeft, fr.Elapsed, fr.Waited = time.Until(f.deadline), time.Since(f.request.Received), time.Since(f.request.complete())
			return f.relay.forwarder.Header(fr)
		},
		Gate:           f,
		ID:             q.ID,
		Owns:           f.ownsForwarded(&q),
		SilenceTimeout: finalStallTimeout + forwardMargin,
	}
}

// ownsForwarded returns a function that reports whether an answer through another daemon belongs to the request, by
// the daemon's header and by the endpoint's: a daemon of an earlier release passes on answers that name another
// request too. Without the daemon's header, that of the endpoint proves nothing about the request.
func (f *inflight) ownsForwarded(r *Request) func(http.Header) upstream.Ownership {
	byDaemon, byEndpoint := f.relay.forwarder.Owns(r), f.relay.protocol.Owns(r)
	return func(h http.Header) upstream.Ownership {
		switch daemon, endpoint := byDaemon(h), byEndpoint(h); {
		case endpoint == upstream.NoRequest, endpoint == daemon:
			return daemon
		case daemon == upstream.NoRequest && endpoint == upstream.ThisRequest:
			return upstream.NoRequest
		case daemon == upstream.NoRequest:
			return endpoint
		default:
			return upstream.SeveralRequests
		}
	}
}

// isFinal reports whether another daemon's refusal would be the same at a third one.
func isFinal(r *Refusal) bool {
	switch {
	case r == nil || r.Verdict != verdict.NotRun:
		return false
	case r.Reason == NoEndpoint || r.Reason == NoConfiguration || r.Reason == Stopping || r.Reason == Shed || r.Reason == NoMemory:
		return false
	default:
		return true
	}
}
