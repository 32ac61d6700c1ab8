package lease

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// wrote takes the answer that a write took effect as a version.
func (l *Lease) wrote(now time.Time, number, version uint64) {
	w := l.pending
	if w == nil || w.number != number {
		return // given up before; the read-back finds it
	}
	l.pending = nil
	l.confirm(now, w, version)
}

// writeConflict takes the answer that a write writeConflict its condition, with what stands.
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

// noteDeleted notes that the object was deleted, by hand or by a store that came
// back empty. Whoever held the lease may go on until it runs out.
func (l *Lease) noteDeleted(now time.Time) {
	l.seen.Version = 0
	l.seenAt, l.readAt = now, now
	l.drop()
}

// drop ends the lease on this side. A hand-over that was under way is over;
// who leaves doesn't come back.
func (l *Lease) drop() {
	l.held = false
	l.releasing = l.leaving
}

// writeAmbiguous takes it that a write had no answer that proves anything.
func (l *Lease) writeAmbiguous(now time.Time, number uint64) {
	if l.pending != nil && l.pending.number == number {
		l.noteAmbiguous(now)
	}
}

// noteAmbiguous notes that a write may or may not have taken effect.
func (l *Lease) noteAmbiguous(now time.Time) {
	l.pending = nil
	l.ambiguous = true
	l.retryAt = now.Add(l.backoff())
}

// readFailed notes that a read had no answer.
func (l *Lease) readFailed(now time.Time) {
	l.reading = false
	l.followedSince = time.Time{}
	l.retryAt = now.Add(l.backoff())
}

// backoff draws the time before a failed call is repeated. It doubles with each
// failure up to Renew: quick enough to save a lease after a lost answer, and
// in an outage no more calls than in quiet.
func (l *Lease) backoff() time.Duration {
	mean := min(l.config.RetryDelay<<min(l.failures, maxDoublings), l.config.RenewInterval)
	l.failures++
	return jitter(l.random, mean, 0.5)
}

// maxDoublings keeps the shift from running over.
const maxDoublings = 20

// readDone takes the object as read at some moment before now.
func (l *Lease) readDone(now time.Time, o Observation) {
	l.reading = false
	if l.pending != nil {
		return // its answer tells more
	}
	l.observe(now, o)
}

// observe takes what stands in the store. A version that is one of this
// daemon's own writes is proof that this write took effect: so a lost answer
// costs a read, and a write that arrives late is recognised.
func (l *Lease) observe(now time.Time, o Observation) {
	if o.Version < l.seen.Version {
		return // an answer that was overtaken
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

// noteRestore notes that the store has come back from an older copy. Failure: who took
// the lease in the seconds that are lost still believes that it holds it, and the
// copy shows nobody, or who held it before. Symptom: two daemons act in turns. Who
// isn't a holder by its own clock waits for as long as one may go on.
func (l *Lease) noteRestore(now time.Time, o Observation) {
	if l.seen.Version != 0 && objects.EraOf(o.Version) > objects.EraOf(l.seen.Version) {
		l.restoreWaitEnd = now.Add(l.config.Duration + l.config.Margin)
	}
}

// ownWrite returns the write of this daemon that an observation shows, if any.
func (l *Lease) ownWrite(o Observation) *sentWrite {
	w := l.sent.find(o.State.Write)
	if w == nil || w.state != o.State {
		return nil
	}
	return w
}

// confirm notes that a write confirm effect as a version. The lease counts from
// before the write left: the store may have taken it at once, and others count
// from then.
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

// priorOrdersEnd returns when orders of the holder before must have ended. Its lease
// has run out by now; an order that left at its very end may not have.
func priorOrdersEnd(now time.Time, prior Observation) time.Time {
	if prior.Version == 0 || prior.State.Released {
		return now
	}
	return now.Add(prior.State.orderTimeout())
}
