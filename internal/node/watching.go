package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

const (
	// longWait, hubWait and leastWait bound how long a watch waits for a change:
	// each wait is a call that is billed. A hub's wait bounds how old the word of
	// its last contact may be.
	longWait  = 3 * time.Second
	hubWait   = 700 * time.Millisecond
	leastWait = 200 * time.Millisecond
	// staleSlack, with a hub's wait and the time between two reports, is the age
	// of the freshest hub's last contact with the store from which a daemon
	// watches by itself. It is for slow answers, and for a watch that hears nothing
	// for a second and has to be given up: the hubs' watches do so together, and
	// all daemons would turn to the store for it. Where a change must be in
	// force sooner, the slack is less.
	staleSlack = 800 * time.Millisecond
	// turnTime is how long it takes to turn to the store: to notice that it is due, to
	// connect, and to be answered.
	turnTime = roleInterval + 300*time.Millisecond
	// together and togetherAtStart are the times after a change in which further
	// ones are left to come: at a start endpoints register one after the other, and
	// each answer is billed.
	together        = 100 * time.Millisecond
	togetherAtStart = time.Second
	// firstWatch is how long after its start a daemon relies on the list that it
	// began with: until it knows some others, it takes itself for a hub.
	firstWatch = time.Second
	// startTime is how long a daemon of a large fleet takes to know all others.
	startTime = 5 * time.Second
	// findStrong is how long a weak machine looks for a strong one that tells it the
	// first list, listWait how long it waits for that where the whole system starts
	// for the first time, and listAgain where callers may be there already.
	findStrong = time.Second
	listWait   = 3 * time.Second
	listAgain  = 1500 * time.Millisecond
	// learnTime is how long the store may take to tell how many daemons there were.
	learnTime = 300 * time.Millisecond
	// roleInterval is how often a daemon looks whether it should watch.
	roleInterval = 100 * time.Millisecond
)

// watching decides whether this daemon watches the store itself.
type watching struct {
	node  *Node
	mu    sync.Mutex
	fresh time.Time // the latest time at which a hub is known to have heard from the store
}

func newWatching(n *Node) *watching { return &watching{node: n, fresh: time.Now()} }

// told notes that a hub heard from the store age ago.
func (w *watching) told(age time.Duration) {
	at := time.Now().Add(-age)
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.fresh) {
		w.fresh = at
	}
}

// age returns how old the hubs' word is.
func (w *watching) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.fresh)
}

// small reports whether all daemons watch. In a larger fleet every change would be
// answered to every daemon by the store, whose rates grow more slowly than the
// fleet; there the hubs watch and tell the others.
func (w *watching) small() bool { return len(w.node.members.serving()) <= exchange.SmallFleet }

// watcher reports whether this daemon watches the store for the others.
func (w *watching) watcher() bool { return w.node.members.layout().isWatcher(w.node.id) }

// follows reports whether this daemon relies on the hubs' word while that is fresh.
func (w *watching) follows() bool { return !w.small() && !w.watcher() }

// stale is the age from which the hubs' word isn't relied on. Where hubs follow the
// watchers themselves, their daemons leave them time to turn to the store first.
func (w *watching) stale() time.Duration {
	l := w.node.members.layout()
	slack := staleSlack
	if l.meshed && !l.isHub(w.node.id) {
		slack += turnTime
	}
	return staleAge(w.node.way(), slack, w.node.change())
}

// staleAge returns the age from which a hub's word isn't relied on, of hubs that
// are told at an interval, where a change must be in force within a bound.
func staleAge(interval, slack, change time.Duration) time.Duration {
	sound := hubWait + interval
	return max(sound, min(sound+slack, change-turnTime))
}

// weak reports whether this daemon's machine can be no hub of hundreds.
func (w *watching) weak() bool { return strengthOf(w.node.id) < hubStrength }

// awaitsList reports whether a weak machine leaves the first list to strong ones: the
// lists of hundreds of daemons are most of what the store has to answer at a start.
func (w *watching) awaitsList() bool {
	if !w.weak() {
		return false
	}
	age := time.Since(w.node.started)
	if w.node.settings.Daemon.FirstStart {
		return age < findStrong || age < listWait && w.knowsStrong()
	}
	known, learned := w.node.members.before()
	if !learned {
		return age < learnTime
	}
	return exchange.Meshed(known) && (age < findStrong || age < listAgain && w.knowsStrong())
}

// knowsStrong reports whether some serving daemon's machine can be a hub of hundreds.
func (w *watching) knowsStrong() bool {
	best := w.node.members.layout().watchers
	return len(best) > 0 && strengthOf(best[0].Daemon) >= hubStrength
}

// gathers reports whether a weak machine may not have found the others yet, and isn't
// to take its view for the fleet.
func (w *watching) gathers() bool {
	return w.weak() && time.Since(w.node.started) < startTime && w.knowsStrong()
}

// due reports whether this daemon should watch a kind now, of which it knows all
// there is or nothing yet. One that has just started lists it first, unless its
// machine is weak.
func (w *watching) due(known bool) bool {
	if !known {
		return !w.awaitsList()
	}
	if w.age() > w.stale() {
		return true
	}
	return !w.follows() && !w.gathers() && time.Since(w.node.started) > firstWatch
}

// WatchTimeout implements follow.Timing.
func (w *watching) WatchTimeout() time.Duration {
	most := hubWait
	if w.small() {
		most = longWait
	}
	return watchWait(most, w.BatchDelay(), w.node.contact())
}

// watchWait returns how long a watch waits that may begin a pause after its
// connection went silent. The silence is found out, and the store asked again on
// another connection, within the time after which the platform holds a daemon to
// its bounds again. All daemons begin to wait at the same moment, after each
// change, so that none is told by another in the meantime.
func watchWait(most, pause, contact time.Duration) time.Duration {
	found := contact * 3 / 4 // the rest is for the call after
	return max(leastWait, min(most, found-pause-objects.WatchSlack))
}

// BatchDelay implements follow.Timing.
func (w *watching) BatchDelay() time.Duration {
	if time.Since(w.node.started) < startTime {
		return togetherAtStart
	}
	return together
}

// Backoff implements follow.Timing: the whole fleet waits for a hub's word that the
// store is back, and nobody for another daemon's.
func (w *watching) Backoff() follow.Backoff {
	if w.follows() {
		return follow.FleetBackoff(w.node.members.number())
	}
	return follow.FastBackoff()
}

// run follows a kind for as long as that is due, again and again. from is asked
// for the revision to go on from, 0 for none.
func (w *watching) run(ctx context.Context, f *follow.Follower, from func() uint64, due func() bool) {
	for ctx.Err() == nil {
		if due() {
			w.follow(ctx, f, from(), due)
		}
		pause.Next(ctx, roleInterval)
	}
}

// follow follows a kind until it isn't due any more.
func (w *watching) follow(ctx context.Context, f *follow.Follower, from uint64, due func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.node.say("watching").WithFields(map[string]any{
		"kind": f.Kind(), "from": from, "daemons": len(w.node.members.serving()), "watcher": w.watcher(), "word_age_ms": w.age().Milliseconds(),
	}).Info("watches the store")
	go pause.Every(ctx, roleInterval, func() {
		if !due() {
			cancel()
		}
	})
	f.Run(ctx, from, due)
}
