package relay

import (
	"net/http"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// evidenceOf returns the evidence of an attempt without an answer.
func evidenceOf(v verdict.Verdict) delivery.Evidence {
	if v == verdict.NotRun {
		return delivery.NeverSent
	}
	return delivery.NoAnswer
}

// errUnproven replaces an endpoint's answer whose status would be a guarantee of this system that
// the endpoint doesn't give. A caller who relied on it would send an order again that has run.
var errUnproven = errs.New("the endpoint's answer says that the request was not run, without a proof")

// unproven reports whether an endpoint's status alone says that a request was not run.
func unproven(class Class, status int) bool {
	return class != Refused && class != Misdirected && delivery.SaysNotRun(status)
}

// errNoSuccess replaces an endpoint's answer with the status of a success and a header to the
// contrary.
var errNoSuccess = errs.New("the endpoint's status says that the request has succeeded, and its header doesn't")

// contradicts reports whether an answer has the status of a success and is none.
func contradicts(class Class, status int) bool {
	return class == Failure && status < http.StatusMultipleChoices
}

// judge returns whether an endpoint that sent this answer may have run the request, and an error if
// the answer must not be passed on: it says "not run" without proving it, or contradicts itself.
// An answer that names no request may come from something before the endpoint, which gets the
// request all the same. Through another daemon only that daemon's own refusal is a proof.
func judge(r *route.Route, class Class, status int, unnamed, forwarded bool) (verdict.Verdict, error) {
	states := class == Refused || class == Misdirected
	switch {
	case states && !unnamed && !forwarded:
		return verdict.NotRun, nil
	case states, !r.Repeatable() && delivery.SaysNotRun(status):
		return verdict.MayHaveRun, errUnproven
	case contradicts(class, status):
		return verdict.MayHaveRun, errNoSuccess
	default:
		return verdict.Ran, nil
	}
}

// endpointEvidence returns the evidence of an endpoint's answer.
func endpointEvidence(class Class, status int, unnamed bool) delivery.Evidence {
	switch {
	case contradicts(class, status):
		return delivery.Contradiction
	case unproven(class, status):
		return delivery.StatusAlone
	case unnamed:
		return delivery.EndpointUnnamed
	}
	return delivery.EndpointStates
}
