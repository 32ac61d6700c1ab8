package lease

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// wrote handles the answer that a write took effect and which version it got.
func (l *Lease) wrote(now time.Time, number, version uint64) {
	w := l.pending
	if w == nil || w.number != number {
		return // timed out earlier; the read-back shows its effect
	}
	l.pending = nil
	l.confirm(now, w, version)
}

// writeConflict handles the answer that a write's condition failed, with the
// current object.
func (l *Lease) writeConflict(now time.Time, number uint64, current Observation) {
	if l.pending == nil || l.pending.number != number {
		return
	}
	l.pending = nil
	if current.Version == 0 {
		l.noteDeleted(now)
		return
	}
	l.observe(now, current)
}

// noteDeleted records that the object was deleted, by hand or because the store
// lost its data. The lease's holder may go on until the lease expires.
func (l *Lease) noteDeleted(now time.Time) {
	l.seen.Version = 0
	l.seenAt, l.readAt = now, now
	l.drop()
}

// drop ends the lease on this side, and with it a handover in progress. A daemon
// that leaves keeps releasing.
func (l *Lease) drop() {
	l.held = false
	l.releasing = l.leaving
}

// writeAmbiguous handles the outcome that a write may or may not have taken effect.
func (l *Lease) writeAmbiguous(now time.Time, number uint64) {
	if l.pending != nil && l.pending.number == number {
		l.noteAmbiguous(now)
	}
}

// noteAmbiguous ends the write in flight with an unknown outcome, to be read back.
func (l *Lease) noteAmbiguous(now time.Time) {
	l.pending = nil
	l.ambiguous = true
	l.retryAt = now.Add(l.backoff())
}

// readFailed handles the failure of a read.
func (l *Lease) readFailed(now time.Time) {
	l.reading = false
	l.followedSince = time.Time{}
	l.retryAt = now.Add(l.backoff())
}

// backoff draws the time before a failed call is retried. It doubles with each
// failure up to RenewInterval: short enough to keep a lease after a lost answer,
// and an outage causes no more calls than normal operation.
func (l *Lease) backoff() time.Duration {
	mean := min(l.config.RetryDelay<<min(l.failures, maxDoublings), l.config.RenewInterval)
	l.failures++
	return jitter(l.random, mean, 0.5)
}

// maxDoublings keeps the shift from overflowing.
const maxDoublings = 20

// readDone handles the object as it was at some moment before now.
func (l *Lease) readDone(now time.Time, o Observation) {
	l.reading = false
	if l.pending != nil {
		return // the write's answer is newer
	}
	l.observe(now, o)
}

// observe handles the object as the store has it. If it shows one of this daemon's
// own writes, that write took effect: so a lost answer costs only a read, and a
// write that arrives late is recognised.
func (l *Lease) observe(now time.Time, o Observation) {
	if o.Version < l.seen.Version {
		return // an older answer that arrived late
	}
	first := l.readAt.IsZero()
	if l.followedSince.IsZero() || (l.candidate && now.Sub(l.readAt) > 2*l.config.ObserveInterval) {
		l.followedSince = now
	}
	l.ambiguous, l.failures = false, 0
	l.readAt = now
	if o.Version == l.seen.Version && !first {
		return
	}
	l.noteRestore(now, o)
	if w := l.ownWrite(o); w != nil && (l.held || !now.Before(l.restoreWaitEnd)) {
		l.confirm(now, w, o.Version)
		return
	}
	l.seen, l.seenAt = o, now
	l.drop()
}

// noteRestore starts a wait if the store was restored from an older copy, as a
// higher era of the object's version shows. The copy lacks the newest writes: a
// daemon that acquired the lease by one of them still holds it by its own clock,
// while the copy shows no holder or an earlier one, and two daemons would act in
// turns. So a daemon that isn't the holder by its own clock waits until such a
// holder's lease must have expired.
func (l *Lease) noteRestore(now time.Time, o Observation) {
	if l.seen.Version != 0 && objects.EraOf(o.Version) > objects.EraOf(l.seen.Version) {
		l.restoreWaitEnd = now.Add(l.config.Duration + l.config.Margin)
	}
}

// ownWrite returns the write of this daemon that an observation shows, or nil.
func (l *Lease) ownWrite(o Observation) *sentWrite {
	w := l.sent.find(o.State.Write)
	if w == nil || w.state != o.State {
		return nil
	}
	return w
}

// confirm records that a write took effect and got a version. The lease counts
// from before the write was sent: it may have taken effect, and other daemons may
// have observed it, at once.
func (l *Lease) confirm(now time.Time, w *sentWrite, version uint64) {
	l.ambiguous, l.failures = false, 0
	l.seen, l.seenAt, l.readAt = Observation{Version: version, State: w.state}, now, now
	switch w.kind {
	case acquire:
		l.fencing = version
		l.unfencedFrom = priorOrdersEnd(now, w.prior)
	case release:
		l.drop()
		return
	}
	l.held = true
	l.termStart = w.sentAt
	l.renewAt = w.sentAt.Add(jitter(l.random, l.config.RenewInterval, 0.2))
}

// priorOrdersEnd returns when the previous holder's orders must have ended. Its
// lease has expired by now; an order sent at its very end may still be in flight.
func priorOrdersEnd(now time.Time, prior Observation) time.Time {
	if prior.Version == 0 || prior.State.Released {
		return now
	}
	return now.Add(prior.State.orderTimeout())
}
