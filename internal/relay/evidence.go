package relay

import (
	"net/http"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// evidenceOf returns the evidence of an attempt without an answer.
func evidenceOf(v verdict.Verdict) delivery.Evidence {
	if v == verdict.NotRun {
		return delivery.NeverSent
	}
	return delivery.NoAnswer
}

// saysNotRun reports whether a status guarantees to callers that their request was not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// errUnproven replaces an endpoint's answer whose status would be a guarantee of this system that
// the endpoint doesn't give. A caller who relied on it would send an order again that has run.
var errUnproven = errs.New("the endpoint's status says that the request was not run, and its header doesn't")

// unproven reports whether an endpoint's status alone says that a request was not run.
func unproven(class Class, status int) bool {
	return class != Refused && class != Misdirected && saysNotRun(status)
}

// endpointEvidence returns the evidence of an endpoint's answer.
func endpointEvidence(class Class, status int, unnamed bool) delivery.Evidence {
	switch {
	case unproven(class, status):
		return delivery.StatusAlone
	case unnamed:
		return delivery.EndpointUnnamed
	}
	return delivery.EndpointStates
}
