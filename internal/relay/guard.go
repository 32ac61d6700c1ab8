package relay

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Guard detects the requests that crash the endpoints that run them. Its methods
// must return at once. They get the request's identity as a function, since its first
// call hashes the body.
type Guard interface {
	// HeldFor returns for how long a request must not be sent to any endpoint, 0 if
	// it may be sent.
	HeldFor(id func() *quarantine.Identity) time.Duration
	// Holds returns a number that changes whenever more is held.
	Holds() uint64
	// Responded records that an endpoint returned the first piece of an answer to a
	// request that it was sent at the time sent.
	Responded(e *roster.Endpoint, sent time.Time)
	// Ran records that an endpoint has run a request, whose first piece arrived at began.
	Ran(began time.Time, id func() *quarantine.Identity)
	// Served records the same of a part of its prompt, for each part that others may have.
	Served(k quarantine.Key)
}

// refuseHeld refuses a request that crashes endpoints. It is called before each
// attempt: a caller may repeat such a request at any daemon and under another id,
// so that the bound on the attempts of one request doesn't stop it from crashing
// one endpoint after the other, each with all its streams.
func (f *inflight) refuseHeld() *Refusal {
	f.holds = f.relay.guard.Holds()
	if left := f.relay.guard.HeldFor(f.identity); left > 0 {
		f.outcome.RequestKey = f.identity().Request
		return notRun(Quarantined, left)
	}
	return nil
}

// errHeld ends an attempt of a request that was found to crash endpoints while a connection was
// being established.
var errHeld = errs.New("the request was held before it was sent")

// MaySend implements upstream.Gate.
func (f *inflight) MaySend() error {
	if f.relay.guard.Holds() != f.holds && f.refuseHeld() != nil {
		return errHeld
	}
	return nil
}
