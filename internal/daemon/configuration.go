package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

const (
	configurationRing = 256
	// configurationTick is how often due fetches and lists are looked for; it
	// adds to the time in which a change is in force.
	configurationTick = 100 * time.Millisecond
	// watchWait is how long the object API holds a watch without changes.
	watchWait = 30 * time.Second
	// watchJitter is the most by which a wait is shortened at random, so that
	// watches which started or were woken together drift apart.
	watchJitter = watchWait / 4
	// watchPause follows a failed watch, so that a store that refuses at once
	// is not asked in a tight loop.
	watchPause = 100 * time.Millisecond
	listLimit  = 10 * time.Second
	// listRetryMost bounds the back-off, since there is no watch without a list.
	// All 340 daemons cost a store that is down 34 reads a second.
	listRetryMost = 10 * time.Second
)

// configurationState is what the duty owns.
type configurationState struct {
	store  *template.Store
	spread *template.Syncer
}

// configurationDuty keeps the closing templates in force.
type configurationDuty struct {
	*owner[*configurationState]
	ctx       context.Context
	objects   outside.Objects
	snapshot  atomic.Pointer[template.Snapshot]
	since     atomic.Uint64   // version that the watch goes on from; 0 asks for a list
	listed    atomic.Bool     // a list of the store gave the first such version
	kinds     func() []string // what the watch follows now
	state     *lifecycle
	fetch     func(ctx context.Context, from fleet.DaemonID, have map[string]uint64) ([]template.Revision, bool, error)
	onChange  func(*template.Snapshot) // called on the owner's goroutine
	onObjects func([]objectapi.Object) // of kinds that are not templates
	setDigest func(template.Digest)    // published by the membership
	lag       templateLag
	digests   digestInbox
	log       *logrus.Entry

	wishesNext time.Time // next try of listWishes; the owner's
}

var _ gateway.Identities = (*configurationDuty)(nil)

func newConfigurationDuty(objects outside.Objects, startSpread time.Duration, state *lifecycle, log *logrus.Entry) *configurationDuty {
	store := template.NewStore()
	config := template.DefaultSyncConfig
	config.StartJitter = startSpread
	config.MaxBackoff = listRetryMost
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d := &configurationDuty{
		owner: newOwner("configuration", configurationRing, &configurationState{
			store:  store,
			spread: template.NewSyncer(config, store, rng, time.Now()),
		}),
		objects: objects.As(budget.Configuration),
		kinds:   func() []string { return allKinds },
		state:   state,
		log:     log,
	}
	d.snapshot.Store(store.Snapshot())
	return d
}

func (d *configurationDuty) start(ctx context.Context) {
	d.ctx = ctx
	go d.run(ctx, configurationTick, func(now time.Time, s *configurationState) {
		d.takeDigests(now, s)
		d.followFromNow(now, s)
		for _, a := range s.spread.Tick(now) {
			switch a.Kind {
			case template.ListStore:
				go d.list()
			case template.FetchFromPeer:
				go d.fetchFrom(a.Peer, a.KnownVersions)
			}
		}
	})
	go d.watch()
}

// watch follows the store's changes from the last list on.
//
// The store's history may no longer reach back to the watch's position. The store then answers
// 410 for ever, and templates become stale. A list returns both what was missed and a version
// to continue from.
func (d *configurationDuty) watch() {
	wait := time.Duration(0)
	for d.ctx.Err() == nil {
		since := d.since.Load()
		if since == 0 {
			d.pause()
			continue
		}
		kinds := d.kinds()
		answer, err := d.objects.Watch(d.ctx, kinds, since, wait)
		wait = watchWait - rand.N(watchJitter)
		var gone *outside.Gone
		switch {
		case err == nil:
			d.since.CompareAndSwap(since, max(since, answer.Version))
			d.onObjects(answer.Changes)
			d.watched(kinds, template.RevisionsOf(answer.Changes))
			continue
		case errors.As(err, &gone):
			d.since.Store(0)
			d.tell(func(now time.Time, s *configurationState) { s.spread.WatchReset(now) })
		default:
			d.tell(func(_ time.Time, s *configurationState) { s.spread.WatchFailed() })
		}
		// The next watch may be the circuit breaker's one probe: it must not hold
		// back all other calls while it waits for a change.
		wait = 0
		d.pause()
	}
}

func (d *configurationDuty) pause() {
	select {
	case <-time.After(watchPause/2 + rand.N(watchPause)):
	case <-d.ctx.Done():
	}
}

// watched passes on a good answer. One that says nothing of templates is none
// to the spreading: it would wait for a watch that never brings them.
func (d *configurationDuty) watched(kinds []string, changes []template.Revision) {
	d.tell(func(now time.Time, s *configurationState) {
		if !slices.Contains(kinds, template.Kind) {
			s.spread.WatchFailed()
			return
		}
		d.applied(s, s.spread.WatchSucceeded(now, changes...))
	})
}

// accepted puts a change in force that an operator made through this daemon.
//
// The store may become unavailable as it accepts a change, before any watch delivers it. The
// operator gets "accepted", and no daemon would have it until the store is back.
// This daemon puts it in force at once, and others fetch it because of this daemon's digest.
func (d *configurationDuty) accepted(c template.Change, version uint64) {
	made := template.Record{Name: c.Name, Version: version, Template: c.Template, Deleted: c.Template == nil}
	revision, err := made.Revision()
	if err != nil {
		d.log.WithError(err).Error("accepted template not encoded; the watch brings it")
		return
	}
	d.tell(func(_ time.Time, s *configurationState) { d.applied(s, s.store.Apply(revision)) })
}

func (d *configurationDuty) list() {
	ctx, cancel := context.WithTimeout(d.ctx, listLimit)
	defer cancel()
	list, err := d.objects.List(ctx, template.Kind, "")
	if err == nil {
		var wishes objectapi.List
		wishes, err = d.objects.List(ctx, drain.Kind, "")
		d.onObjects(wishes.Objects)
	}
	if err == nil {
		d.listed.Store(true)
		d.since.CompareAndSwap(0, max(list.Version, 1))
	}
	d.tell(func(now time.Time, s *configurationState) {
		if err != nil {
			d.log.WithError(err).Warn("templates not listed")
			s.spread.ListFailed(now)
			return
		}
		d.applied(s, s.spread.Listed(now, template.RevisionsOf(list.Objects)...))
	})
}

func (d *configurationDuty) fetchFrom(peer fleet.DaemonID, have map[string]uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, listLimit)
	defer cancel()
	newer, ok, err := d.fetch(ctx, peer, have)
	d.tell(func(now time.Time, s *configurationState) {
		if err != nil || !ok {
			d.log.WithField("peer", peer).Debugf("templates not fetched: %v", err)
			s.spread.FetchFailed(now, peer)
			return
		}
		d.applied(s, s.spread.Fetched(now, peer, newer...))
	})
}

// heard takes a daemon's digest from the membership.
func (d *configurationDuty) heard(daemon fleet.DaemonID, digest template.Digest) {
	d.lag.heard(time.Now(), digest)
	d.digests.put(daemon, digest)
}

// takeDigests passes on what was heard since the last tick.
func (d *configurationDuty) takeDigests(now time.Time, s *configurationState) {
	heard := d.digests.take()
	if len(heard) == 0 {
		return
	}
	for daemon, digest := range heard {
		s.spread.DigestReceived(now, daemon, digest)
	}
	d.publish(s)
}

// gone forgets a daemon.
func (d *configurationDuty) gone(daemon fleet.DaemonID) {
	d.digests.drop(daemon)
	d.tell(func(_ time.Time, s *configurationState) { s.spread.PeerGone(daemon) })
}

func (d *configurationDuty) applied(s *configurationState, all []template.Applied) {
	for _, a := range all {
		entry := d.log.WithField("template", a.Name).WithField("version", a.Version)
		switch a.Effect {
		case template.InForce:
			entry.Info("template in force")
		case template.Unusable:
			entry.Errorf("template unusable, the version before stays: %v", a.Problems)
		}
	}
	d.publish(s)
}

// publish gives request handlers what is in force.
func (d *configurationDuty) publish(s *configurationState) {
	d.state.caughtUp.Store(s.store.Ready())
	d.lag.published(s.store.Digest())
	next := s.store.Snapshot()
	if d.snapshot.Swap(next) != next && d.onChange != nil {
		d.onChange(next)
	}
	if d.setDigest != nil {
		d.setDigest(s.store.Digest())
	}
}

// newer answers a peer that asks for templates.
func (d *configurationDuty) newer(have map[string]uint64) ([]template.Revision, bool) {
	var out []template.Revision
	ok := false
	d.ask(func(_ time.Time, s *configurationState) { out, ok = s.store.Newer(have) })
	return out, ok
}

// status says which daemons have a version in force.
func (d *configurationDuty) status(name string, version uint64, views []template.View) []template.DaemonStatus {
	var out []template.DaemonStatus
	d.ask(func(_ time.Time, s *configurationState) { out = s.store.Status(name, version, views) })
	return out
}

// Identify implements gateway.Identities.
func (d *configurationDuty) Identify(token string) (fleet.WorkspaceID, bool) {
	if token == "" {
		return "", false
	}
	w, ok := d.snapshot.Load().Authenticate(time.Now(), []byte(token))
	if !ok {
		return "", false
	}
	return w.ID, true
}

// NonIdempotent implements gateway.Identities.
func (d *configurationDuty) NonIdempotent(service, method, path string) bool {
	return d.snapshot.Load().NonIdempotent(method, service, path)
}

// model returns what a workspace's template says of a model.
func (d *configurationDuty) model(id fleet.WorkspaceID, m fleet.ModelRef) (template.Model, bool) {
	w, ok := d.snapshot.Load().Workspace(id)
	if !ok {
		return template.Model{}, false
	}
	return w.Model(m.Model, m.Adapter)
}

// priority returns a workspace's priority at the engines.
func (d *configurationDuty) priority(id fleet.WorkspaceID) int {
	w, ok := d.snapshot.Load().Workspace(id)
	if !ok {
		return 0
	}
	return w.Priority
}
