package balance

import (
	"math"
	"time"
)

const (
	// failureRateHalfLife is the time in which an outcome's weight in a failure rate halves. It covers some streams
	// of each endpoint also where several daemons share them. A longer one
	// avoids endpoints for longer after their fault has ended.
	failureRateHalfLife = 20 * time.Second
	// failureRatePrior is the weight, in outcomes, with which an endpoint counts as a usual one.
	failureRatePrior = 2
	// chanceDeviations is the number of standard deviations by which rates differ by chance. With none,
	// prompts would leave the endpoints that have them cached though all fail alike.
	chanceDeviations = 1
)

// failureRate is the share of failures among outcomes, over some tens of seconds.
type failureRate struct {
	failed, total float64 // outcomes, weighted by age
	at            time.Time
}

// observe adds an outcome.
func (r *failureRate) observe(now time.Time, failed bool) {
	w := r.weight(now)
	r.failed, r.total, r.at = r.failed*w, r.total*w+1, now
	if failed {
		r.failed++
	}
}

// weight returns the weight of the outcomes so far.
func (r *failureRate) weight(now time.Time) float64 {
	return math.Exp2(-now.Sub(r.at).Seconds() / failureRateHalfLife.Seconds())
}

// mean returns the share of failures, which doesn't change between outcomes.
func (r *failureRate) mean() float64 {
	if r.failed == 0 {
		return 0
	}
	return r.failed / r.total
}

// excess returns by how much the rate differs from a usual one, beyond what outcomes differ by chance: with
// few or old ones it is 0.
func (r *failureRate) excess(now time.Time, usual float64) float64 {
	if usual == 0 || r.total == 0 {
		return 0
	}
	w := r.weight(now)
	n := r.total * w
	diff := (r.failed*w - n*usual) / (n + failureRatePrior)
	chance := chanceDeviations * math.Sqrt(n*usual*(1-usual)) / (n + failureRatePrior)
	if diff < 0 {
		return min(diff+chance, 0)
	}
	return max(diff-chance, 0)
}

// observeFailureRate records an attempt's outcome for its endpoint and the service. The failure of a stream is
// known when it ends, like its success. Silence doesn't count: the path may be cut, which ends within seconds.
func (b *Balancer) observeFailureRate(now time.Time, m *member, o Outcome) {
	if o != Answered && o != Failed {
		return
	}
	m.failureRate.observe(now, o == Failed)
	service := b.failureRates[m.Service]
	if service == nil {
		service = &failureRate{}
		b.failureRates[m.Service] = service
	}
	service.observe(now, o == Failed)
}
