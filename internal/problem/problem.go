// Package problem writes failures as RFC 9457 problem details, each with the
// verdict that says whether the request may have run.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Problem is the body of a failed answer to a caller. It implements error.
type Problem struct {
	Type       string          `json:"type"`
	Title      string          `json:"title"`
	Status     int             `json:"status"`
	Detail     string          `json:"detail,omitempty"`
	Instance   string          `json:"instance,omitempty"` // request id
	Verdict    verdict.Verdict `json:"verdict"`
	RetryAfter time.Duration   `json:"-"` // sent as the Retry-After header; 0 omits it
}

// New returns a problem with the given HTTP status and verdict. A status that says that the request
// was not run becomes 502 with another verdict. The detail is formatted as by fmt.Sprintf.
func New(status int, v verdict.Verdict, format string, args ...any) *Problem {
	if delivery.SaysNotRun(status) && v != verdict.NotRun {
		status = http.StatusBadGateway
	}
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Verdict: v,
	}
}

// WithRetryAfter sets the delay after which the caller may retry, and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// ForRequest sets the request id and returns p.
func (p *Problem) ForRequest(request string) *Problem {
	p.Instance = request
	return p
}

func (p *Problem) Error() string {
	return strconv.Itoa(p.Status) + " " + p.Verdict.String() + ": " + p.Detail
}

// Write sends p as the whole answer. The header of w must not have been written
// yet.
func Write(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(verdict.Header, p.Verdict.String())
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(RetryAfterSeconds(p.RetryAfter)))
	}
	w.WriteHeader(p.Status)
	// A write fails only when the caller has disconnected, so the error is dropped.
	_ = json.NewEncoder(w).Encode(p)
}

// RetryAfterSeconds rounds a delay up to whole seconds, the unit of the
// Retry-After header.
func RetryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
