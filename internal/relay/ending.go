package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// errUnconfirmedEnd means that an answer without a length has ended with its connection, and that
// its endpoint may have crashed.
var errUnconfirmedEnd = errs.New("answer without a length ended, and its endpoint accepts no connection: %w", io.ErrUnexpectedEOF)

// errReplaced means that such an answer has ended, and that another run is listed at its endpoint's address.
var errReplaced = errs.New("answer without a length ended, and its endpoint has been replaced: %w", io.ErrUnexpectedEOF)

// endCheckDelay is the time from the end of such an answer until its endpoint is checked: a
// process that ends closes its other connections and its listener within milliseconds.
const endCheckDelay = 20 * time.Millisecond

// confirmEnd returns nil if an answer that was read to its end is whole. One that isn't delimited
// may have been cut off by a crash, after which its endpoint accepts no connections.
func (f *inflight) confirmEnd(ctx context.Context, t *trackedAttempt, a *upstream.Answer) error {
	if a.Delimited() {
		return nil
	}
	if t.forwarded {
		return errUnconfirmedEnd // daemons delimit what they pass on
	}
	a.Close()
	if !pause.For(ctx, endCheckDelay) {
		return ctx.Err()
	}
	if a.ProcessRuns() {
		return nil
	}
	if f.relay.state.replaced(&t.choice.Endpoint) {
		return errReplaced
	}
	listens, err := f.relay.pool.Listens(ctx, t.choice.Endpoint.Address)
	if listens || errors.Is(err, upstream.ErrPoolExhausted) { // other connections are still open
		return nil
	}
	return errUnconfirmedEnd
}

// reportRan notifies the guard, once, that an endpoint has run the request without a crash.
func (f *inflight) reportRan(t *trackedAttempt) {
	if t.firstPieceAt.IsZero() || t.ranReported || t.forwarded {
		return
	}
	t.ranReported = true
	f.relay.guard.Ran(t.firstPieceAt, f.identity)
	if n := len(f.request.Parts) - 1; n > 0 {
		scope := f.partScope()
		for _, p := range f.request.Parts[:min(n, quarantine.MaxParts)] {
			f.relay.guard.Served(quarantine.PartOf(scope, p.ID))
		}
	}
}

// reportSettled does so where a stream has gone on for long enough.
func (f *inflight) reportSettled(now time.Time, t *trackedAttempt) {
	if now.Sub(t.firstPieceAt) >= quarantine.Settled {
		f.reportRan(t)
	}
}
