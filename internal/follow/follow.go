// Package follow keeps up with the objects of one kind of the platform's
// store: a list, then a watch that goes on from it, through outages and lost
// history.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/clock"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

// Pace is how often a follower calls the store.
type Pace interface {
	// Wait returns how long a watch waits for a change: each wait is a call that
	// is billed, and a connection that goes silent meanwhile is found out by the
	// store client's keep-alive.
	Wait() time.Duration
	// Together returns the time after a change in which further ones are left to
	// come, so that many at once are one answer, which is billed once.
	Together() time.Duration
	// Pauses returns the pauses after failed calls.
	Pauses() Pauses
}

// Handler takes what is learned, in order, from one goroutine.
type Handler interface {
	// Listed takes all objects there are at a revision.
	Listed(all []objects.Object, revision uint64)
	// Changed takes changes since the list or the last change, up to a
	// revision; the first call after Returned has all that happened meanwhile,
	// which may be nothing.
	Changed(changes []objects.Change, revision uint64)
	// Lost says that the store stopped to answer.
	Lost(error)
	// Returned says that it answers again; it comes before what it answered.
	// failed is when the last call began that was not answered.
	Returned(failed time.Time)
}

// Follower follows one kind.
type Follower struct {
	store   objects.Store
	kind    string
	handler Handler
	pace    Pace
	lost    atomic.Bool
	failed  time.Time // when the last failed call began
	pause   time.Duration
	contact *clock.Moment // of the last answer
	// revision is the store's up to which the handler has taken all there is.
	revision atomic.Uint64
}

// New returns a follower of a kind.
func New(store objects.Store, kind string, h Handler, pace Pace) *Follower {
	return &Follower{store: store, kind: kind, handler: h, pace: pace, contact: clock.NewMoment()}
}

// Kind returns the kind that is followed.
func (f *Follower) Kind() string { return f.kind }

// never is the age of an answer that has not come yet.
const never = 24 * time.Hour

// Age returns how long ago the store last answered.
func (f *Follower) Age() time.Duration { return min(time.Since(f.contact.Time()), never) }

// Lost reports whether the last call was not answered.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Revision returns the store's revision up to which the handler has taken all
// there is, 0 before the first list.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// Run follows for as long as that is due, until the context ends. Where the
// handler is complete up to a revision, it goes on from there without a list; 0 is
// from nothing. due is asked before each call: a watch that is begun and cancelled
// is billed.
func (f *Follower) Run(ctx context.Context, from uint64, due func() bool) {
	after, listed := from, from > 0
	for ctx.Err() == nil && due() {
		var err error
		began := time.Now()
		if !listed {
			after, err = f.list(ctx)
			listed = err == nil
		} else {
			after, err = f.watch(ctx, after)
			listed = !errors.Is(err, objects.ErrGone)
		}
		if err == nil {
			f.revision.Store(after)
		}
		f.after(ctx, began, err)
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	began := time.Now()
	all, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	if last := f.Revision(); last != 0 && objects.EraOf(revision) > objects.EraOf(last) && !f.lost.Swap(true) {
		f.failed = began // it was away, if only for a moment: entries may have lapsed
	}
	f.returned()
	f.handler.Listed(all, revision)
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	changes, next, err := f.store.Watch(ctx, f.kind, after, f.pace.Wait())
	if err != nil {
		return after, err
	}
	back := f.lost.Load()
	f.returned()
	if len(changes) > 0 || back {
		f.handler.Changed(changes, max(next, after))
		pause.For(ctx, f.pace.Together())
	}
	return max(next, after), nil
}

// after notes an error and waits before the next call, from the failed one's
// beginning: one that took long in vain has spaced them already.
func (f *Follower) after(ctx context.Context, began time.Time, err error) {
	if err == nil || ctx.Err() != nil {
		f.pause = 0
		return
	}
	if errors.Is(err, objects.ErrGone) {
		return
	}
	f.failed = began
	if !f.lost.Swap(true) {
		f.handler.Lost(err)
	}
	p := f.pace.Pauses()
	f.pause = min(max(2*f.pause, p.First), p.Last)
	pause.For(ctx, f.pause/2+rand.N(f.pause)-time.Since(began))
}

func (f *Follower) returned() {
	f.contact.Set(time.Now())
	if f.lost.Swap(false) {
		f.handler.Returned(f.failed)
	}
}
