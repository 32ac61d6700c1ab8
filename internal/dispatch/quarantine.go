package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// sentAttempt is an attempt at an engine.
type sentAttempt struct {
	number   uint32
	endpoint fleet.EndpointID
	address  string
	at       time.Time
	begun    bool // a piece of the answer has come
}

// quarantineKey names the request when it comes again: with another id, at another daemon.
func (r *run) quarantineKey() quarantine.Key {
	return quarantine.KeyOf(r.ref.Workspace, "", "", r.digest[:])
}

// checkQuarantine returns why the request isn't to be sent to any engine, nil where it may
// be. Failure: the same request comes again and again under another key. Symptom:
// four tries at a time, it ends one engine after the other.
func (r *run) checkQuarantine() error {
	left := r.d.opts.Quarantine.Held(r.quarantineKey())
	if left <= 0 {
		return nil
	}
	return &AttemptError{Kind: request.Held, Verdict: verdict.NotRun, RetryAfter: left, Err: errCrashes}
}

var errCrashes = errors.New("the request crashes the engines that run it")

// reportCut tells the guard of an attempt that ended with its connection.
func (r *run) reportCut(ctx context.Context, s *sentAttempt, err error) {
	if ctx.Err() != nil || failureOf(s.number, err).Kind != request.Reset {
		return
	}
	r.d.opts.Quarantine.Cut(ends.Cut{Endpoint: s.endpoint, Address: s.address, Request: r.quarantineKey(), Sent: s.at, Begun: s.begun})
}
