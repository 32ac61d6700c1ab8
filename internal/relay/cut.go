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
	id := f.identity()
	f.outcome.RequestKey = id.Request
	e := &t.choice.Endpoint
	f.relay.observer.Cut(ends.Disconnect{
		Endpoint: e.ID, StartedAt: e.StartedAt, Address: e.Address, Request: *id, Sent: t.sent, EndedAt: time.Now(), FirstPiece: t.firstPieceAt,
	})
}

// identity returns by what the request is recognised; the first call hashes the body.
func (f *inflight) identity() *quarantine.Identity {
	if f.requestIdentity == nil {
		f.requestIdentity = &quarantine.Identity{
			Request: quarantine.KeyOf(f.outcome.Workspace, f.request.Method, f.request.Target, f.request.Body),
			Scope:   f.partScope(), Parts: f.request.sharedParts(),
		}
	}
	return f.requestIdentity
}

// partScope returns the scope of the prompt's parts.
func (f *inflight) partScope() uint32 {
	return quarantine.PartScope(f.service, f.route.Name, f.request.Model)
}

// sharedParts returns the parts of a prompt that other requests may have too: all but the last,
// and the first and last ones of those if there are very many.
func (r *Request) sharedParts() []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	shared := r.Parts[:len(r.Parts)-1]
	out := make([]uint64, 0, min(len(shared), quarantine.MaxParts))
	for i, p := range shared {
		if i < quarantine.MaxParts/2 || i >= len(shared)-quarantine.MaxParts/2 {
			out = append(out, p.ID)
		}
	}
	return out
}
