package scaling

import "time"

const (
	// targetUtilisation is the share of an engine's time that the load should take.
	// Above it, prompts queue for longer than their latency target, and a burst finds
	// no spare capacity in the seconds until new engines serve; below it, batches are
	// small and each token costs more engine time.
	targetUtilisation = 0.75
	// maxUtilisation is the share that the load may take after the further losses
	// that the planner covers: answers get later, but none has to be refused. In
	// waves of two to four losses, 0.75, 1 and 1.15 reach a score (value of the answers
	// less cost) of 0.598, 0.613 and 0.607; at 1.15, a wave of four has 2 in 100 fewer
	// answers in time.
	maxUtilisation = 1.0
	// toleratedLosses is the number of data centres that may lose their reclaimable
	// endpoints while the others still carry the load: reclaims come in waves a few
	// seconds apart, and replacements are unavailable for a while.
	toleratedLosses = 2
	// initialNeedShare is the share of the endpoints present at the start that the
	// load is assumed to need until it has been measured: the first prompts find
	// nothing cached. With 94 endpoints, 0.75 brings 3 in 100 more answers in time
	// than 0.5; with 16 to 22 endpoints, 1 brings no more than 0.75 at a lower score
	// (value of the answers less cost).
	initialNeedShare = 0.75
	// registrationSettleTime is how long the number of endpoints must stay the same
	// at the start: they register within about a heartbeat of 1.2 s.
	registrationSettleTime = 1500 * time.Millisecond
	// measureTime is how long requests must have arrived before the load counts as
	// measured; until then, the initial need is a lower bound.
	measureTime = 12 * time.Second
	// estimateTime is how long requests must have arrived before the initial need is
	// limited to estimateMargin times what they take.
	estimateTime = 3 * time.Second
	// estimateMargin is the factor by which the load of the first seconds may be
	// below the load measured later: prompts find nothing cached yet, and traffic grows.
	estimateMargin = 4.0
	// maxExcess limits what the first step of a scale-down keeps, as a multiple of
	// the wanted number: with halving alone, a fleet of fifty times that number
	// takes half a minute to shrink.
	maxExcess = 2
	// riseSeconds and fallSeconds are the time constants of the smoothed load. A rise
	// must be followed fast, since new endpoints take seconds to start; a fall
	// slowly, since releasing endpoints breaks streams.
	riseSeconds = 2.5
	fallSeconds = 15.0
	// scaleDownDelay is how long fewer endpoints must suffice before any is released.
	scaleDownDelay = 5 * time.Second
	// refusalRetryDelay is the time between a refused order and its retry.
	refusalRetryDelay = 2 * time.Second
	// refusalAvoidTime is how long a place that refused an order isn't chosen for
	// further on-demand endpoints.
	refusalAvoidTime = 6 * time.Second
	// waveDuration is how long a wave counts as going on after the last loss or
	// refusal: the reclaims of a wave are up to six seconds apart.
	waveDuration = 7 * time.Second
	// hazardHalfLife is the time in which the weight of a loss halves as a predictor
	// of further losses: waves last ten to twenty seconds.
	hazardHalfLife = 7 * time.Second
	// shortfallCost is what a missing endpoint costs callers, as a multiple of its
	// on-demand price: a late answer has a tenth of the value of one in time, a
	// refused one has none. In waves of two to four losses, 4.5 and 8 reach a score
	// (value of the answers less cost) of 0.617 and 0.607. At 8, a wave of four has
	// 3 in 100 more answers in time, a wave of two has no more, and the score without
	// waves is 0.03 to 0.04 lower.
	shortfallCost = 4.5
	// bootSlack is added to the service's boot time before an ordered endpoint
	// counts as missing.
	bootSlack = 1500 * time.Millisecond
)
