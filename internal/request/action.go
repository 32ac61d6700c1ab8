package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Action is something that the caller of a Lifecycle must do: one of the types
// below. Every action that starts an attempt has a new, higher attempt number.
// Events about an attempt must carry its number, so that late events of an
// earlier attempt are recognised.
type Action interface{ action() }

// Dispatch sends the request to an endpoint that routing selects.
type Dispatch struct {
	Attempt uint32
	Avoid   []fleet.EndpointID // used only if no other endpoint serves the request
}

// Continue sends the request together with the answer so far, which the engine
// prefills: those tokens are recomputed unless KV names a blob to import.
type Continue struct {
	Attempt  uint32
	Endpoint fleet.EndpointID // empty: routing selects one
	Avoid    []fleet.EndpointID
	From     int    // number of tokens of the answer received so far
	KV       string // id of the blob exported by MoveKV, to be imported first
}

// ResumeStream reads the engine's stream from token From on a new connection.
// Nothing is recomputed.
type ResumeStream struct {
	Attempt  uint32
	Endpoint fleet.EndpointID
	Stream   string
	From     int
	// Replace asks to close first all pooled connections that are as old as the
	// stalled one, since they are likely to be broken as well.
	Replace bool
}

// MoveKV exports the stream's KV cache for endpoint To. Its result is passed to
// Lifecycle.Exported or Lifecycle.MoveFailed.
type MoveKV struct {
	Attempt uint32
	From    fleet.EndpointID
	Stream  string
	To      fleet.EndpointID
}

// CancelStream stops an engine's stream that is no longer needed. Best effort.
type CancelStream struct {
	Endpoint fleet.EndpointID
	Stream   string
}

// Finish ends the complete answer to the caller.
type Finish struct{ Length int } // in tokens

// Fail ends the request without a complete answer.
type Fail struct {
	Verdict    verdict.Verdict
	Reason     Reason
	Cause      FailureKind   // of the last failed attempt
	RetryAfter time.Duration // 0 if a later retry would not help
}

// Transfer redirects attached callers to daemon To, which now holds the request.
type Transfer struct{ To fleet.DaemonID }

func (Dispatch) action()     {}
func (Continue) action()     {}
func (ResumeStream) action() {}
func (MoveKV) action()       {}
func (CancelStream) action() {}
func (Finish) action()       {}
func (Fail) action()         {}
func (Transfer) action()     {}
