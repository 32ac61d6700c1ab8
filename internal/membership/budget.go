package membership

import "time"

// budget bounds the bytes a second that are sent beside the probes and their
// answers, which are few and small. Rumours and comparisons of tables have one
// each. Whatever happens to the fleet, a daemon sends no more; changes then
// only spread later. The burst lets one great change through at once.
type budget struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

func newBudget(perSecond, burst int) budget {
	return budget{perSecond: float64(perSecond), burst: float64(burst), tokens: float64(burst)}
}

func (b *budget) refill(now time.Duration) {
	b.tokens += (now - b.refilledAt).Seconds() * b.perSecond
	b.tokens = min(b.tokens, b.burst)
	b.refilledAt = now
}

// available reports whether anything may be sent. One packet may overdraw.
func (b *budget) available() bool { return b.tokens > 0 }

func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
