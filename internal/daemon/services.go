package daemon

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// serviceAnswerTimeout bounds the wait for a plain service's answer.
	serviceAnswerTimeout = 10 * time.Second
	// serviceAttempts bounds the tries of an idempotent call.
	serviceAttempts = 3
	// maxServiceAnswer bounds an answer's body, which is held in memory.
	maxServiceAnswer = 8 << 20
)

// services calls plain services for the gateway.
type services struct {
	client    *endpoint.Services
	router    *routingDuty
	admission *admissionDuty
	ledger    *ledgerDuty
	crashes   *crashDuty
	daemon    fleet.DaemonID
	known     func(service string) bool
	log       *logrus.Entry
}

var _ gateway.Services = (*services)(nil)

// Call implements gateway.Services.
func (s *services) Call(ctx context.Context, c *gateway.ServiceCall) (*gateway.ServiceAnswer, *problem.Problem) {
	if !s.known(c.Service) {
		return nil, problem.New(http.StatusNotFound, verdict.NotRun, "no service is called %q", c.Service)
	}
	id := fleet.RequestID(uuid.Must(uuid.NewV7()).String()) // of this call; its key may be used by others at once
	ask := admission.Request{ID: id, Workspace: c.Workspace, Pool: servicePool(c.Service)}
	if p := s.admission.Admit(ctx, ask); p != nil {
		return nil, p
	}
	a, p := s.admitted(ctx, id, c)
	s.admission.Release(id, admission.Usage{NotRun: p != nil && p.Verdict == verdict.NotRun})
	return a, p
}

func (s *services) admitted(ctx context.Context, id fleet.RequestID, c *gateway.ServiceCall) (*gateway.ServiceAnswer, *problem.Problem) {
	if c.NonIdempotent {
		return s.once(ctx, id, c)
	}
	var p *problem.Problem
	var tried []fleet.EndpointID
	for range serviceAttempts {
		a, used, failure := s.attempt(ctx, id, c, tried)
		if failure == nil {
			return a, nil
		}
		p = worse(p, failure)
		if used == "" || ctx.Err() != nil {
			break
		}
		tried = append(tried, used)
	}
	return nil, p
}

// worse returns the failure that a call ends with after another attempt. That
// the last one did not run says nothing about those before it.
func worse(before, last *problem.Problem) *problem.Problem {
	if before != nil && before.Verdict != verdict.NotRun && last.Verdict == verdict.NotRun {
		return before
	}
	return last
}

// once runs a non-idempotent call: its intent is recorded before the one
// dispatch, and a repeated request gets the first one's outcome. The dispatch goes on when the
// caller leaves, since no one else may repeat it.
func (s *services) once(ctx context.Context, id fleet.RequestID, c *gateway.ServiceCall) (*gateway.ServiceAnswer, *problem.Problem) {
	ref := request.Ref{Workspace: c.Workspace, ID: c.Key}
	owner := ledger.Owner(string(s.daemon) + "/" + string(id))
	digest := digestCall(c)
	in := s.ledger.Intend(ctx, ref, string(owner), digest)
	switch {
	case in.Refused != nil:
		return nil, in.Refused
	case in.Existing != nil:
		return storedAnswer(in.Existing)
	}
	owner = ledger.Owner(in.Owner)
	a, used, p := s.attempt(context.WithoutCancel(ctx), id, c, nil)
	switch {
	case p == nil:
		s.ledger.settle(ref, owner, digest, ledger.Outcome{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body})
	case p.Verdict == verdict.NotRun:
		s.ledger.abandon(ref, owner, digest)
	default:
		s.log.WithField("request", c.Key).WithField("endpoint", used).Warnf("order may have run: %s", p.Detail)
	}
	return a, p
}

// storedAnswer answers a repeat from the ledger.
func storedAnswer(f *dispatch.ExistingIntent) (*gateway.ServiceAnswer, *problem.Problem) {
	o := f.Outcome
	if o == nil {
		return nil, problem.New(http.StatusConflict, verdict.MayHaveRun, "a request with this Idempotency-Key was dispatched before; its outcome is not known yet").WithRetryAfter(time.Second)
	}
	if o.BodyOmitted {
		return nil, problem.New(http.StatusConflict, verdict.Ran, "a request with this Idempotency-Key was answered with status %d; the answer was too long to keep", o.Status)
	}
	h := http.Header{}
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	return &gateway.ServiceAnswer{Status: o.Status, Header: h, Body: o.Body}, nil
}

// digestCall covers what makes two calls with one key the same call.
func digestCall(c *gateway.ServiceCall) request.Digest {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.Query} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return request.Digest(h.Sum(nil))
}

// attempt dispatches a call once and returns the endpoint that it chose.
func (s *services) attempt(ctx context.Context, id fleet.RequestID, c *gateway.ServiceCall, tried []fleet.EndpointID) (*gateway.ServiceAnswer, fleet.EndpointID, *problem.Problem) {
	key := keyOfCall(c)
	if left := s.crashes.Held(key); left > 0 {
		return nil, "", problem.New(http.StatusServiceUnavailable, verdict.NotRun, "the call crashes the endpoints that run it").WithRetryAfter(left)
	}
	q := routing.Request{ID: id, Workspace: c.Workspace, Service: c.Service, Exclude: tried}
	choice, err := s.router.Pick(&q)
	if err != nil {
		return nil, "", problem.New(http.StatusServiceUnavailable, verdict.NotRun, "%s", err).WithRetryAfter(time.Second)
	}
	s.router.Dispatched(choice.Endpoint, &q, choice)
	sent := time.Now()
	a, err := s.do(ctx, choice.Address, c)
	if err != nil {
		s.router.Finished(choice.Endpoint, id, routing.Failed)
		s.blame(choice.Endpoint, err)
		s.cut(ctx, ends.Disconnect{Endpoint: choice.Endpoint, Address: choice.Address, Request: quarantine.Identity{Request: key}, Sent: sent, EndedAt: time.Now()}, err)
		s.log.WithField("request", c.Key).WithField("endpoint", choice.Endpoint).Infof("call failed: %v", err)
		return nil, choice.Endpoint, problem.New(http.StatusBadGateway, verdict.Of(err), "the service did not answer")
	}
	s.router.Finished(choice.Endpoint, id, routing.Answered)
	s.router.Connected(choice.Endpoint)
	s.crashes.Responded(choice.Endpoint, sent)
	if a.Status < http.StatusInternalServerError {
		s.crashes.Ran(time.Now(), key)
	}
	return a, choice.Endpoint, nil
}

func (s *services) blame(id fleet.EndpointID, err error) {
	var silent *endpoint.StallError
	switch {
	case errors.As(err, &silent):
		s.router.Stalled(id)
	case verdict.Of(err) == verdict.NotRun:
		s.router.DialFailed(id)
	}
}

// cut reports a call that ended with its connection.
func (s *services) cut(ctx context.Context, c ends.Disconnect, err error) {
	var silent *endpoint.StallError
	if ctx.Err() == nil && !errors.As(err, &silent) && verdict.Of(err) == verdict.MayHaveRun {
		s.crashes.Cut(c)
	}
}

// keyOfCall names a call when it comes again.
func keyOfCall(c *gateway.ServiceCall) quarantine.Key {
	return quarantine.KeyOf(c.Workspace, c.Method, c.Service+target(c), c.Body)
}

// do forwards the call and reads the whole answer. A 5xx to an idempotent call
// is an answer like any other: the caller decides whether it wants another try.
func (s *services) do(ctx context.Context, address string, c *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	a, err := s.client.Do(ctx, address, endpoint.ServiceRequest{
		Method:        c.Method,
		Target:        target(c),
		Header:        c.Header,
		Body:          c.Body,
		Once:          c.NonIdempotent,
		AnswerTimeout: serviceAnswerTimeout,
		StallTimeout:  serviceAnswerTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxServiceAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxServiceAnswer {
		return nil, verdict.Wrap(a.Verdict(), errors.New("answer too long"))
	}
	if c.NonIdempotent && a.Verdict() != verdict.Ran {
		return nil, verdict.Wrap(a.Verdict(), errors.New(http.StatusText(a.Status)))
	}
	return &gateway.ServiceAnswer{Status: a.Status, Header: a.Header, Body: body}, nil
}

func target(c *gateway.ServiceCall) string {
	u := url.URL{Path: c.Path, RawQuery: c.Query}
	return u.RequestURI()
}
