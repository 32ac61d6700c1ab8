// Package follow keeps up with the objects of one kind of the platform's
// store: a list, then a watch that goes on from it, through outages and lost
// history.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const (
	// Wait is how long a watch waits for a change. Each wait is a call that
	// is billed; a connection that goes silent meanwhile is found out by the
	// store client's keep-alive.
	Wait = 3 * time.Second
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

// Handler takes what is learned, in order, from one goroutine.
type Handler interface {
	// Listed takes all objects there are.
	Listed([]objects.Object)
	// Changed takes changes since the list or the last change; the first call
	// after Returned has all that happened meanwhile, which may be nothing.
	Changed([]objects.Change)
	// Lost says that the store stopped to answer.
	Lost(error)
	// Returned says that it answers again; it comes before what it answered.
	Returned()
}

// Follower follows one kind.
type Follower struct {
	store   objects.Store
	kind    string
	handler Handler
	lost    bool
	pause   time.Duration
}

// New returns a follower of a kind.
func New(store objects.Store, kind string, h Handler) *Follower {
	return &Follower{store: store, kind: kind, handler: h}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	after, listed := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = f.list(ctx)
			listed = err == nil
		} else {
			after, err = f.watch(ctx, after)
			listed = !errors.Is(err, objects.ErrGone)
		}
		f.after(ctx, err)
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	all, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.returned()
	f.handler.Listed(all)
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	changes, next, err := f.store.Watch(ctx, f.kind, after, Wait)
	if err != nil {
		return after, err
	}
	back := f.lost
	f.returned()
	if len(changes) > 0 || back {
		f.handler.Changed(changes)
	}
	return max(next, after), nil
}

// after notes an error and waits before the next call.
func (f *Follower) after(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		f.pause = 0
		return
	}
	if errors.Is(err, objects.ErrGone) {
		return
	}
	if !f.lost {
		f.lost = true
		f.handler.Lost(err)
	}
	f.pause = min(max(2*f.pause, firstPause), lastPause)
	select {
	case <-ctx.Done():
	case <-time.After(f.pause/2 + rand.N(f.pause)):
	}
}

func (f *Follower) returned() {
	if f.lost {
		f.lost = false
		f.handler.Returned()
	}
}
