package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Notice says that endpoint leaves at leaveAt. Noticed twice is harmless. What
// to do about it is decided over all requests of the endpoint (package
// reclaim) and told by Move or Recompute; without either, the request stays
// and is continued elsewhere once the endpoint is gone.
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

// Move exports the stream's KV cache so that to can carry on without
// recomputing. It does nothing for a request that can't be moved: a
// non-idempotent one, one without a stream, one that is being handed over.
func (l *Lifecycle) Move(now time.Time, to fleet.EndpointID) []Action {
	if l.phase != streaming || l.stream == "" || l.frozen || l.spec.NonIdempotent {
		return nil
	}
	l.attempt++ // pieces under way still count, the stream's end does not
	l.phase = moving
	l.moveTo = to
	l.lastProgress = now
	return []Action{MoveKV{Attempt: l.attempt, From: l.endpoint, Stream: l.stream, To: to}}
}

// Exported takes the blob and all tokens that the stream had generated when
// the export stopped it.
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

// MoveFailed says that the export did not succeed: the target recomputes.
func (l *Lifecycle) MoveFailed(now time.Time, attempt uint32) []Action {
	if l.phase != moving || attempt != l.attempt {
		return nil
	}
	out := l.cancelStream(nil)
	l.uncharged = true
	return append(out, l.dispatch(now, l.moveTo, "")...)
}

// Recompute continues on another engine, to where it is named, without waiting
// for the end of the one that runs it.
func (l *Lifecycle) Recompute(now time.Time, to fleet.EndpointID) []Action {
	if l.frozen || l.spec.NonIdempotent || (l.phase != streaming && l.phase != resuming && l.phase != dispatching) {
		return nil
	}
	out := l.cancelStream(nil)
	l.avoidEndpoint(l.endpoint)
	l.uncharged = true
	return append(out, l.dispatch(now, to, "")...)
}
