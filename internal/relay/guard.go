package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Guard knows the requests that crash the endpoints that run them. Its methods
// must return at once; a key costs the reading of a request's body.
type Guard interface {
	// HeldFor returns for how long a request isn't to be sent to any endpoint, 0
	// where it may be.
	HeldFor(key func() quarantine.Key) time.Duration
	// Ran says that an endpoint gave the first piece of an answer to a request
	// that was sent at a time.
	Ran(e *roster.Endpoint, sent time.Time, key func() quarantine.Key)
}

// refuseHeld refuses a request that crashes endpoints. It is asked before each attempt.
// Failure: the same request comes again and again, at any daemon and under
// another id, and what bounds attempts counts those of one try. Symptom: it ends
// one endpoint after the other, and with each all streams there.
func (f *inflight) refuseHeld() *Refusal {
	if left := f.relay.guard.HeldFor(f.key); left > 0 {
		f.outcome.RequestKey = f.key()
		return notRun(Quarantined, left)
	}
	return nil
}
