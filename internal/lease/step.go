package lease

import "time"

// tick returns the write or read-back that is due. Rank is this daemon's place
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

// expire ends a lapsed lease and calls whose answer never came.
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

// handedOver reports whether this daemon handed the lease over and nobody has
// taken it yet. It then follows the lease whatever its rank: who is preferred
// may be alive and cut off from the store.
func (l *Lease) handedOver() bool {
	return l.seen.State.Released && l.seen.State.Holder == l.self
}

// mayAcquire reports whether the lease may be taken from what was seen. A look
// must be recent, so that a daemon that seldom looks doesn't write on a
// version that is long gone.
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

// rankWait returns how long better ranks go first. All that aren't candidates
// wait alike: they look seldom and at different times.
func (l *Lease) rankWait(rank int) time.Duration {
	return time.Duration(min(rank, l.config.Candidates)) * l.config.RankDelay
}

// defersAfterGap reports whether a daemon must let better ranks go first after the
// store was out of reach: by then each has seen the old version unchanged for
// long enough, and all would write at once.
func (l *Lease) defersAfterGap(now time.Time, rank int) bool {
	return now.Sub(l.followedSince) < l.rankWait(rank)
}

// free reports whether nobody else can hold the lease that was last seen. An
// object that vanished keeps the state it had, because its holder may not know.
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

// handoverDue reports whether a holder that isn't preferred should give the
// lease to who is. Each time that it comes back, because the preferred one
// didn't take it, the wait doubles.
func (l *Lease) handoverDue(now time.Time, rank int) bool {
	settle := l.config.HandoverDelay << min(l.handovers, 6)
	return rank > 0 && now.Sub(l.notPreferredSince) >= settle && now.Sub(l.termStart) < l.config.RenewInterval
}

// release gives the lease up once all orders have ended: after it another
// daemon may order at once.
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
