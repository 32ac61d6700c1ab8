package backpressure

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Statement is what one run of an endpoint last said about its rate limit, or that it leaves,
// which is final for the run.
type Statement struct {
	Endpoint  rendezvous.ShortKey // of the endpoint's ID
	StartedAt time.Time           // of the run, in whole milliseconds; zero if unknown
	Leaving   bool                // it leaves; no limit then
	InForce   bool                // false: the limit has ended
	PerSecond float64             // of a limit in force, requests from all daemons together
	At        time.Time           // when the endpoint said so
}

// sameRun reports whether both are about the same run of the endpoint.
func (s *Statement) sameRun(o *Statement) bool { return s.StartedAt.Equal(o.StartedAt) }

// sameLimit reports whether both state the same limit, or the leave.
func (s *Statement) sameLimit(o *Statement) bool {
	return s.Leaving == o.Leaving && s.InForce == o.InForce && s.PerSecond == o.PerSecond
}
