package balance

import "time"

// The cost model of an endpoint, in seconds. The prefill rate is an initial value,
// which observed first tokens correct.
const (
	// initialPrefillRate is the prompt tokens per second of an engine: the slower of the
	// platform's two published engine classes computes 55 per millisecond.
	initialPrefillRate = 55_000.0
	// minPrefillRate and maxPrefillRate bound the observed rate.
	minPrefillRate = 20_000.0
	maxPrefillRate = 200_000.0
	// minSampleTokens is the smallest prefill that updates the rate: for less, the time is
	// mostly that of decoding steps and of the network.
	minSampleTokens = 4000
	// rateQuantile is the quantile of the observed rates that is used. Lower rates include
	// queueing; the highest come from cached tokens that this daemon did not know of.
	rateQuantile = 0.9
	// rateStep is the part by which an observation changes the rate.
	rateStep = 0.05
	// fullBatchSeconds is the additional time to the first token of an engine whose slots
	// are all in use, compared to an idle one: a step with a full batch takes some 8 to 9
	// ms, and a prompt waits for about two of them.
	fullBatchSeconds = 0.02
	// slotHoldSeconds is how long a request occupies a slot, about a stream of 300 tokens
	// at 6 ms. A request that finds all slots in use waits for a part of it.
	slotHoldSeconds = 2.0
	// plainCallSeconds is the same for a call of a plain service.
	plainCallSeconds = 0.03
	// remoteSeconds is the cost of another data centre: the round trip, and the billed
	// traffic between data centres.
	remoteSeconds = 0.004
	// recomputeWeight is the cost of computing a prompt's tokens, as a multiple of their
	// time: it delays the engine's other requests, and recomputed tokens are what the
	// operators weigh most. With 5 and 10, compared to 2, recomputed tokens decrease by a
	// quarter and by a third, with no fewer answers in time.
	recomputeWeight = 7.0
	// unscaledPrefill is the part of a request's own prefill time that costs the same at
	// endpoints of all speeds, as the rest of recomputeWeight does: recomputed tokens are
	// wasted wherever that is. If all of it scaled with speed, prompts would leave the homes
	// that have them cached for fast endpoints, and fill these up.
	unscaledPrefill = 0.35
	// homeCachedShare is the part of the shared tokens that a home is expected to have
	// cached if this daemon has not sent them there itself.
	homeCachedShare = 0.7
	// minFetchTokens is the least number of tokens to fetch from another endpoint rather
	// than compute: for fewer, the set-up of the transfer takes longer.
	minFetchTokens = 1500
	// fetchSetupSeconds is the time to set up a transfer.
	fetchSetupSeconds = 0.005
	// fetchWeight is the cost of a transfer as a multiple of its time: transfers on one
	// link queue behind each other, and are billed.
	fetchWeight = 3.0
	// warmUpSeconds is the cost of an endpoint that has just started and is not at full
	// speed.
	warmUpSeconds = 0.1
	// tieSeconds: costs that differ by less count as equal, and one is drawn at random, so
	// that daemons with the same stale view don't all choose the same endpoint.
	tieSeconds = 0.003
)

// The treatment of endpoints that fail.
const (
	// failureWeight is the weight of the newest outcome in an endpoint's failure share:
	// about the last ten outcomes count.
	failureWeight = 0.1
	// failureHalfLife is the time in which an endpoint's failure share halves without
	// further outcomes: an endpoint that gets no requests because of its failures must be
	// tried again, and intermittent faults last some seconds.
	failureHalfLife = 3 * time.Second
	// failureCostSeconds is the cost of a certain failure: a retry at another endpoint
	// takes the target time of most routes, about half a second.
	failureCostSeconds = 0.5
	// avoidAfter is the number of consecutive failures after which an endpoint is avoided:
	// a single one can be a lost packet.
	avoidAfter = 2
	// minAvoid and maxAvoid bound the time for which an endpoint is avoided; it doubles
	// with each further failure.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
)

// A service with up to scanLimit endpoints has all of them compared; with more, only
// the homeCount first homes of the affinity key and sampleSize random ones.
const (
	scanLimit  = 64
	sampleSize = 6
	homeCount  = 3
)

// maxParts bounds the prompt parts that are remembered for one endpoint.
const maxParts = 2048
