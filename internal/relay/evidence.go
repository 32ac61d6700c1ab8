package relay

import (
	"net/http"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Evidence is what the verdict on an attempt rests on.
type Evidence string

// The values of Evidence. Without an attempt it is empty.
const (
	NeverSent       Evidence = "never-sent"       // there was no connection, or the request was held
	NoAnswer        Evidence = "no-answer"        // the request was sent, and no answer was read
	EndpointStates  Evidence = "endpoint"         // the endpoint's answer names the request
	EndpointUnnamed Evidence = "endpoint-unnamed" // it names none
	DaemonStates    Evidence = "daemon"           // the refusal of another daemon names the request
	DaemonUnnamed   Evidence = "daemon-unnamed"   // it names none
	// StatusAlone means that an endpoint's status says that the request was not run, though the
	// endpoint doesn't state so.
	StatusAlone Evidence = "status-alone"
)

// evidenceOf returns the evidence of an attempt without an answer.
func evidenceOf(v verdict.Verdict) Evidence {
	if v == verdict.NotRun {
		return NeverSent
	}
	return NoAnswer
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
func endpointEvidence(class Class, status int, unnamed bool) Evidence {
	switch {
	case unproven(class, status):
		return StatusAlone
	case unnamed:
		return EndpointUnnamed
	}
	return EndpointStates
}
