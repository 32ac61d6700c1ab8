package relay

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// maxUnreached bounds the endpoints that are tried without a connection to any:
// with half of the endpoints gone, six tries in a row fail one time in 64.
const maxUnreached = 6

// step is what follows an attempt.
type step uint8

const (
	answer step = iota // pass the endpoint's answer on
	again              // send to another endpoint
	refuse             // answer that the request was not run
	fail               // answer that it may have run
)

// tally counts a request's attempts.
type tally struct {
	reached   int // endpoints that the request was sent to
	ran       int // of them, those that may have run it
	unreached int // endpoints to which there was no connection
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	class Class
	// verdict says whether the endpoint may have run the request.
	verdict verdict.Verdict
	// reached says that the request was sent.
	reached bool
	// complete says that the endpoint's answer was read to its end, so that it can
	// be passed on.
	complete bool
	// passedOn says that a part of an answer that isn't a stream of events was sent to the caller.
	// No other answer can go on from there.
	passedOn bool
	// trailing says that further bytes follow the whole answer.
	trailing bool
	// headReceived says that the head of an answer was received.
	headReceived bool
	// refusal is that of the daemon to which the request was forwarded, nil if an
	// endpoint answered.
	refusal *Refusal
	// mostRest says that most endpoints to choose from want no requests.
	mostRest bool
	// timeLeft says that another attempt could still end before the deadline.
	timeLeft bool
}

// next decides what follows an attempt. budget takes a further send from the retry
// budget; it is called only if everything else allows one.
func next(r *route.Route, t tally, res attemptResult, budget func() bool) step {
	switch {
	case res.passedOn && res.complete:
		return answer
	case res.passedOn:
		return fail
	case isFinal(res.refusal):
		return giveUp(t)
	case res.complete && (res.class == Success || res.class == Rejected):
		return answer
	case !res.reached:
		if res.timeLeft && t.unreached < maxUnreached {
			return again
		}
		return giveUp(t)
	case res.verdict == verdict.NotRun:
		// A refused request is safe to send again, but adds to the load, so the
		// retry budget and the route's bound apply.
		// Where most endpoints rest, one further choice is made, not a chain.
		if res.timeLeft && !(res.mostRest && t.reached > 1) && t.reached <= r.MaxAttempts && budget() {
			return again
		}
		return giveUp(t)
	case r.Repeatable() && res.timeLeft && t.ran < r.MaxAttempts && budget():
		return again
	case res.complete:
		return answer
	default:
		return fail
	}
}

// giveUp returns the step that ends a request whose last attempt did not run it.
func giveUp(t tally) step {
	if t.ran > 0 {
		return fail
	}
	return refuse
}
