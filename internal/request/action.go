package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Action is what a Life wants done: one of the types below. Attempt numbers
// grow with every action that opens a connection; events about an attempt must
// carry its number, so that late ones are told apart.
type Action interface{ action() }

// Dispatch sends the request to an endpoint that routing chooses.
type Dispatch struct {
	Attempt uint32
	Avoid   []fleet.EndpointID // where other endpoints serve it
}

// Continue sends the request together with the text so far, which the engine
// prefills: those tokens are recomputed unless KV names an imported blob.
type Continue struct {
	Attempt  uint32
	Endpoint fleet.EndpointID // empty: routing chooses
	Avoid    []fleet.EndpointID
	From     int    // tokens of the answer that are there already
	KV       string // blob exported by MoveKV, to be imported first
}

// ResumeStream reads the engine's stream again on a new connection. Nothing
// is recomputed.
type ResumeStream struct {
	Attempt  uint32
	Endpoint fleet.EndpointID
	Stream   string
	From     int
	// Replace asks to close the pool's connections of the old one's age first:
	// it went silent, and its contemporaries are likely to be as dead.
	Replace bool
}

// MoveKV exports the stream's KV cache. Answer with Life.Exported or Life.MoveFailed.
type MoveKV struct {
	Attempt uint32
	From    fleet.EndpointID
	Stream  string
	To      fleet.EndpointID
}

// CancelStream stops an engine's stream that nobody needs. Best effort.
type CancelStream struct {
	Endpoint fleet.EndpointID
	Stream   string
}

// Finish gives the caller the end of its whole answer.
type Finish struct{ Length int }

// Fail ends the request without its whole answer.
type Fail struct {
	Verdict    verdict.Verdict
	Reason     Reason
	Cause      FailureKind   // of the last failed attempt
	RetryAfter time.Duration // 0 where waiting does not help
}

// Transfer tells attached callers where the request went.
type Transfer struct{ To fleet.DaemonID }

func (Dispatch) action()     {}
func (Continue) action()     {}
func (ResumeStream) action() {}
func (MoveKV) action()       {}
func (CancelStream) action() {}
func (Finish) action()       {}
func (Fail) action()         {}
func (Transfer) action()     {}
