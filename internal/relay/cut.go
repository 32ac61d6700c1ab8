package relay

import (
	"context"
	"errors"
	"io"
	"syscall"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// closedByEndpoint reports whether an attempt ended with its connection, which was neither
// given up here nor silent.
func closedByEndpoint(ctx, attemptCtx context.Context, e attemptResult, err error) bool {
	if !e.reached || e.complete || ctx.Err() != nil || attemptCtx.Err() != nil {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportCut tells the observer of an attempt that was reportCut off.
func (f *inflight) reportCut(t *trackedAttempt) {
	f.outcome.RequestKey = f.key()
	e := &t.choice.Endpoint
	f.relay.observer.Cut(ends.Cut{
		Endpoint: e.ID, Born: e.Born, Address: e.Address, Request: f.outcome.RequestKey, Sent: t.sent, Begun: t.firstPieceSeen,
	})
}

// key returns the request's key, which costs the reading of its body.
func (f *inflight) key() quarantine.Key {
	if f.requestKey == (quarantine.Key{}) {
		f.requestKey = quarantine.KeyOf(f.outcome.Workspace, f.request.Method, f.request.Target, f.request.Body)
	}
	return f.requestKey
}
