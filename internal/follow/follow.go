// Package follow tracks the objects of one kind in the platform's store: it lists them and
// then watches for changes from the list's revision on. It backs off during outages, and
// lists again if the store no longer has the changes since that revision.
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

// Timing controls how often a Follower calls the store.
type Timing interface {
	// WatchTimeout returns how long the store may hold a watch open until there is a
	// change. Each watch is a billed call. A connection that becomes unresponsive
	// meanwhile is detected by the keep-alive of the store's client.
	WatchTimeout() time.Duration
	// BatchDelay returns the delay between a change and the next watch. Changes in this
	// time come in one answer, which is billed once.
	BatchDelay() time.Duration
	// Backoff returns the bounds of the backoff after failed calls.
	Backoff() Backoff
}

// Handler receives the objects and their changes. Its methods are called in order, from
// one goroutine.
type Handler interface {
	// Listed receives all objects, as of a revision.
	Listed(all []objects.Object, revision uint64)
	// Changed receives the changes since the list or the last call, up to a revision.
	// After an outage it is called even without changes.
	Changed(changes []objects.Change, revision uint64)
	// Lost is called when the store stops answering.
	Lost(error)
	// Recovered is called when the store answers again, before the call with its answer.
	// failed is the time at which the last failed call began.
	Recovered(failedAt time.Time)
}

// Follower tracks the objects of one kind.
type Follower struct {
	store      objects.Store
	kind       string
	handler    Handler
	timing     Timing
	lost       atomic.Bool
	failedAt   time.Time // at which the last failed call began
	backoff    time.Duration
	lastAnswer *clock.Moment // time of the store's last answer
	// revision is the store's revision up to which the handler has received everything.
	revision atomic.Uint64
}

// New returns a Follower of the objects of a kind.
func New(store objects.Store, kind string, h Handler, timing Timing) *Follower {
	return &Follower{store: store, kind: kind, handler: h, timing: timing, lastAnswer: clock.NewMoment()}
}

// Kind returns the kind of the objects.
func (f *Follower) Kind() string { return f.kind }

// maxAge is the greatest age that Age returns, also before the first answer.
const maxAge = 24 * time.Hour

// Age returns how long ago the store last answered.
func (f *Follower) Age() time.Duration { return min(time.Since(f.lastAnswer.Time()), maxAge) }

// Lost reports whether the store did not answer the last call.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Revision returns the store's revision up to which the handler has received everything,
// 0 before the first answer.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// Run lists and watches until the context ends or due returns false. due is called before
// each call of the store, since a watch that is cancelled is billed as well. If the
// handler already has everything up to revision from, Run starts with a watch from there;
// if from is 0, it starts with a list.
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
		f.backOff(ctx, began, err)
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	began := time.Now()
	all, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	if last := f.Revision(); last != 0 && objects.EraOf(revision) > objects.EraOf(last) && !f.lost.Swap(true) {
		f.failedAt = began // the store came back from an older copy, so entries may have expired
	}
	f.answered()
	f.handler.Listed(all, revision)
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	changes, next, err := f.store.Watch(ctx, f.kind, after, f.timing.WatchTimeout())
	if err != nil {
		return after, err
	}
	recovered := f.lost.Load()
	f.answered()
	if len(changes) > 0 || recovered {
		f.handler.Changed(changes, max(next, after))
		pause.For(ctx, f.timing.BatchDelay())
	}
	return max(next, after), nil
}

// backOff waits after a failed call, with exponential backoff and jitter. The wait counts
// from the start of the failed call, so that a call that took long before it failed is
// followed by the next one at once.
func (f *Follower) backOff(ctx context.Context, began time.Time, err error) {
	if err == nil || ctx.Err() != nil {
		f.backoff = 0
		return
	}
	if errors.Is(err, objects.ErrGone) {
		return
	}
	f.failedAt = began
	if !f.lost.Swap(true) {
		f.handler.Lost(err)
	}
	bounds := f.timing.Backoff()
	f.backoff = min(max(2*f.backoff, bounds.Min), bounds.Max)
	pause.For(ctx, f.backoff/2+rand.N(f.backoff)-time.Since(began))
}

// answered records that the store has answered.
func (f *Follower) answered() {
	f.lastAnswer.Set(time.Now())
	if f.lost.Swap(false) {
		f.handler.Recovered(f.failedAt)
	}
}
