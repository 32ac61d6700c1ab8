package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// engines adapts the endpoint client to the dispatcher.
type engines struct {
	client  *endpoint.Engines
	first   time.Duration // silence before the first piece
	between time.Duration // and between pieces
}

var _ dispatch.Engines = (*engines)(nil)

func (e *engines) call(id fleet.RequestID, priority int) endpoint.StreamOptions {
	return endpoint.StreamOptions{RequestID: string(id), Priority: priority, FirstTokenTimeout: e.first, StallTimeout: e.between}
}

// Start implements dispatch.Engines.
func (e *engines) Start(ctx context.Context, address string, q *engineapi.CompletionRequest, id fleet.RequestID, o dispatch.StartOptions) (dispatch.Stream, error) {
	c := e.call(id, o.Priority)
	c.Once = o.AtMostOnce
	s, err := e.client.Start(ctx, address, q, c)
	if err != nil {
		return nil, attemptError(err)
	}
	return stream{s}, nil
}

// Resume implements dispatch.Engines. The client closes silent connections of
// the lost one's age by itself.
func (e *engines) Resume(ctx context.Context, address, id string, from int, _ bool) (dispatch.Stream, error) {
	s, err := e.client.Resume(ctx, address, id, from, e.call("", 0))
	if err != nil {
		return nil, attemptError(err)
	}
	return stream{s}, nil
}

// Cancel implements dispatch.Engines.
func (e *engines) Cancel(ctx context.Context, address, id string) error {
	return e.client.Cancel(ctx, address, id)
}

// Export implements dispatch.Engines.
func (e *engines) Export(ctx context.Context, address, id string) (engineapi.KVBlob, error) {
	return e.client.Export(ctx, address, id)
}

// Import implements dispatch.Engines.
func (e *engines) Import(ctx context.Context, address string, blob engineapi.KVBlob) error {
	return e.client.Import(ctx, address, &blob)
}

// stream gives an engine's stream the dispatcher's errors.
type stream struct{ *endpoint.Stream }

// Next implements dispatch.Stream.
func (s stream) Next() (engineapi.Piece, error) {
	p, err := s.Stream.Next()
	if err != nil {
		return p, attemptError(err)
	}
	return p, nil
}

// attemptError says in the lifecycle's terms how an attempt failed.
func attemptError(err error) error {
	out := &dispatch.AttemptError{Kind: request.Reset, Verdict: verdict.Of(err), Err: err}
	var silent *endpoint.StallError
	var status *endpoint.StatusError
	var op *net.OpError
	switch {
	case errors.As(err, &silent):
		out.Kind = request.Silent
	case errors.Is(err, endpoint.ErrStreamGone), errors.Is(err, endpoint.ErrModelNotLoaded):
		out.Kind = request.NotFound
	case errors.As(err, &status):
		out.Kind = request.Unavailable
		out.RetryAfter = status.RetryAfter
	case errors.As(err, &op) && op.Op == "dial":
		out.Kind = request.Dial
	case errors.Is(err, endpoint.ErrTooManyConns):
		out.Kind = request.Unavailable
	}
	return out
}
