package lease

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Lease is one daemon's side of one shard. It isn't safe for concurrent use.
type Lease struct {
	config *Config
	self   fleet.DaemonID
	shard  int
	random *rand.Rand

	seen           Observation // newest version that was read or confirmed as written
	seenAt         time.Time   // when an answer first showed that version
	restoreWaitEnd time.Time   // until then a holder that the restored store doesn't show may exist
	readAt         time.Time   // when an answer last showed it; zero: never read
	followedSince  time.Time   // since when reads have succeeded without a gap; zero: the last one failed
	candidate      bool        // follows the lease, as of the last tick

	held         bool
	fencing      uint64
	termStart    time.Time // when the newest confirmed acquisition or renewal was sent
	renewAt      time.Time
	unfencedFrom time.Time // orders to endpoints without fencing wait until then

	releasing         bool      // no more orders; the lease is released when all have ended
	leaving           bool      // the daemon stops; the lease isn't acquired again
	lastOrder         time.Time // when MayOrder last allowed one
	notPreferredSince time.Time // zero: this daemon is the preferred one
	handovers         int       // since this daemon was last the preferred one

	sent         sentWrites
	pending      *sentWrite // write in flight
	reading      bool       // a read of this shard alone is in flight
	callDeadline time.Time  // when the call in flight counts as lost
	ambiguous    bool       // a write's outcome is unknown and must be read back
	retryAt      time.Time
	failures     int // calls without an answer in a row
}

func newLease(config *Config, self fleet.DaemonID, shard int, random *rand.Rand) *Lease {
	return &Lease{config: config, self: self, shard: shard, random: random}
}

// MayOrder reports whether an order may be sent now, and with which fencing
// number. Call it just before each order, which must end by Deadline. The lease
// counts from before its last confirmed write was sent, and must be unexpired by
// both the monotonic and the wall clock of this process: the monotonic clock
// advances while the process is stopped, but perhaps not while the whole
// machine is frozen, when only the wall clock does. So a paused holder finds its
// lease expired at its first check.
func (l *Lease) MayOrder(now time.Time) (fencing uint64, ok bool) {
	if !l.Held(now) {
		return 0, false
	}
	l.lastOrder = now
	return l.fencing, true
}

// MayOrderUnfenced is MayOrder for an endpoint that doesn't check fencing
// numbers. It also requires that the previous holder's orders have ended. Send
// only idempotent orders, after reading the endpoint's state. An order that a
// paused process sends after its check still arrives, so keep reading the state,
// and repeat the order where it differs from what is wanted.
func (l *Lease) MayOrderUnfenced(now time.Time) bool {
	if l.UnfencedWait(now) > 0 {
		return false
	}
	_, ok := l.MayOrder(now)
	return ok
}

// UnfencedWait returns how long orders to endpoints without fencing must still
// wait: until an order that the previous holder sent at the end of its lease must
// have ended.
func (l *Lease) UnfencedWait(now time.Time) time.Duration { return max(l.unfencedFrom.Sub(now), 0) }

// Deadline returns when an order that is sent now must have ended.
func (l *Lease) Deadline(now time.Time) time.Time { return now.Add(l.config.OrderTimeout) }

// Held reports what MayOrder would, without counting as an order that delays a
// release. A lease that is being released isn't held any more: the releasing
// write may take effect long before its answer arrives.
func (l *Lease) Held(now time.Time) bool { return !l.releasing && l.valid(now) }

// Fencing returns the fencing number of the last acquisition.
func (l *Lease) Fencing() uint64 { return l.fencing }

// Holder returns the holder that was last observed, empty when there is none.
func (l *Lease) Holder() fleet.DaemonID {
	if l.seen.State.Released {
		return ""
	}
	return l.seen.State.Holder
}

// Superseded ends this daemon's lease if another one holds it with a higher
// fencing number, as reported by a source other than the lease's object.
func (l *Lease) Superseded(fencing uint64) {
	if l.held && fencing > l.fencing {
		l.drop()
	}
}

func (l *Lease) valid(now time.Time) bool {
	return l.held && elapsed(l.termStart, now) < l.config.Duration-l.config.Margin
}

// elapsed returns the time from a moment to now by the monotonic or the wall
// clock, whichever advanced further. Round(0) removes the monotonic reading.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}
