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

	seen      Observation // newest version that was read or written
	seenAt    time.Time   // when an answer first showed that version
	restoreWaitEnd   time.Time   // until then a holder that isn't seen may be there
	readAt    time.Time   // when an answer last showed it; zero: nothing is known
	followedSince  time.Time   // since when looks came without a gap; zero: the last one failed
	candidate bool        // by rank, at the last tick

	held    bool
	fencing uint64
	termStart   time.Time // when the newest proven write of the lease was sent
	renewAt time.Time
	unfencedFrom  time.Time // orders to endpoints without fencing wait until then

	releasing bool      // no more orders; the lease is given up when all have ended
	leaving   bool      // the daemon stops; the lease isn't taken again
	lastOrder time.Time // last time that MayOrder allowed one
	notPreferredSince time.Time // since when this daemon isn't the preferred one; zero: it is
	handovers int

	sent     sentWrites
	pending  *sentWrite // write without an answer yet
	reading  bool       // a read-back has no answer yet
	callDeadline  time.Time  // when the call without an answer counts as lost
	ambiguous   bool       // a write's outcome must be read back
	retryAt  time.Time
	failures int // calls without an answer in a row
}

func newLease(config *Config, self fleet.DaemonID, shard int, random *rand.Rand) *Lease {
	return &Lease{config: config, self: self, shard: shard, random: random}
}

// MayOrder reports whether an order may leave now, and with which fencing
// number. It must be asked just before each order. The lease is counted from
// before the write that proved it left, and both the monotonic and the wall
// clock of this process must agree that it lasts: a process that was stopped
// sees the monotonic clock ahead, one whose whole machine was frozen may see
// only the wall clock ahead. So a paused holder finds itself expired at its
// first check. Each order must end by
// Deadline.
func (l *Lease) MayOrder(now time.Time) (fencing uint64, ok bool) {
	if !l.Held(now) {
		return 0, false
	}
	l.lastOrder = now
	return l.fencing, true
}

// MayOrderUnfenced is MayOrder for an endpoint that takes orders without a
// look at the fencing number. The last holder's orders must have ended first,
// and only orders that repeat harmlessly may be sent, after the endpoint's
// state was read. An order that a paused process sends after its check still
// arrives: keep reading the state, and order again where it isn't as wanted.
func (l *Lease) MayOrderUnfenced(now time.Time) bool {
	if l.UnfencedWait(now) > 0 {
		return false
	}
	_, ok := l.MayOrder(now)
	return ok
}

// UnfencedWait returns how long orders to endpoints without fencing must wait: the
// longest order that the last holder may have sent before its lease ran out.
func (l *Lease) UnfencedWait(now time.Time) time.Duration { return max(l.unfencedFrom.Sub(now), 0) }

// Deadline returns when an order that leaves now must have ended.
func (l *Lease) Deadline(now time.Time) time.Time { return now.Add(l.config.OrderTimeout) }

// Held reports what MayOrder would, without allowing an order; it is for
// status. A lease that is being given up isn't held any more: the write that
// gives it up may take effect long before its answer is here.
func (l *Lease) Held(now time.Time) bool { return !l.releasing && l.valid(now) }

// Fencing returns the fencing number of the last acquisition.
func (l *Lease) Fencing() uint64 { return l.fencing }

// Holder returns the holder that was last seen, empty when there is none.
func (l *Lease) Holder() fleet.DaemonID {
	if l.seen.State.Released {
		return ""
	}
	return l.seen.State.Holder
}

// Superseded takes it that another daemon is known to hold the lease with a higher
// fencing number: this one's has lapsed, whatever it last saw.
func (l *Lease) Superseded(fencing uint64) {
	if l.held && fencing > l.fencing {
		l.drop()
	}
}

func (l *Lease) valid(now time.Time) bool {
	return l.held && elapsed(l.termStart, now) < l.config.Duration-l.config.Margin
}

// elapsed returns the time from a moment to now by whichever clock of this
// process went further.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}
