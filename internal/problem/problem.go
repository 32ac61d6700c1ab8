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

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Problem is a failure as a caller sees it. It is an error.
type Problem struct {
	Type       string          `json:"type"`
	Title      string          `json:"title"`
	Status     int             `json:"status"`
	Detail     string          `json:"detail,omitempty"`
	Instance   string          `json:"instance,omitempty"` // request id
	Verdict    verdict.Verdict `json:"verdict"`
	RetryAfter time.Duration   `json:"-"` // 0 is no hint
}

// New returns a problem of the given status. The detail is formatted.
func New(status int, v verdict.Verdict, format string, args ...any) *Problem {
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Verdict: v,
	}
}

// After adds a hint when to come back and returns p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// For names the request and returns p.
func (p *Problem) For(request string) *Problem {
	p.Instance = request
	return p
}

func (p *Problem) Error() string {
	return strconv.Itoa(p.Status) + " " + p.Verdict.String() + ": " + p.Detail
}

// Write sends p. The header of w must not have been sent.
func Write(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(verdict.Header, p.Verdict.String())
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(RetryAfterSeconds(p.RetryAfter)))
	}
	w.WriteHeader(p.Status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(p)
}

// RetryAfterSeconds rounds a delay up to the whole seconds that Retry-After takes.
func RetryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
