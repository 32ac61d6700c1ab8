package endpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("endpoint")

// The errors that the clients' errors may wrap.
var (
	// ErrStreamGone: the engine has no such stream, or no longer.
	ErrStreamGone = errors.New("stream gone")
	// ErrModelNotLoaded: the engine hasn't loaded the model.
	ErrModelNotLoaded = errors.New("model not loaded")
	// ErrBusy: the engine's queue is full.
	ErrBusy = errors.New("busy")
	// ErrUnavailable: the endpoint answered 503.
	ErrUnavailable = errors.New("unavailable")
	// ErrFenced: the engine has seen a higher fencing number.
	ErrFenced = errors.New("fenced")
	// ErrTruncated: a stream ended before its last piece.
	ErrTruncated = errors.New("stream truncated")
	// ErrMalformed: an answer doesn't conform to the API.
	ErrMalformed = errors.New("malformed answer")
	// ErrTooManyConns: no connection to the endpoint became free in time.
	ErrTooManyConns = errors.New("too many connections")
)

var (
	errSealed         = errors.New("request was cancelled before it was written")
	errSecondDispatch = errors.New("a second dispatch was refused")
	errStalled        = errors.New("progress deadline passed")
)

// Stage is how far an exchange had come when nothing more arrived.
type Stage uint8

// The stages.
const (
	BeforeAnswer     Stage = iota // no head of an answer; the stream id is unknown
	BeforeFirstPiece              // head read, no piece yet: stalled, or queued at the engine for long
	BetweenPieces                 // after a piece
)

// StallError is the error of an exchange in which no byte, or no piece of a stream, arrived in time. The
// connection is closed, and so are the endpoint's idle ones of the same generation;
// the next attempt dials a new one.
type StallError struct {
	Address  string
	StreamID string // for Resume; empty at BeforeAnswer
	Stage    Stage
	After    time.Duration // the timeout
}

func (s *StallError) Error() string {
	return fmt.Sprintf("%s silent for %v", s.Address, s.After)
}

// StatusError is an endpoint's refusal.
type StatusError struct {
	Status     int
	Message    string
	RetryAfter time.Duration // 0 if the endpoint gave none
	Fencing    uint64        // for ErrFenced, the highest that the engine has seen
	cause      error
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Unwrap returns the sentinel error of the status, nil for none.
func (e *StatusError) Unwrap() error { return e.cause }
