package balance

import "time"

// The model of an endpoint's time. Figures are starting values for engines
// that were not measured yet; observed first tokens correct readRate.
const (
	// initialPrefillRate is the prompt tokens an engine reads a second: the slower of
	// the platform's two published engine classes is 55 a millisecond.
	initialPrefillRate = 55_000.0
	// minPrefillRate and mostRate bound what is learned.
	minPrefillRate = 20_000.0
	maxPrefillRate = 200_000.0
	// minSampleTokens is the least part of a prompt to be read from which the rate
	// is learned: below it the time is mostly steps and the way.
	minSampleTokens = 4000
	// rateQuantile: of the observed rates the one that a tenth exceeds is
	// taken. Lower ones have waited for others; the highest found tokens in
	// the endpoint's memory that this daemon didn't know of.
	rateQuantile = 0.9
	// rateStep is the part by which an observation moves the rate.
	rateStep = 0.05
	// fullBatchSeconds is the added time to the first token of an engine whose
	// slots are all taken, against an empty one: a step with a full batch
	// takes some 8 to 9 ms, and a prompt waits for about two of them.
	fullBatchSeconds = 0.02
	// slotHoldSeconds is how long a request occupies a slot, about a stream of
	// 300 tokens at 6 ms; a request behind full slots waits for a share of it.
	slotHoldSeconds = 2.0
	// plainCallSeconds is the same for a plain service's call.
	plainCallSeconds = 0.03
	// remoteSeconds is the price of another data centre: the way there and back,
	// and the bytes between data centres, which are billed.
	remoteSeconds = 0.004
	// recomputeWeight is the price of reading a shared part again, as a multiple
	// of its time: it delays the engine's other requests, and recomputed tokens
	// are what the operators weigh most. Measured at 2, 5 and 10: tokens read
	// again fall by a quarter and by a third, with no fewer answers in time.
	recomputeWeight = 7.0
	// homeCachedShare is the part of a subject's shared tokens that its home is
	// believed to hold where this daemon has not sent it there itself.
	homeCachedShare = 0.7
	// minFetchTokens is the least that is fetched from another endpoint in place of
	// being read: below it the transfer's set-up takes longer.
	minFetchTokens = 1500
	// fetchSetupSeconds is the time to set a transfer up, in seconds.
	fetchSetupSeconds = 0.005
	// fetchWeight is the price of a transfer as a multiple of its time:
	// transfers of one link wait for each other, and are billed.
	fetchWeight = 3.0
	// warmUpSeconds is the price of an endpoint that has just started and is
	// not at its full speed.
	warmUpSeconds = 0.1
	// tieSeconds: costs that differ by less are equal, and drawn from, so
	// that daemons with the same old view don't all choose the same endpoint.
	tieSeconds = 0.003
)

// The treatment of endpoints that fail.
const (
	// failureWeight is the weight of the newest outcome in an endpoint's share
	// of failures: about the last ten outcomes count.
	failureWeight = 0.1
	// failureHalfLife is the time in which an endpoint's share of failures halves
	// by itself: one that gets no requests for its failures must be tried
	// again, and faults that come and go last some seconds.
	failureHalfLife = 3 * time.Second
	// failureCostSeconds is the price of certain failure: a repeat at another
	// endpoint costs the target time of most routes, about half a second.
	failureCostSeconds = 0.5
	// avoidAfter failures in a row an endpoint is avoided: one can be a lost
	// packet.
	avoidAfter = 2
	// minAvoid and lastAvoid bound the time for which it is avoided; it
	// doubles with each failed trial.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
)

// scanLimit is the number of endpoints of a service up to which all are
// weighed; above it, the homeCount of the subject and a few sampleSize ones.
const (
	scanLimit  = 64
	sampleSize = 6
	homeCount  = 3
)

// maxParts bounds the parts that are remembered for one endpoint.
const maxParts = 2048
