package budget

import "time"

// bucket is a token bucket; a token is one call. The level may be below 0.
type bucket struct {
	rate     float64 // tokens a second
	capacity float64
	level    float64
	filled   time.Time
}

func (b *bucket) fill(now time.Time) {
	passed := now.Sub(b.filled)
	if passed <= 0 {
		return
	}
	b.level = min(b.capacity, b.level+passed.Seconds()*b.rate)
	b.filled = now
}

// take takes a token if the level is at least need, or returns when it will be;
// the zero time for a bucket without a rate.
func (b *bucket) take(now time.Time, need float64) (time.Time, bool) {
	if b.rate <= 0 {
		return time.Time{}, false
	}
	b.fill(now)
	if b.level < need {
		return b.reaches(need), false
	}
	b.level--
	return time.Time{}, true
}

// resize changes the rate and keeps the level, up to the new capacity.
func (b *bucket) resize(now time.Time, rate, capacity float64) {
	b.fill(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

// drain sets the level at now.
func (b *bucket) drain(now time.Time, level float64) {
	b.level, b.filled = level, now
}

// reaches returns when the level will be need, which is at most the capacity.
func (b *bucket) reaches(need float64) time.Time {
	seconds := (need - b.level) / b.rate
	// One microsecond more than the quotient: a time that is rounded down
	// would find the level slightly too low each time.
	return b.filled.Add(time.Duration(seconds*float64(time.Second)) + time.Microsecond)
}
