package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Notice records that endpoint leaves at leaveAt. It is idempotent. Package
// reclaim decides for all requests of the endpoint together what to do, and calls
// Move or Recompute. Without either, the request stays and is continued on
// another endpoint once this one is gone.
func (l *Lifecycle) Notice(_ time.Time, endpoint fleet.EndpointID, leaveAt time.Time) {
	if l.phase == ended {
		return
	}
	l.avoidEndpoint(endpoint)
	if endpoint != l.endpoint {
		return
	}
	l.uncharged, l.redispatched = true, false
	if l.leaveAt.IsZero() || leaveAt.Before(l.leaveAt) {
		l.leaveAt = leaveAt
	}
}

// Move exports the stream's KV cache so that endpoint to can continue without
// recomputing. It does nothing for a request that can't be moved: one that is
// non-idempotent, has no stream, or is being handed over.
func (l *Lifecycle) Move(now time.Time, to fleet.EndpointID) []Action {
	if l.phase != streaming || l.stream == "" || l.frozen || l.spec.NonIdempotent {
		return nil
	}
	l.attempt++ // pieces of the old attempt are still accepted, its end is ignored
	l.phase = moving
	l.moveTo = to
	l.lastProgress = now
	return []Action{MoveKV{Attempt: l.attempt, From: l.endpoint, Stream: l.stream, To: to}}
}

// Exported handles the success of MoveKV: the id of the blob, and all tokens that
// the engine had generated when the export stopped the stream.
func (l *Lifecycle) Exported(now time.Time, attempt uint32, blob string, generated []string) []Action {
	if l.phase != moving || attempt != l.attempt {
		return nil
	}
	for i, t := range generated {
		if r := l.answer.Add(attempt, i, t); r != Appended && r != Duplicate {
			return l.MoveFailed(now, attempt)
		}
	}
	if len(generated) != l.answer.Len() {
		return l.MoveFailed(now, attempt)
	}
	l.uncharged = true
	return l.dispatch(now, l.moveTo, blob)
}

// MoveFailed handles the failure of MoveKV: the target recomputes.
func (l *Lifecycle) MoveFailed(now time.Time, attempt uint32) []Action {
	if l.phase != moving || attempt != l.attempt {
		return nil
	}
	out := l.cancelStream(nil)
	l.uncharged = true
	return append(out, l.dispatch(now, l.moveTo, "")...)
}

// Recompute continues the request on another engine, which is to unless that is
// empty, without waiting for the end of the one that runs it.
func (l *Lifecycle) Recompute(now time.Time, to fleet.EndpointID) []Action {
	if l.frozen || l.spec.NonIdempotent || (l.phase != streaming && l.phase != resuming && l.phase != dispatching) {
		return nil
	}
	out := l.cancelStream(nil)
	l.avoidEndpoint(l.endpoint)
	l.uncharged = true
	return append(out, l.dispatch(now, to, "")...)
}
