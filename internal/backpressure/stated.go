package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Stated is what an answer says about the requests that its endpoint accepts.
type Stated struct {
	// RateLimit is the requests a second that the endpoint accepts from all daemons
	// together.
	RateLimit Limit
	// RejectionLimit is the requests a second that the endpoint can reject for lack of
	// room; with more, it crashes.
	RejectionLimit Limit
	// Rest is how long the endpoint wants no requests from this daemon; 0: not stated.
	Rest time.Duration
	// Leaving says that the endpoint leaves and should get no further requests.
	Leaving bool
}

// Limit is one limit of an answer.
type Limit struct {
	Presence  Presence
	PerSecond float64 // of a valid limit; finite, not negative
}

// Presence says whether an answer states a limit.
type Presence uint8

// The values of Presence.
const (
	Absent  Presence = iota // the endpoint has no limit
	Invalid                 // the value can't be used; the endpoint's earlier limit stays
	Valid
)

// ParseLimit parses the value of a header, empty if the answer has none.
func ParseLimit(text string) Limit {
	text = strings.TrimSpace(text)
	if text == "" {
		return Limit{}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Limit{Presence: Invalid}
	}
	return Limit{Presence: Valid, PerSecond: perSecond}
}

// maxRest bounds a rest that an endpoint asks for: a longer one is no useful statement.
const maxRest = time.Hour

// ParseRest parses the seconds, which may have fractions, of a header with the rest that an
// endpoint asks for. It returns 0 if there is none, or if it can't be read.
func ParseRest(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}
