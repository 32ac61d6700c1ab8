package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// sink implements relay.Sink for another daemon's connection.
type sink struct {
	w        *delivery.Writer
	id       string
	headOnly bool    // the method is HEAD
	version  *string // nil: unknown
	endpoint string  // encoded
	aborted  bool    // the connection must be closed early
}

var (
	_ relay.VersionSink  = (*sink)(nil)
	_ relay.EndpointSink = (*sink)(nil)
)

// SetVersion implements relay.VersionSink.
func (s *sink) SetVersion(version string) { s.version = &version }

// SetEndpoint implements relay.EndpointSink.
func (s *sink) SetEndpoint(id fleet.EndpointID, startedAt time.Time) {
	s.endpoint = encodeEndpoint(id, startedAt)
}

// header adds an endpoint's header, and nothing that net/http would detect by itself.
func (s *sink) header(h http.Header) {
	to := s.w.Header()
	for name, values := range h {
		to[name] = values
	}
	removeOwn(to)
	to.Set(idHeader, s.id)
	to.Set(endpointHeader, s.endpoint)
	if s.version != nil {
		to.Set(versionHeader, *s.version)
	}
	for _, name := range [...]string{"Content-Type", "Date"} {
		if h.Get(name) == "" {
			to[name] = nil
		}
	}
}

// Deliveries implements relay.Sink.
func (s *sink) Deliveries() *delivery.Log { return s.w.Deliveries() }

// Whole implements relay.Sink.
func (s *sink) Whole(status int, h http.Header, body []byte) {
	s.header(h)
	if !s.headOnly {
		s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	s.w.WriteHeader(status)
	if _, err := s.w.Write(body); err != nil && err != http.ErrBodyNotAllowed {
		s.aborted = true
	}
}

// Begin implements relay.Sink.
func (s *sink) Begin(status int, h http.Header) {
	s.header(h)
	s.w.WriteHeader(status)
}

// WriteBody implements relay.Sink.
func (s *sink) WriteBody(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// End implements relay.Sink: returning from the handler ends the answer.
func (s *sink) End() {}

// Abort implements relay.Sink.
func (s *sink) Abort() { s.aborted = true }

// Refuse implements relay.Sink.
func (s *sink) Refuse(r relay.Refusal) {
	h := s.w.Header()
	h.Set(idHeader, s.id)
	h.Set(refusalHeader, string(r.Reason))
	h.Set(verdict.Header, r.Verdict.String())
	h.Set(deliveriesHeader, delivery.Format(s.w.Deliveries().Records()))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	s.w.WriteHeader(status(r))
}

// status returns the status of a refusal, whose meaning is in the header.
func status(r relay.Refusal) int {
	if r.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
