// Package mirror follows all objects of some kinds: it lists them once and then watches, through
// outages, lost connections and watches that the store no longer has.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

// Mirror reports every object's newest version, and never a lower version of an object after a
// higher one. It keeps versions, not values.
type Mirror struct {
	options  Options
	view     *view
	listed   bool // the view is complete up to its version
	retry    budget.Backoff
	failed   bool // the last call failed
	synced   chan struct{}
	syncOnce sync.Once
}

// New returns a mirror that Run starts.
func New(o Options) *Mirror {
	return &Mirror{
		options: o.withDefaults(),
		view:    newView(),
		retry:   budget.Backoff{First: firstRetry, Longest: longestRetry},
		synced:  make(chan struct{}),
	}
}

// Synced is closed once all objects that were there at the start have been reported.
func (m *Mirror) Synced() <-chan struct{} { return m.synced }

// Run mirrors until the context ends. It may be called once.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.step(ctx)
		m.failed = err != nil
		if err == nil {
			m.retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.options.OnError(err)
		m.pause(ctx)
	}
}

// step makes the next call: a full list, or a watch.
func (m *Mirror) step(ctx context.Context) error {
	if !m.listed {
		return m.list(ctx)
	}
	err := m.watch(ctx)
	var gone *outside.Gone
	if errors.As(err, &gone) {
		m.listed = false
	}
	return err
}

func (m *Mirror) list(ctx context.Context) error {
	full := make(lists, len(m.options.Kinds))
	for _, kind := range m.options.Kinds {
		list, err := m.options.Source.List(ctx, kind, "")
		if err != nil {
			return err
		}
		if m.view.stale(list) {
			return outside.Error.New("the list of %s is at version %d, older than what was seen", kind, list.Version)
		}
		full[kind] = list
	}
	m.tell(m.view.reset(full))
	m.listed = true
	m.syncOnce.Do(func() { close(m.synced) })
	return nil
}

func (m *Mirror) watch(ctx context.Context) error {
	answer, err := m.options.Source.Watch(ctx, m.options.Kinds, m.view.version, m.wait())
	if err != nil {
		return err
	}
	m.tell(m.view.apply(answer))
	return nil
}

// wait is how long the next watch waits: not at all after a failure, since the watch may be a
// breaker's probe, which would stay undecided as long.
func (m *Mirror) wait() time.Duration {
	if m.failed {
		return 0
	}
	shorter := m.options.Random.Float64() * waitJitter
	return time.Duration((1 - shorter) * float64(m.options.Wait))
}

func (m *Mirror) tell(changes []objectapi.Object) {
	for _, o := range changes {
		m.options.OnChange(o)
	}
}

// pause waits before the next try. While the breaker is open the tries cost the
// store nothing.
func (m *Mirror) pause(ctx context.Context) {
	pause.For(ctx, m.retry.Next(m.options.Random))
}
