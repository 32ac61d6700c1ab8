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
	longWait = 3 * time.Second
	hubWait  = 700 * time.Millisecond
	minWait  = 200 * time.Millisecond
	// staleSlack, with a hub's wait and the time between two reports, is the age
	// of the freshest hub's last contact with the store from which a daemon
	// watches by itself. It is for slow answers, and for a watch that hears nothing
	// for a second and has to be given up: the hubs' watches do so together, and
	// all daemons would turn to the store for it. Where a change must be in
	// force sooner, the slack is less.
	staleSlack = 800 * time.Millisecond
	// switchTime is how long it takes to turn to the store: to notice that it is due, to
	// connect, and to be answered.
	switchTime = roleInterval + 300*time.Millisecond
	// batchDelay and togetherAtStart are the times after a change in which further
	// ones are left to come: at a start endpoints register one after the other, and
	// each answer is billed.
	batchDelay        = 100 * time.Millisecond
	batchDelayAtStart = time.Second
	// watchDelay is how long after its start a daemon relies on the list that it
	// began with: until it knows some others, it takes itself for a hub.
	watchDelay = time.Second
	// startTime is how long a daemon of a large fleet takes to know all others.
	startTime = 5 * time.Second
	// findStrongTime is how long a weak machine looks for a strong one that tells it the
	// first list, listWait how long it waits for that where the whole system starts
	// for the first time, and listAgain where callers may be there already.
	findStrongTime    = time.Second
	listWait          = 3 * time.Second
	listWaitAtRestart = 1500 * time.Millisecond
	// priorCountTime is how long the store may take to tell how many daemons there were.
	priorCountTime = 300 * time.Millisecond
	// roleInterval is how often a daemon looks whether it should watch.
	roleInterval = 100 * time.Millisecond
)

// watchPolicy decides whether this daemon watches the store itself.
type watchPolicy struct {
	node    *Node
	mu      sync.Mutex
	contact time.Time // the latest time at which a hub is known to have heard from the store
}

func newWatchPolicy(n *Node) *watchPolicy { return &watchPolicy{node: n, contact: time.Now()} }

// noteHubContact notes that a hub heard from the store age ago.
func (w *watchPolicy) noteHubContact(age time.Duration) {
	at := time.Now().Add(-age)
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.contact) {
		w.contact = at
	}
}

// hubAge returns how old the hubs' word is.
func (w *watchPolicy) hubAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.contact)
}

// smallFleet reports whether all daemons watch. In a larger fleet every change would be
// answered to every daemon by the store, whose rates grow more slowly than the
// fleet; there the hubs watch and tell the others.
func (w *watchPolicy) smallFleet() bool { return len(w.node.members.serving()) <= exchange.SmallFleet }

// watcher reports whether this daemon watches the store for the others.
func (w *watchPolicy) watcher() bool { return w.node.members.layout().isWatcher(w.node.id) }

// reliesOnHubs reports whether this daemon relies on the hubs' word while that is fresh.
func (w *watchPolicy) reliesOnHubs() bool { return !w.smallFleet() && !w.watcher() }

// staleAfter is the age from which the hubs' word isn't relied on. Where hubs follow the
// watchers themselves, their daemons leave them time to turn to the store first.
func (w *watchPolicy) staleAfter() time.Duration {
	l := w.node.members.layout()
	slack := staleSlack
	if l.meshed && !l.isHub(w.node.id) {
		slack += switchTime
	}
	return staleAge(w.node.reportAge(), slack, w.node.changeBound())
}

// staleAge returns the age from which a hub's word isn't relied on, of hubs that
// are told at an interval, where a change must be in force within a bound.
func staleAge(interval, slack, change time.Duration) time.Duration {
	sound := hubWait + interval
	return max(sound, min(sound+slack, change-switchTime))
}

// weak reports whether this daemon's machine can be no hub of hundreds.
func (w *watchPolicy) weak() bool { return strengthOf(w.node.id) < hubStrength }

// awaitsList reports whether a weak machine leaves the first list to strong ones: the
// lists of hundreds of daemons are most of what the store has to answer at a start.
func (w *watchPolicy) awaitsList() bool {
	if !w.weak() {
		return false
	}
	age := time.Since(w.node.started)
	if w.node.settings.Daemon.FirstStart {
		return age < findStrongTime || age < listWait && w.hasStrong()
	}
	known, learned := w.node.members.priorCount()
	if !learned {
		return age < priorCountTime
	}
	return exchange.Meshed(known) && (age < findStrongTime || age < listWaitAtRestart && w.hasStrong())
}

// hasStrong reports whether some serving daemon's machine can be a hub of hundreds.
func (w *watchPolicy) hasStrong() bool {
	best := w.node.members.layout().watchers
	return len(best) > 0 && strengthOf(best[0].Daemon) >= hubStrength
}

// mayLackDaemons reports whether a weak machine may not have found the others yet, and isn't
// to take its view for the fleet.
func (w *watchPolicy) mayLackDaemons() bool {
	return w.weak() && time.Since(w.node.started) < startTime && w.hasStrong()
}

// due reports whether this daemon should watch a kind now, of which it knows all
// there is or nothing yet. One that has just started lists it first, unless its
// machine is weak.
func (w *watchPolicy) due(known bool) bool {
	if !known {
		return !w.awaitsList()
	}
	if w.hubAge() > w.staleAfter() {
		return true
	}
	return !w.reliesOnHubs() && !w.mayLackDaemons() && time.Since(w.node.started) > watchDelay
}

// WatchTimeout implements follow.Timing.
func (w *watchPolicy) WatchTimeout() time.Duration {
	most := hubWait
	if w.smallFleet() {
		most = longWait
	}
	return watchWait(most, w.BatchDelay(), w.node.contactBound())
}

// watchWait returns how long a watch waits that may begin a pause after its
// connection went silent. The silence is found out, and the store asked again on
// another connection, within the time after which the platform holds a daemon to
// its bounds again. All daemons begin to wait at the same moment, after each
// change, so that none is told by another in the meantime.
func watchWait(most, pause, contact time.Duration) time.Duration {
	found := contact * 3 / 4 // the rest is for the call after
	return max(minWait, min(most, found-pause-objects.WatchSlack))
}

// BatchDelay implements follow.Timing.
func (w *watchPolicy) BatchDelay() time.Duration {
	if time.Since(w.node.started) < startTime {
		return batchDelayAtStart
	}
	return batchDelay
}

// Backoff implements follow.Timing: the whole fleet waits for a hub's word that the
// store is back, and nobody for another daemon's.
func (w *watchPolicy) Backoff() follow.Backoff {
	if w.reliesOnHubs() {
		return follow.FleetBackoff(w.node.members.cachedCount())
	}
	return follow.FastBackoff()
}

// run follows a kind for as long as that is due, again and again. from is asked
// for the revision to go on from, 0 for none.
func (w *watchPolicy) run(ctx context.Context, f *follow.Follower, from func() uint64, due func() bool) {
	for ctx.Err() == nil {
		if due() {
			w.follow(ctx, f, from(), due)
		}
		pause.Next(ctx, roleInterval)
	}
}

// follow follows a kind until it isn't due any more.
func (w *watchPolicy) follow(ctx context.Context, f *follow.Follower, from uint64, due func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.node.logFor("watching").WithFields(map[string]any{
		"kind": f.Kind(), "from": from, "daemons": len(w.node.members.serving()), "watcher": w.watcher(), "word_age_ms": w.hubAge().Milliseconds(),
	}).Info("watches the store")
	go pause.Every(ctx, roleInterval, func() {
		if !due() {
			cancel()
		}
	})
	f.Run(ctx, from, due)
}
