package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Engines calls model engines. Its errors are AttemptErrors.
type Engines interface {
	Start(ctx context.Context, address string, q *engineapi.CompletionRequest, id fleet.RequestID, o StartOptions) (Stream, error)
	// Resume reads a stream again, beginning with token number from. With
	// replace, idle connections as old as the one that stalled are closed first.
	Resume(ctx context.Context, address, stream string, from int, replace bool) (Stream, error)
	Cancel(ctx context.Context, address, stream string) error
	Export(ctx context.Context, address, stream string) (engineapi.KVBlob, error)
	Import(ctx context.Context, address string, blob engineapi.KVBlob) error
}

// StartOptions are the options of a call of Engines.Start.
type StartOptions struct {
	Priority   int  // higher runs first
	AtMostOnce bool // the request may be written to a connection only once
}

// Stream is an open answer of an engine.
type Stream interface {
	// ID returns the engine's id of the stream.
	ID() string
	// Next returns the next piece, or an AttemptError.
	Next() (engineapi.Piece, error)
	Close()
}

// AttemptError describes how an attempt failed.
type AttemptError struct {
	Kind       request.FailureKind
	Verdict    verdict.Verdict // of the attempt alone
	RetryAfter time.Duration
	Err        error
}

func (e *AttemptError) Error() string { return e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// failureOf converts an attempt's error to an event of request.Lifecycle. An error of
// another type proves nothing, so the request may have run.
func failureOf(attempt uint32, err error) request.Failure {
	var e *AttemptError
	if errors.As(err, &e) {
		return request.Failure{Attempt: attempt, Kind: e.Kind, Verdict: e.Verdict, RetryAfter: e.RetryAfter}
	}
	return request.Failure{Attempt: attempt, Kind: request.Reset, Verdict: verdict.MayHaveRun}
}
