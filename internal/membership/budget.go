package membership

import "time"

// budget is a token bucket in bytes. Queued updates and table synchronisation
// have one each; probes and their answers, which are few and small, are not
// limited. During large changes of the fleet a daemon sends no more than this, and
// updates spread more slowly. The burst allows one large change at once.
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

// available reports whether anything may be sent. The last packet may exceed
// the budget.
func (b *budget) available() bool { return b.tokens > 0 }

func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
