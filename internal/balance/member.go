package balance

import (
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
	hash       uint64 // of the endpoint's ID
	slow       slowness
	homeWeight homeWeight // next to hash and slow, which every choice reads of all members
	isEngine   bool
	// fetchSeconds is the time to fetch one cached token; 0 if the engine can't fetch.
	fetchSeconds        float64
	own                 Load
	others              Load
	slowReport          slowReport
	parts               partCache
	prefilling          float64       // share of recent load reports with prompts to compute
	failures            decayingShare // of attempts
	failureRate         failureRate   // of attempts that reached the endpoint
	latePauses          decayingShare // of streams with a pause target
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

// observe records the outcome of an attempt.
func (m *member) observe(now time.Time, o Outcome) {
	m.failures.decay(now)
	switch o {
	case Answered:
		m.failures.observe(now, false)
		m.consecutiveFailures, m.avoidFor, m.backoff = 0, 0, 0
		m.avoidUntil = time.Time{}
	case Failed, Unreachable, Silent:
		m.failures.observe(now, true)
		m.consecutiveFailures++
		if m.consecutiveFailures >= avoidAfter || o == Unreachable {
			m.avoidFor = min(max(2*m.avoidFor, minAvoid), maxAvoid)
			m.avoidUntil = now.Add(m.avoidFor)
		}
	case Refused, Abandoned:
	}
}
