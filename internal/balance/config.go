package balance

import "time"

// The model of an endpoint's time. Figures are starting values for engines
// that were not measured yet; observed first tokens correct readRate.
const (
	// readRate is the prompt tokens an engine reads a second: the slower of
	// the platform's two published engine classes is 55 a millisecond.
	readRate = 55_000.0
	// leastRate and mostRate bound what is learned.
	leastRate = 20_000.0
	mostRate  = 200_000.0
	// learnTokens is the least part of a prompt to be read from which the rate
	// is learned: below it the time is mostly steps and the way.
	learnTokens = 4000
	// learnQuantile: of the observed rates the one that a tenth exceeds is
	// taken. Lower ones have waited for others; the highest found tokens in
	// the endpoint's memory that this daemon didn't know of.
	learnQuantile = 0.9
	// learnStep is the part by which an observation moves the rate.
	learnStep = 0.05
	// slotSeconds is the added time to the first token of an engine whose
	// slots are all taken, against an empty one: a step with a full batch
	// takes some 8 to 9 ms, and a prompt waits for about two of them.
	slotSeconds = 0.02
	// turnSeconds is how long a request occupies a slot, about a stream of
	// 300 tokens at 6 ms; a request behind full slots waits for a share of it.
	turnSeconds = 2.0
	// plainSeconds is the same for a plain service's call.
	plainSeconds = 0.03
	// distance is the price of another data centre: the way there and back,
	// and the bytes between data centres, which are billed.
	distance = 0.004
	// rereadWeight is the price of reading a shared part again, as a multiple
	// of its time: it delays the engine's other requests, and recomputed tokens
	// are what the operators weigh most. Measured at 2, 5 and 10: tokens read
	// again fall by a quarter and by a third, with no fewer answers in time.
	rereadWeight = 7.0
	// homeBelief is the part of a subject's shared tokens that its home is
	// believed to hold where this daemon has not sent it there itself.
	homeBelief = 0.7
	// fetchTokens is the least that is fetched from another endpoint in place of
	// being read: below it the transfer's set-up takes longer.
	fetchTokens = 1500
	// fetchSetup is the time to set a transfer up, in seconds.
	fetchSetup = 0.005
	// fetchWeight is the price of a transfer as a multiple of its time:
	// transfers of one link wait for each other, and are billed.
	fetchWeight = 3.0
	// slowSeconds is the price of an endpoint that has just started and is
	// not at its full speed.
	slowSeconds = 0.1
	// equalSeconds: costs that differ by less are equal, and drawn from, so
	// that daemons with the same old view don't all choose the same endpoint.
	equalSeconds = 0.003
)

// The treatment of endpoints that fail.
const (
	// failureDecay is the weight of the newest outcome in an endpoint's share
	// of failures: about the last ten outcomes count.
	failureDecay = 0.1
	// failureHalf is the time in which an endpoint's share of failures halves
	// by itself: one that gets no requests for its failures must be tried
	// again, and faults that come and go last some seconds.
	failureHalf = 3 * time.Second
	// failureSeconds is the price of certain failure: a repeat at another
	// endpoint costs the target time of most routes, about half a second.
	failureSeconds = 0.5
	// avoidAfter failures in a row an endpoint is avoided: one can be a lost
	// packet.
	avoidAfter = 2
	// firstAvoid and lastAvoid bound the time for which it is avoided; it
	// doubles with each failed trial.
	firstAvoid = 500 * time.Millisecond
	lastAvoid  = 4 * time.Second
)

// scanLimit is the number of endpoints of a service up to which all are
// weighed; above it, the homes of the subject and a few drawn ones.
const (
	scanLimit = 64
	drawn     = 6
	homes     = 3
)

// rememberedParts bounds the parts that are remembered for one endpoint.
const rememberedParts = 2048
