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

// sentAttempt is an attempt that was sent to an engine.
type sentAttempt struct {
	number   uint32
	endpoint fleet.EndpointID
	address  string
	at       time.Time
	firstAt  time.Time // when the first piece of the answer was received, zero before
	heard    bool      // the quarantine was notified that the engine responded
	ran      bool      // likewise that it ran the request
}

// quarantineKey identifies the request by its content, so that it is recognised
// when it is sent again with another id or to another daemon.
func (r *run) quarantineKey() quarantine.Key {
	return quarantine.KeyOf(r.ref.Workspace, "", "", r.digest[:])
}

// checkQuarantine returns an error if the request must not be sent to any engine.
// Without it, a request that crashes engines and is sent again and again, each
// time with another key, would crash up to four engines each time, one per
// attempt.
func (r *run) checkQuarantine() error {
	left := r.d.opts.Quarantine.Held(r.quarantineKey())
	if left <= 0 {
		return nil
	}
	return &AttemptError{Kind: request.Quarantined, Verdict: verdict.NotRun, RetryAfter: left, Err: errCrashes}
}

var errCrashes = errors.New("the request crashes the engines that run it")

// reportCut reports an attempt whose connection broke to the quarantine. An
// attempt that was cancelled is ignored.
func (r *run) reportCut(ctx context.Context, s *sentAttempt, err error) {
	if ctx.Err() != nil || failureOf(s.number, err).Kind != request.Reset {
		return
	}
	r.d.opts.Quarantine.Cut(ends.Disconnect{Endpoint: s.endpoint, Address: s.address, Request: quarantine.Identity{Request: r.quarantineKey()}, Sent: s.at, EndedAt: time.Now(), FirstPiece: s.firstAt})
}

// reportPiece notifies the quarantine of the first piece of an attempt's answer, and once the answer
// has gone on for a while.
func (r *run) reportPiece(s *sentAttempt) {
	now := time.Now()
	if !s.heard {
		s.heard = true
		r.d.opts.Quarantine.Responded(s.endpoint, s.at)
	}
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	if now.Sub(s.firstAt) >= quarantine.Settled {
		r.reportRan(s)
	}
}

// reportRan notifies the quarantine, once, that an engine has run the request without a crash.
func (r *run) reportRan(s *sentAttempt) {
	if s.ran || s.firstAt.IsZero() {
		return
	}
	s.ran = true
	r.d.opts.Quarantine.Ran(s.firstAt, r.quarantineKey())
}
