// Package directory remembers which daemon holds which request. Each request
// has a few directory daemons, the first by rendezvous of its id, so finding a
// request costs the same number of messages whatever the fleet's size. It is a
// decision package: soft state, bounded, rebuilt by holders when it is lost.
package directory

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

const (
	// Replicas is how many daemons keep a request's entry: one may die.
	Replicas = 2
	// LookupFanout is how many daemons a lookup asks: the owners of now, and the one
	// that was an owner before the last daemon came or went.
	LookupFanout = 3
)

// Holding says which instance holds a request.
type Holding struct {
	Request   fleet.RequestID
	Workspace fleet.WorkspaceID
	Holder    fleet.InstanceID
	Transfer  uint64 // number of the transfer that gave it to Holder; the greater wins
	Finished  bool
}

// Config bounds the directory.
type Config struct {
	MaxEntries  int           // the oldest are forgotten first
	RunningTTL  time.Duration // an entry of a running request lives so long
	FinishedTTL time.Duration // and of a finished one so long
}

// entry is a holding with its end of life.
type entry struct {
	holding Holding
	expires time.Time
}

// registration is a place in the order of insertion. It is stale when its entry was
// registered again later.
type registration struct {
	request fleet.RequestID
	expires time.Time
}

// Directory is one daemon's part of the directory. Not safe for concurrent use.
type Directory struct {
	config  Config
	entries map[fleet.RequestID]entry
	order   []registration // by time of registration; head is the first in use
	head    int
}

// New returns an empty directory.
func New(c Config) *Directory {
	return &Directory{config: c, entries: make(map[fleet.RequestID]entry)}
}

// Register records h unless a later transfer is known, and returns what is known then.
func (d *Directory) Register(now time.Time, h Holding) Holding {
	if old, ok := d.lookup(now, h.Request); ok && outdated(h, old) {
		return old
	}
	d.put(now, h)
	return h
}

// Claim records h if no other holder is known, and returns the holder. Two
// daemons that were sent the same key at once thus agree on one of them.
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

// Forget drops the claims of an instance that died without handing over, so
// that a caller's next try with the same key runs instead of waiting for it.
// Finished requests go as well: their answers died with the instance.
func (d *Directory) Forget(holder fleet.InstanceID) {
	for id, e := range d.entries {
		if e.holding.Holder == holder {
			delete(d.entries, id)
		}
	}
}

// Len returns the number of entries, expired ones not yet dropped included.
func (d *Directory) Len() int { return len(d.entries) }

// outdated reports whether h says less than old: an earlier transfer, or the
// start of a request whose end is known.
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
	life := d.config.RunningTTL
	if h.Finished {
		life = d.config.FinishedTTL
	}
	e := entry{holding: h, expires: now.Add(life)}
	d.entries[h.Request] = e
	d.order = append(d.order, registration{request: h.Request, expires: e.expires})
	d.evict(now)
}

// evict drops stale places, expired entries, and the oldest while there are too many.
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

// Owners returns the n directory instances of a request among those that
// serve, best first.
func Owners(id fleet.RequestID, instances []string, n int) []string {
	return rendezvous.Rank(rendezvous.Key(string(id)), instances, n)
}
