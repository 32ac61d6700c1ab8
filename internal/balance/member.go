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
	// Unread is the prompt tokens of those without a first token, less what
	// the endpoint is believed to hold.
	Unread int
}

// Loads is loads by endpoint, without those that have none.
type Loads map[rendezvous.Short]Load

// member is an endpoint with what is known of it.
type member struct {
	roster.Endpoint
	hash   uint64 // of the endpoint's ID
	engine bool
	// fetchSeconds is the time to fetch a cached token; 0 where it can't.
	fetchSeconds float64
	own          Load
	others       Load
	parts        partSet
	// failures is the share of failures among recent outcomes.
	failures float64
	failedAt time.Time // of failures
	inRow    int       // failures without a success between
	avoid    time.Duration
	until    time.Time // avoided until then
}

// running returns the requests of all daemons there.
func (m *member) running() int { return m.own.Requests + m.others.Requests }

// avoided reports whether requests should go elsewhere.
func (m *member) avoided(now time.Time) bool { return now.Before(m.until) }

// failing returns the share of failures among recent outcomes.
func (m *member) failing(now time.Time) float64 {
	if m.failures == 0 {
		return 0
	}
	return m.failures * math.Exp2(-now.Sub(m.failedAt).Seconds()/failureHalf.Seconds())
}

// observe takes an attempt's outcome into the endpoint's record.
func (m *member) observe(now time.Time, o Outcome) {
	m.failures, m.failedAt = m.failing(now), now
	switch o {
	case Answered:
		m.failures *= 1 - failureDecay
		m.inRow, m.avoid = 0, 0
		m.until = time.Time{}
	case Failed, Unreached:
		m.failures += failureDecay * (1 - m.failures)
		m.inRow++
		if m.inRow >= avoidAfter || o == Unreached {
			m.avoid = min(max(2*m.avoid, firstAvoid), lastAvoid)
			m.until = now.Add(m.avoid)
		}
	case Refused, Left:
	}
}
