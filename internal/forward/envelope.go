package forward

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// Error is the class of errors made by this package.
var Error = errs.Class("forward")

// Headers of the protocol. Those of an endpoint's answer or a caller's request that have
// these names are removed.
const (
	// envelopeHeader is the envelope of a request, JSON in base64.
	envelopeHeader = "Cyclamenbeam-Forward"
	// idHeader names the request of an answer.
	idHeader = "Cyclamenbeam-Forward-Id"
	// refusalHeader is the reason of a refusal by the daemon; an endpoint's answer has none.
	refusalHeader = "Cyclamenbeam-Forward-Refusal"
	// versionHeader is the version of the endpoint that an answer comes from.
	versionHeader = "Cyclamenbeam-Forward-Version"
	// endpointHeader names that endpoint: its ID, a space, and its start in Unix nanoseconds, 0 if
	// that is unknown.
	endpointHeader = "Cyclamenbeam-Forward-Endpoint"
	// deliveriesHeader states where the daemon sent a request that it refuses, see delivery.Format.
	deliveriesHeader = "Cyclamenbeam-Forward-Deliveries"
)

// envelope is what the other daemon needs beside the caller's request. Times are in
// milliseconds.
type envelope struct {
	ID             string  `json:"id"`
	Path           string  `json:"path"`
	Prompt         int     `json:"prompt,omitempty"`
	Output         int     `json:"output,omitempty"`
	ExpectedOutput int     `json:"expectedOutput,omitempty"`
	Model          string  `json:"model,omitempty"`
	Parts          []part  `json:"parts,omitempty"`
	LastEvent      string  `json:"lastEvent,omitempty"`
	Workspace      string  `json:"workspace,omitempty"`
	Service        string  `json:"service"`
	Pinned         bool    `json:"pinned,omitempty"`
	Version        string  `json:"version,omitempty"`
	Priority       int     `json:"priority,omitempty"`
	TimeLeft       float64 `json:"timeLeftMillis"`
	Elapsed        float64 `json:"elapsedMillis"`
	// Waited is missing in requests of daemons of an earlier release.
	Waited        *float64 `json:"waitedMillis,omitempty"`
	ConfigVersion uint64   `json:"configVersion"`
	Route         string   `json:"route"`
	Kind          int      `json:"kind"`
	Target        float64  `json:"targetMillis,omitempty"`
	PauseTarget   float64  `json:"pauseTargetMillis,omitempty"`
	Timeout       float64  `json:"timeoutMillis,omitempty"`
	Resumable     bool     `json:"resumable,omitempty"`
}

type part struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

func encode(r *relay.ForwardedRequest) string {
	q := r.Request
	waited := millis(r.Waited)
	e := envelope{
		ID: q.ID, Path: q.Path, Prompt: q.Prompt, Output: q.Output, ExpectedOutput: q.ExpectedOutput, Model: q.Model, LastEvent: q.LastEvent,
		Workspace: string(r.Workspace), Service: r.Service, Pinned: r.Pinned, Version: r.Version, Priority: r.Priority, ConfigVersion: r.ConfigVersion,
		TimeLeft: millis(r.TimeLeft), Elapsed: millis(r.Elapsed), Waited: &waited,
		Route: r.Route.Name, Kind: int(r.Route.Kind), Target: millis(r.Route.Target), PauseTarget: millis(r.Route.PauseTarget),
		Timeout: millis(r.Route.Timeout), Resumable: r.Route.Resumable,
	}
	for _, p := range q.Parts {
		e.Parts = append(e.Parts, part{p.ID, p.Tokens})
	}
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // only strings, numbers and booleans
	}
	return base64.StdEncoding.EncodeToString(text)
}

// decode returns the forwarded request of an HTTP request.
func decode(r *http.Request, body []byte) (*relay.ForwardedRequest, error) {
	text, err := base64.StdEncoding.DecodeString(r.Header.Get(envelopeHeader))
	if err != nil {
		return nil, Error.New("envelope: %v", err)
	}
	var e envelope
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, Error.New("envelope: %v", err)
	}
	if e.Service == "" || !(e.TimeLeft > 0) || e.Kind < 0 || e.Kind > int(route.Streaming) {
		return nil, Error.New("envelope of request %q: service %q, kind %d, %g ms left", e.ID, e.Service, e.Kind, e.TimeLeft)
	}
	h := r.Header.Clone()
	removeOwn(h)
	h.Del("Content-Length")
	q := &relay.Request{
		ID: e.ID, Method: r.Method, Target: r.RequestURI, Path: e.Path, Host: r.Host, Header: h, Body: body,
		Prompt: e.Prompt, Output: e.Output, ExpectedOutput: e.ExpectedOutput, Model: e.Model, LastEvent: e.LastEvent,
	}
	for _, p := range e.Parts {
		q.Parts = append(q.Parts, balance.Part{ID: p.ID, Tokens: p.Tokens})
	}
	waited := e.Elapsed
	if e.Waited != nil {
		waited = *e.Waited
	}
	return &relay.ForwardedRequest{
		Request: q, Workspace: fleet.WorkspaceID(e.Workspace), Service: e.Service, Pinned: e.Pinned, Version: e.Version, Priority: e.Priority,
		TimeLeft: duration(e.TimeLeft), Elapsed: duration(e.Elapsed), Waited: duration(waited), ConfigVersion: e.ConfigVersion,
		Route: route.Route{
			Name: e.Route, Kind: route.Kind(e.Kind), Target: duration(e.Target), PauseTarget: duration(e.PauseTarget),
			Timeout: duration(e.Timeout), Resumable: e.Resumable, Priority: e.Priority,
		},
	}, nil
}

// removeOwn removes the protocol's headers.
func removeOwn(h http.Header) {
	for _, name := range [...]string{envelopeHeader, idHeader, refusalHeader, versionHeader, endpointHeader, deliveriesHeader} {
		h.Del(name)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
