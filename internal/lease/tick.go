package lease

import "time"

// tick returns the write or read-back that is due. rank is this daemon's place
// among the alive ones for the shard, 0 for the preferred.
func (l *Lease) tick(now time.Time, rank int) (Action, bool) {
	l.expire(now)
	l.noteRank(now, rank)
	switch {
	case l.pending != nil || l.reading || now.Before(l.retryAt):
		return Action{}, false
	case l.ambiguous:
		return l.readBack(now), true
	case l.held && l.releasing:
		return l.release(now)
	case l.held:
		return l.renew(now, rank)
	case !l.leaving && l.mayAcquire(now, rank):
		return l.acquire(now), true
	}
	return Action{}, false
}

// expire ends an expired lease and calls whose answer is overdue.
func (l *Lease) expire(now time.Time) {
	if l.held && !l.valid(now) {
		l.drop()
	}
	if l.pending != nil && !now.Before(l.callDeadline) {
		l.noteAmbiguous(now)
	}
	if l.reading && !now.Before(l.callDeadline) {
		l.readFailed(now)
	}
}

func (l *Lease) noteRank(now time.Time, rank int) {
	l.candidate = rank < l.config.Candidates || l.handedOver()
	switch {
	case rank == 0:
		l.notPreferredSince, l.handovers = time.Time{}, 0
	case l.notPreferredSince.IsZero():
		l.notPreferredSince = now
	}
}

// handedOver reports whether this daemon released the lease and none has acquired
// it since. It then follows the lease whatever its rank: the preferred daemon may
// be alive but cut off from the store.
func (l *Lease) handedOver() bool {
	return l.seen.State.Released && l.seen.State.Holder == l.self
}

// mayAcquire reports whether what was observed allows this daemon to acquire the
// lease. The last read must be recent, so that a daemon that reads rarely doesn't
// write on a version that was replaced long ago.
func (l *Lease) mayAcquire(now time.Time, rank int) bool {
	if l.readAt.IsZero() || now.Sub(l.readAt) > l.config.ObserveInterval {
		return false
	}
	if l.defersAfterGap(now, rank) || now.Before(l.restoreWaitEnd) {
		return false
	}
	wait := l.rankWait(rank)
	if !l.free() {
		wait += max(l.config.Duration, l.seen.State.duration()) + l.config.Margin
	}
	return now.Sub(l.seenAt) >= wait
}

// rankWait returns how long a daemon leaves the lease to better ranks. All that
// aren't candidates wait equally long: they read rarely and at different times.
func (l *Lease) rankWait(rank int) time.Duration {
	return time.Duration(min(rank, l.config.Candidates)) * l.config.RankDelay
}

// defersAfterGap reports whether a daemon must leave the lease to better ranks
// after a gap in its reads. After an outage of the store all daemons have observed
// the old version unchanged for long enough, and would write at once.
func (l *Lease) defersAfterGap(now time.Time, rank int) bool {
	return now.Sub(l.followedSince) < l.rankWait(rank)
}

// free reports whether no other daemon can hold the lease, as last observed. A
// deleted object keeps the state that it had, because its holder may go on until
// the lease expires.
func (l *Lease) free() bool {
	state := l.seen.State
	return l.seen == Observation{} || state.Released || state.Holder == l.self
}

func (l *Lease) acquire(now time.Time) Action { return l.write(now, acquire, l.stateHeld(0)) }

func (l *Lease) renew(now time.Time, rank int) (Action, bool) {
	if l.handoverDue(now, rank) {
		l.releasing = true
		l.handovers++
		return l.release(now)
	}
	if now.Before(l.renewAt) {
		return Action{}, false
	}
	return l.write(now, renew, l.stateHeld(l.fencing)), true
}

// handoverDue reports whether a holder that isn't the preferred one should hand
// the lease over: after a delay, and only soon after a renewal. The delay doubles
// each time that this daemon acquires the lease again because the preferred one
// didn't.
func (l *Lease) handoverDue(now time.Time, rank int) bool {
	delay := l.config.HandoverDelay << min(l.handovers, 6)
	return rank > 0 && now.Sub(l.notPreferredSince) >= delay && now.Sub(l.termStart) < l.config.RenewInterval
}

// release writes the release once all orders have ended, since the next holder
// may send orders at once. Until then it renews the lease.
func (l *Lease) release(now time.Time) (Action, bool) {
	if now.Before(l.lastOrder.Add(l.config.OrderTimeout)) {
		if now.Before(l.renewAt) {
			return Action{}, false
		}
		return l.write(now, renew, l.stateHeld(l.fencing)), true
	}
	return l.write(now, release, State{Holder: l.self, Released: true}), true
}

func (l *Lease) stateHeld(fencing uint64) State {
	return State{
		Holder:         l.self,
		DurationMillis: l.config.Duration.Milliseconds(),
		OrderMillis:    l.config.OrderTimeout.Milliseconds(),
		Fencing:        fencing,
	}
}

func (l *Lease) write(now time.Time, kind writeKind, state State) Action {
	l.pending = l.sent.add(sentWrite{kind: kind, sentAt: now, state: state, prior: l.seen})
	l.callDeadline = now.Add(l.config.CallTimeout)
	return Action{Kind: Write, Shard: l.shard, IfVersion: l.seen.Version, State: l.pending.state}
}

func (l *Lease) readBack(now time.Time) Action {
	l.reading = true
	l.callDeadline = now.Add(l.config.CallTimeout)
	return Action{Kind: Read, Shard: l.shard}
}
