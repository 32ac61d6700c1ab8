package relay

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// closedByEndpoint reports whether an attempt ended because its connection was
// closed from the endpoint's side: it was neither aborted here nor timed out.
func closedByEndpoint(ctx, attemptCtx context.Context, res attemptResult, err error) bool {
	if !res.reached || res.complete || ctx.Err() != nil || attemptCtx.Err() != nil {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportCut notifies the observer that the endpoint's side closed an attempt's
// connection.
func (f *inflight) reportCut(t *trackedAttempt) {
	f.outcome.RequestKey = f.key()
	e := &t.choice.Endpoint
	f.relay.observer.Cut(ends.Disconnect{
		Endpoint: e.ID, StartedAt: e.StartedAt, Address: e.Address, Request: f.outcome.RequestKey, Sent: t.sent, EndedAt: time.Now(), AnswerBegun: t.firstPieceSeen,
	})
}

// key returns the request's key; the first call hashes the body.
func (f *inflight) key() quarantine.Key {
	if f.requestKey == (quarantine.Key{}) {
		f.requestKey = quarantine.KeyOf(f.outcome.Workspace, f.request.Method, f.request.Target, f.request.Body)
	}
	return f.requestKey
}
