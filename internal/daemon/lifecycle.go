package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
)

// lifecycle says how far the daemon is between its start and its end.
type lifecycle struct {
	caughtUp   atomic.Bool     // has the closing templates
	listed     atomic.Bool     // has seen the instance list
	leavingAt  atomic.Int64    // Unix ns of the start of leaving; 0 is not leaving
	refuseFrom atomic.Int64    // Unix ns from which new requests are refused
	left       context.Context // ends when the daemon starts to leave
	endLeft    context.CancelFunc
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.left, l.endLeft = context.WithCancel(context.Background())
	return l
}

var _ gateway.Readiness = (*lifecycle)(nil)

// NotReady implements gateway.Readiness. A daemon that has not caught up could
// admit callers that a newer template shuts out.
func (l *lifecycle) NotReady() string {
	switch {
	case !l.caughtUp.Load():
		return "closing templates are not loaded yet"
	case !l.listed.Load():
		return "the instance list is not loaded yet"
	default:
		return ""
	}
}

// leave starts to leave. Callers keep the entries' answer for maxAge, so new
// requests are taken for as long.
func (l *lifecycle) leave(now time.Time, maxAge time.Duration) {
	if l.leavingAt.CompareAndSwap(0, now.UnixNano()) {
		l.refuseFrom.Store(now.Add(maxAge).UnixNano())
		l.endLeft()
	}
}

func (l *lifecycle) leaving() bool { return l.leavingAt.Load() != 0 }

// Refusing implements gateway.Readiness.
func (l *lifecycle) Refusing() bool {
	from := l.refuseFrom.Load()
	return from != 0 && time.Now().UnixNano() >= from
}
