package relay

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// InvalidAnswer is an answer with bytes that can't belong to it.
type InvalidAnswer struct {
	Request  string
	Endpoint fleet.EndpointID // empty if it isn't known
	Service  string
	Via      string // address of the daemon through which it came, empty for none
	// Kind says what is invalid, as one of few words.
	Kind   string
	After  string // id of the last valid event of a stream
	Text   string // the beginning of what is invalid
	Reused bool   // the connection has carried another request before
}

// reportInvalid notifies the observer of bytes that can't belong to a stream.
func (f *inflight) reportInvalid(t *trackedAttempt, fault *eventstream.Fault, reused bool) {
	f.relay.observer.InvalidAnswer(&InvalidAnswer{
		Request: f.request.ID, Endpoint: t.choice.Endpoint.ID, Service: f.service, Via: f.outcome.Via,
		Kind: string(fault.Kind), After: fault.After, Text: fault.Text, Reused: reused,
	})
}
