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
	// longWait, hubWait and minWait bound how long a watch waits for a change: each wait
	// is a call that is billed. A hub's wait bounds the age of its last contact with the
	// store.
	longWait = 3 * time.Second
	hubWait  = 700 * time.Millisecond
	minWait  = 200 * time.Millisecond
	// staleSlack, with a hub's wait and the time between two reports, is the age of the
	// freshest hub's last contact with the store from which a daemon watches by itself. It
	// allows for slow answers, and for a watch that is unresponsive for a second and is
	// cancelled: the hubs' watches do so together, and all daemons would turn to the store
	// otherwise. Where a change must be in force sooner, the slack is less.
	staleSlack = 800 * time.Millisecond
	// switchTime is how long it takes to switch to the store: to detect that it is due, to
	// connect, and to get an answer.
	switchTime = roleInterval + 300*time.Millisecond
	// batchDelay and batchDelayAtStart are the times after a change during which further
	// changes are collected into the same answer: at a start endpoints register one after the
	// other, and each answer is billed.
	batchDelay        = 100 * time.Millisecond
	batchDelayAtStart = time.Second
	// watchDelay is how long after its start a daemon relies on the list that it began with:
	// until it has found some others, it would take itself for a hub.
	watchDelay = time.Second
	// startTime is how long a daemon of a large fleet takes to find all others.
	startTime = 5 * time.Second
	// findStrongTime is how long a weak machine looks for a strong one that sends it the
	// first list. listWait is how long it waits for the list where the whole system starts
	// for the first time, and listWaitAtRestart where there may be callers already.
	findStrongTime    = time.Second
	listWait          = 3 * time.Second
	listWaitAtRestart = 1500 * time.Millisecond
	// priorCountTime is how long the read of the prior number of daemons may take.
	priorCountTime = 300 * time.Millisecond
	// roleInterval is how often a daemon checks whether it should watch.
	roleInterval = 100 * time.Millisecond
)

// watchPolicy decides whether this daemon watches the store itself.
type watchPolicy struct {
	node    *Node
	mu      sync.Mutex
	contact time.Time // the latest time at which a hub is reported to have had contact with the store
}

func newWatchPolicy(n *Node) *watchPolicy { return &watchPolicy{node: n, contact: time.Now()} }

// noteHubContact notes that a hub had contact with the store age ago.
func (w *watchPolicy) noteHubContact(age time.Duration) {
	at := time.Now().Add(-age)
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.contact) {
		w.contact = at
	}
}

// hubContactAge returns the time since any hub's last contact with the store.
func (w *watchPolicy) hubContactAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.contact)
}

// smallFleet reports whether all daemons watch. In a larger fleet the store would send
// every change to every daemon, and its rate limits grow more slowly than the fleet;
// there the hubs watch and inform the others.
func (w *watchPolicy) smallFleet() bool { return len(w.node.members.serving()) <= exchange.SmallFleet }

// watcher reports whether this daemon watches the store for the others.
func (w *watchPolicy) watcher() bool { return w.node.members.layout().isWatcher(w.node.id) }

// reliesOnHubs reports whether this daemon leaves the store to the hubs while their
// contact with it is recent.
func (w *watchPolicy) reliesOnHubs() bool { return !w.smallFleet() && !w.watcher() }

// staleAfter is the age of the hubs' contact with the store from which this daemon doesn't
// rely on them. Where hubs follow the watchers themselves, their daemons allow them the
// time to switch to the store first.
func (w *watchPolicy) staleAfter() time.Duration {
	l := w.node.members.layout()
	slack := staleSlack
	if l.meshed && !l.isHub(w.node.id) {
		slack += switchTime
	}
	return staleAge(w.node.reportAge(), slack, w.node.changeBound())
}

// staleAge returns that age for hubs that get reports at an interval, where a change must
// be in force within a bound.
func staleAge(interval, slack, change time.Duration) time.Duration {
	healthy := hubWait + interval
	return max(healthy, min(healthy+slack, change-switchTime))
}

// weak reports whether this daemon's machine can't be the hub of hundreds.
func (w *watchPolicy) weak() bool { return strengthOf(w.node.id) < hubStrength }

// awaitsList reports whether a weak machine leaves the first list to strong ones: the
// lists of hundreds of daemons are most of the store's load at a start.
func (w *watchPolicy) awaitsList() bool {
	if !w.weak() {
		return false
	}
	age := time.Since(w.node.started)
	if w.node.settings.Daemon.FirstStart {
		return age < findStrongTime || age < listWait && w.hasStrong()
	}
	known, read := w.node.members.priorCount()
	if !read {
		return age < priorCountTime
	}
	return exchange.Meshed(known) && (age < findStrongTime || age < listWaitAtRestart && w.hasStrong())
}

// hasStrong reports whether some serving daemon's machine can be the hub of hundreds.
func (w *watchPolicy) hasStrong() bool {
	best := w.node.members.layout().watchers
	return len(best) > 0 && strengthOf(best[0].Daemon) >= hubStrength
}

// mayLackDaemons reports whether a weak machine may not have found the others yet, so that
// its view may not show the whole fleet.
func (w *watchPolicy) mayLackDaemons() bool {
	return w.weak() && time.Since(w.node.started) < startTime && w.hasStrong()
}

// due reports whether this daemon should watch a kind now; known means that it has a list
// of it. A daemon that has just started lists it first, unless its machine is weak.
func (w *watchPolicy) due(known bool) bool {
	if !known {
		return !w.awaitsList()
	}
	if w.hubContactAge() > w.staleAfter() {
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

// watchWait returns how long a watch waits if its connection may become unresponsive up to
// pause before it begins. This must be detected, and the store called again on another
// connection, within the time after which the platform's bounds apply again. All daemons
// begin to wait at the same moment, after each change, so that meanwhile none gets the
// next change from another.
func watchWait(most, pause, contact time.Duration) time.Duration {
	detected := contact * 3 / 4 // the rest is for the call after
	return max(minWait, min(most, detected-pause-objects.WatchSlack))
}

// BatchDelay implements follow.Timing.
func (w *watchPolicy) BatchDelay() time.Duration {
	if time.Since(w.node.started) < startTime {
		return batchDelayAtStart
	}
	return batchDelay
}

// Backoff implements follow.Timing: while the store is lost, a daemon that relies on hubs
// retries seldom, as the whole fleet does, and one that watches for others retries often.
func (w *watchPolicy) Backoff() follow.Backoff {
	if w.reliesOnHubs() {
		return follow.FleetBackoff(w.node.members.cachedCount())
	}
	return follow.FastBackoff()
}

// run follows a kind for as long as that is due, again and again. from returns the
// revision to continue from, 0 for none.
func (w *watchPolicy) run(ctx context.Context, f *follow.Follower, from func() uint64, due func() bool) {
	for ctx.Err() == nil {
		if due() {
			w.follow(ctx, f, from(), due)
		}
		pause.Next(ctx, roleInterval)
	}
}

// follow follows a kind until it is no longer due.
func (w *watchPolicy) follow(ctx context.Context, f *follow.Follower, from uint64, due func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.node.logFor("watching").WithFields(map[string]any{
		"kind": f.Kind(), "from": from, "daemons": len(w.node.members.serving()), "watcher": w.watcher(), "word_age_ms": w.hubContactAge().Milliseconds(),
	}).Info("watching the store")
	go pause.Every(ctx, roleInterval, func() {
		if !due() {
			cancel()
		}
	})
	f.Run(ctx, from, due)
}
