package balance

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Load is the unfinished requests of one or several daemons at an endpoint.
type Load struct {
	Requests int
	// PendingPrefill is the prompt tokens of requests without a first token, less those
	// that the endpoint is expected to have cached.
	PendingPrefill int
}

// Loads is loads by endpoint, without those that are idle.
type Loads map[rendezvous.ShortKey]Load

// member is an endpoint with its state.
type member struct {
	roster.Endpoint
	hash     uint64 // of the endpoint's ID
	isEngine bool
	// fetchSeconds is the time to fetch one cached token; 0 if the engine can't fetch.
	fetchSeconds float64
	own          Load
	others       Load
	slow         slowness
	slowReport   slowReport
	parts        partCache
	// failureShare is the smoothed share of failures among recent outcomes.
	failureShare        float64
	failedAt            time.Time // time of failureShare
	consecutiveFailures int
	avoidFor            time.Duration
	avoidUntil          time.Time // zero or past: not avoided
	// pacer spaces this daemon's requests while the endpoint has a rate limit; nil
	// otherwise. rateLimit is the limit in requests a second, of all daemons.
	pacer     *backpressure.Pacer
	rateLimit float64
	// After a rejection by a brittle endpoint: when, the ceiling of its requests then, and
	// how long it gets nothing from this daemon.
	rejectedAt         time.Time
	ceilingAtRejection float64
	backoff            time.Duration
	backoffUntil       time.Time
	restUntil          time.Time // until when the endpoint wants no requests of this daemon
	rank               int       // of this daemon for the endpoint, in the fleet rankedIn
	rankedIn           *backpressure.Fleet
}

// running returns the number of requests of all daemons there.
func (m *member) running() int { return m.own.Requests + m.others.Requests }

// avoided reports whether requests should go to other endpoints.
func (m *member) avoided(now time.Time) bool { return now.Before(m.avoidUntil) }

// currentFailureShare returns the failure share, decayed up to now.
func (m *member) currentFailureShare(now time.Time) float64 {
	if m.failureShare == 0 {
		return 0
	}
	return m.failureShare * math.Exp2(-now.Sub(m.failedAt).Seconds()/failureHalfLife.Seconds())
}

// observe records the outcome of an attempt.
func (m *member) observe(now time.Time, o Outcome) {
	m.failureShare, m.failedAt = m.currentFailureShare(now), now
	switch o {
	case Answered:
		m.failureShare *= 1 - failureWeight
		m.consecutiveFailures, m.avoidFor, m.backoff = 0, 0, 0
		m.avoidUntil = time.Time{}
	case Failed, Unreachable:
		m.failureShare += failureWeight * (1 - m.failureShare)
		m.consecutiveFailures++
		if m.consecutiveFailures >= avoidAfter || o == Unreachable {
			m.avoidFor = min(max(2*m.avoidFor, minAvoid), maxAvoid)
			m.avoidUntil = now.Add(m.avoidFor)
		}
	case Refused, Abandoned:
	}
}
