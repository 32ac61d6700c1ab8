package quarantine

import "time"

// trialInterval is the time between two trials of a part whose hold is over, earlyTrialInterval that
// while no evidence about other parts has arrived. A trial begins in the first half, so that all
// daemons know how it ended before the next.
const (
	trialInterval      = 20 * time.Second
	earlyTrialInterval = 4 * time.Second
)

// trials are the requests that show whether a held part still crashes endpoints: one at a time in
// the whole fleet.
type trials struct {
	// turn reports whether the trial of a part in a numbered interval is this daemon's. nil: no.
	turn func(k Key, interval int64) bool
	used map[Key]int64 // this daemon's last trial
}

// SetTrials sets what decides which daemon tries a part: in a numbered interval, each of which is
// the same at all daemons, turn must return true at one of them. It must be called before the
// table is used, must return at once, and may be called with the table locked.
func (t *Table) SetTrials(turn func(k Key, interval int64) bool) { t.trials.turn = turn }

// keep forgets the parts that are no longer held.
func (t *trials) keep(held map[Key]partCause) {
	for k := range t.used {
		if _, ok := held[k]; !ok {
			delete(t.used, k)
		}
	}
}

// partWait returns for how long a request with a held part must not be sent. It returns 0 for a
// trial, which the caller must then make. The lock must be held.
func (t *Table) partWait(now time.Time, k Key, h partHold) time.Duration {
	if left := h.until.Sub(now); left > 0 {
		return left
	}
	length := trialInterval
	if !h.narrowed {
		length = earlyTrialInterval
	}
	interval := now.UnixNano() / int64(length)
	begun := now.Sub(time.Unix(0, interval*int64(length)))
	last, tried := t.trials.used[k]
	if begun > length/2 || tried && last == interval || t.trials.turn == nil || !t.trials.turn(k, interval) {
		return length - begun
	}
	if t.trials.used == nil {
		t.trials.used = map[Key]int64{}
	}
	t.trials.used[k] = interval
	return 0
}
