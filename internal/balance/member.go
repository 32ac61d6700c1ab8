package balance

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Load is the unfinished requests of one or several daemons at an endpoint.
type Load struct {
	Requests int
	// PendingPrefill is the prompt tokens of those without a first token, less what
	// the endpoint is believed to hold.
	PendingPrefill int
}

// Loads is loads by endpoint, without those that have none.
type Loads map[rendezvous.Short]Load

// member is an endpoint with what is known of it.
type member struct {
	roster.Endpoint
	hash     uint64 // of the endpoint's ID
	isEngine bool
	// fetchSeconds is the time to fetch a cached token; 0 where it can't.
	fetchSeconds float64
	own          Load
	others       Load
	parts        partCache
	// failureShare is the share of failureShare among recent outcomes.
	failureShare        float64
	failedAt            time.Time // of failures
	consecutiveFailures int       // failures without a success between
	avoidFor            time.Duration
	avoidUntil          time.Time // avoided until then
}

// running returns the requests of all daemons there.
func (m *member) running() int { return m.own.Requests + m.others.Requests }

// avoided reports whether requests should go elsewhere.
func (m *member) avoided(now time.Time) bool { return now.Before(m.avoidUntil) }

// currentFailureShare returns the share of failures among recent outcomes.
func (m *member) currentFailureShare(now time.Time) float64 {
	if m.failureShare == 0 {
		return 0
	}
	return m.failureShare * math.Exp2(-now.Sub(m.failedAt).Seconds()/failureHalfLife.Seconds())
}

// observe takes an attempt's outcome into the endpoint's record.
func (m *member) observe(now time.Time, o Outcome) {
	m.failureShare, m.failedAt = m.currentFailureShare(now), now
	switch o {
	case Answered:
		m.failureShare *= 1 - failureWeight
		m.consecutiveFailures, m.avoidFor = 0, 0
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
