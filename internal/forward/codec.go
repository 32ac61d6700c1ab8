package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Codec encodes requests to other daemons and decodes their answers. It implements a part of
// relay.Forwarder.
type Codec struct{}

// Header implements relay.Forwarder.
func (Codec) Header(r *relay.ForwardedRequest) http.Header {
	h := r.Request.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeOwn(h)
	h.Set(envelopeHeader, encode(r))
	return h
}

// Owns implements relay.Forwarder.
func (Codec) Owns(r *relay.Request) func(http.Header) upstream.Ownership {
	id := r.ID
	return func(h http.Header) upstream.Ownership {
		return upstream.OwnerOf(h.Values(idHeader), id)
	}
}

// Version implements relay.Forwarder.
func (Codec) Version(h http.Header) (version string, stated bool) {
	return h.Get(versionHeader), len(h.Values(versionHeader)) == 1
}

// Endpoint implements relay.Forwarder.
func (Codec) Endpoint(h http.Header) *roster.Endpoint {
	id, start, ok := strings.Cut(h.Get(endpointHeader), " ")
	nanos, err := strconv.ParseInt(start, 10, 64)
	if !ok || id == "" || err != nil {
		return nil
	}
	e := &roster.Endpoint{ID: fleet.EndpointID(id)}
	if nanos != 0 {
		e.StartedAt = time.Unix(0, nanos)
	}
	return e
}

// Deliveries implements relay.Forwarder.
func (Codec) Deliveries(h http.Header) (all []delivery.Record, stated bool) {
	values := h.Values(deliveriesHeader)
	if len(values) != 1 {
		return nil, false
	}
	all, err := delivery.Parse(values[0])
	return all, err == nil
}

// encodeEndpoint returns the value of endpointHeader.
func encodeEndpoint(id fleet.EndpointID, startedAt time.Time) string {
	nanos := int64(0)
	if !startedAt.IsZero() {
		nanos = startedAt.UnixNano()
	}
	return fmt.Sprintf("%s %d", id, nanos)
}

// Refusal implements relay.Forwarder. An answer that names no request isn't one of the other
// daemon's relay, and leaves open what became of the request.
func (Codec) Refusal(h http.Header) *relay.Refusal {
	reason := h.Get(refusalHeader)
	if len(h.Values(idHeader)) == 0 {
		return &relay.Refusal{Reason: relay.Broken, Verdict: verdict.MayHaveRun}
	}
	if reason == "" {
		removeOwn(h)
		return nil
	}
	r := &relay.Refusal{Reason: relay.Reason(reason)}
	if err := r.Verdict.UnmarshalText([]byte(h.Get(verdict.Header))); err != nil {
		r.Verdict = verdict.MayHaveRun
	}
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return r
}
