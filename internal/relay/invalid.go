package relay

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
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

// noEvents is the kind of a new stream that ends as complete before its first event.
const noEvents upstream.Kind = "no-events"

// partialEvent is the kind of a stream that ends within an event though its framing says that it is whole.
const partialEvent upstream.Kind = "partial-event"

// checkHead returns an error if the head of an answer can't be an endpoint's.
func (f *inflight) checkHead(a *upstream.Answer) error {
	kind := f.relay.protocol.InvalidKind(a.Status, a.Header)
	if kind == "" {
		return nil
	}
	return a.Invalid(upstream.Kind(kind), fmt.Sprintf("status %d", a.Status))
}

// checkStreamEnd returns an error if a stream that was read to its end can't end there. One that goes on
// after an event may hold no further one.
func (f *inflight) checkStreamEnd(a *upstream.Answer) error {
	if !f.events.NeedsEvent() || f.request.Method == http.MethodHead {
		return nil
	}
	return a.Invalid(noEvents, fmt.Sprintf("status %d", a.Status))
}

// reportInvalid notifies the observer if an attempt's error is that of an invalid answer. The endpoint's ID is
// empty if it isn't known.
func (f *inflight) reportInvalid(endpoint fleet.EndpointID, err error) {
	report := &InvalidAnswer{Request: f.request.ID, Endpoint: endpoint, Service: f.service, Via: f.outcome.Via}
	var stream *invalidStream
	var answer *upstream.InvalidError
	switch {
	case errors.As(err, &stream):
		report.Kind, report.After, report.Text, report.Reused = string(stream.Kind), stream.After, stream.Text, stream.reused
	case errors.As(err, &answer):
		report.Kind, report.After, report.Text, report.Reused = string(answer.Kind), f.events.Last(), answer.Text, answer.Reused
	default:
		return
	}
	f.relay.observer.InvalidAnswer(report)
}

// reportTrailing notifies the observer of bytes after a whole answer, and reports whether there are any.
func (f *inflight) reportTrailing(t *trackedAttempt, a *upstream.Answer) bool {
	err := a.Trailing()
	if err != nil {
		f.reportInvalid(t.choice.Endpoint.ID, err)
	}
	return err != nil
}

// invalidStream is a fault of a stream.
type invalidStream struct {
	*eventstream.Fault
	reused bool // the connection has carried another request before
}
