// Package directory records which instance holds a request. The entry of a request
// is kept by a few daemons, selected by rendezvous hashing of its id, so a lookup
// takes the same number of messages in a fleet of any size. The directory is soft
// state of limited size: holders register their requests again if it is lost. The
// package does no I/O.
package directory

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

const (
	// Replicas is how many daemons keep a request's entry, so that one may fail.
	Replicas = 2
	// LookupFanout is how many daemons a lookup asks: the current owners, and the
	// one that was an owner before the last daemon was added or removed.
	LookupFanout = 3
)

// Holding says which instance holds a request.
type Holding struct {
	Request   fleet.RequestID
	Workspace fleet.WorkspaceID
	Holder    fleet.InstanceID
	Transfer  uint64 // number of the transfer to Holder; the highest wins
	Finished  bool
}

// Config sets the limits of the directory.
type Config struct {
	MaxEntries  int           // the oldest are dropped first
	RunningTTL  time.Duration // time to live of a running request's entry
	FinishedTTL time.Duration // time to live of a finished request's entry
}

// entry is a holding with its expiry.
type entry struct {
	holding Holding
	expires time.Time
}

// registration is an element of the insertion order. It is stale if its request
// was registered again later.
type registration struct {
	request fleet.RequestID
	expires time.Time
}

// Directory is one daemon's part of the directory. It is not safe for concurrent
// use.
type Directory struct {
	config  Config
	entries map[fleet.RequestID]entry
	order   []registration // by time of registration
	head    int            // index in order of the oldest one; those before it are unused
}

// New returns an empty directory.
func New(c Config) *Directory {
	return &Directory{config: c, entries: make(map[fleet.RequestID]entry)}
}

// Register records h unless a newer holding is recorded, and returns the recorded
// holding.
func (d *Directory) Register(now time.Time, h Holding) Holding {
	if old, ok := d.lookup(now, h.Request); ok && outdated(h, old) {
		return old
	}
	d.put(now, h)
	return h
}

// Claim records h if the request has no holder, and returns the recorded holding.
// Two daemons that receive the same idempotency key at once thus agree on one of
// them.
func (d *Directory) Claim(now time.Time, h Holding) Holding {
	if old, ok := d.lookup(now, h.Request); ok {
		return old
	}
	d.put(now, h)
	return h
}

// Lookup returns the holding of a request.
func (d *Directory) Lookup(now time.Time, id fleet.RequestID) (Holding, bool) {
	return d.lookup(now, id)
}

// Forget drops the entries of an instance that failed without a hand-over, so that
// a caller's retry with the same key runs instead of waiting for that instance.
// Finished requests are dropped as well, since their answers are lost.
func (d *Directory) Forget(holder fleet.InstanceID) {
	for id, e := range d.entries {
		if e.holding.Holder == holder {
			delete(d.entries, id)
		}
	}
}

// Len returns the number of entries, including expired ones that aren't dropped
// yet.
func (d *Directory) Len() int { return len(d.entries) }

// outdated reports whether h is older than old: it is of an earlier transfer, or
// says that a finished request is running.
func outdated(h, old Holding) bool {
	if h.Transfer != old.Transfer {
		return h.Transfer < old.Transfer
	}
	return old.Finished && !h.Finished
}

func (d *Directory) lookup(now time.Time, id fleet.RequestID) (Holding, bool) {
	e, ok := d.entries[id]
	if !ok || !now.Before(e.expires) {
		return Holding{}, false
	}
	return e.holding, true
}

func (d *Directory) put(now time.Time, h Holding) {
	ttl := d.config.RunningTTL
	if h.Finished {
		ttl = d.config.FinishedTTL
	}
	e := entry{holding: h, expires: now.Add(ttl)}
	d.entries[h.Request] = e
	d.order = append(d.order, registration{request: h.Request, expires: e.expires})
	d.evict(now)
}

// evict drops stale registrations, expired entries, and the oldest entries beyond
// the limit.
func (d *Directory) evict(now time.Time) {
	for d.head < len(d.order) {
		first := d.order[d.head]
		e, ok := d.entries[first.request]
		current := ok && e.expires.Equal(first.expires)
		if current && now.Before(first.expires) && len(d.entries) <= d.config.MaxEntries {
			break
		}
		if current {
			delete(d.entries, first.request)
		}
		d.head++
	}
	if d.head > len(d.order)/2 {
		d.order = append(d.order[:0], d.order[d.head:]...)
		d.head = 0
	}
}

// Owners returns the n instances that keep the entry of a request, best first.
// instances are those that are serving.
func Owners(id fleet.RequestID, instances []string, n int) []string {
	return rendezvous.Rank(rendezvous.Key(string(id)), instances, n)
}
