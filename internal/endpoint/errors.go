package endpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("endpoint")

// What errors.Is finds in the errors of the clients.
var (
	// ErrStreamGone: the engine doesn't know the stream (any more).
	ErrStreamGone = errors.New("stream gone")
	// ErrModelNotLoaded: the engine doesn't hold the model.
	ErrModelNotLoaded = errors.New("model not loaded")
	// ErrBusy: the engine's queue is full.
	ErrBusy = errors.New("busy")
	// ErrUnavailable: the endpoint answered 503.
	ErrUnavailable = errors.New("unavailable")
	// ErrFenced: the engine has seen a higher fencing number.
	ErrFenced = errors.New("fenced")
	// ErrTruncated: a stream ended before its last piece.
	ErrTruncated = errors.New("stream cut")
	// ErrMalformed: an answer isn't what the API says.
	ErrMalformed = errors.New("malformed answer")
	// ErrTooManyConns: the bound on connections to the endpoint was reached.
	ErrTooManyConns = errors.New("too many connections")
)

var (
	errSealed         = errors.New("request was given up before it was written")
	errSecondDispatch = errors.New("a second dispatch was refused")
	errStalled        = errors.New("progress deadline passed")
)

// Stage is how far an exchange was when its connection went silent.
type Stage uint8

// The stages.
const (
	BeforeAnswer     Stage = iota // no head of an answer; the stream id is unknown
	BeforeFirstPiece              // head read, no piece yet: silent, or long in the engine's queue
	BetweenPieces                 // after a piece
)

// StallError says that no byte arrived in time. The connection is closed and so
// are the endpoint's idle ones of its age; the next attempt dials a new one.
type StallError struct {
	Address  string
	StreamID string // for Resume; empty at BeforeAnswer
	Stage    Stage
	After    time.Duration // the deadline
}

func (s *StallError) Error() string {
	return fmt.Sprintf("%s silent for %v", s.Address, s.After)
}

// StatusError is an endpoint's refusal.
type StatusError struct {
	Status     int
	Message    string
	RetryAfter time.Duration // 0 if the endpoint said none
	Fencing    uint64        // the highest seen, of ErrFenced
	cause      error
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Unwrap returns the sentinel error that the status stands for, nil for none.
func (e *StatusError) Unwrap() error { return e.cause }
