package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Engines is the client of all model engines. It is safe for concurrent use; use
// NewEngines to create one.
type Engines struct {
	*pools
}

// NewEngines returns a client of model engines.
func NewEngines(o Options) *Engines { return &Engines{pools: newPools(o)} }

// StreamOptions are the options of a request for a stream. Timeouts of 0 are none.
type StreamOptions struct {
	RequestID         string
	Priority          int           // requests of a higher one run first
	FirstTokenTimeout time.Duration // from the start to the first piece
	StallTimeout      time.Duration // without a byte, after the first piece
	// Once sends the request on a connection of its own that is used for nothing
	// else, for completions that a template declares non-idempotent.
	Once bool
}

// Start requests a completion from the engine at address. Errors carry a verdict
// and may wrap a *StallError or a *StatusError.
func (e *Engines) Start(ctx context.Context, address string, req *engineapi.CompletionRequest, opts StreamOptions) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, Error.Wrap(err))
	}
	target := url.URL{Scheme: e.o.scheme(), Host: address, Path: engineapi.CompletionsPath}
	httpReq := newRequest(http.MethodPost, &target, body)
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set(engineapi.PriorityHeader, strconv.Itoa(opts.Priority))
	return e.open(ctx, httpReq, opts, ErrModelNotLoaded)
}

// Resume continues a stream of the engine at address from token from. It runs
// nothing, so its errors are no evidence about the request: their verdict is always
// MayHaveRun. ErrStreamGone means that the engine has no such stream.
func (e *Engines) Resume(ctx context.Context, address, streamID string, from int, opts StreamOptions) (*Stream, error) {
	target := e.streamURL(address, streamID)
	target.RawQuery = "from=" + strconv.Itoa(from)
	opts.Once = false
	s, err := e.open(ctx, newRequest(http.MethodGet, &target, nil), opts, ErrStreamGone)
	if err != nil && verdict.Of(err) != verdict.MayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, err)
	}
	return s, err
}

func (e *Engines) streamURL(address, streamID string) url.URL {
	return url.URL{
		Scheme:  e.o.scheme(),
		Host:    address,
		Path:    engineapi.StreamPath + streamID,
		RawPath: engineapi.StreamPath + url.PathEscape(streamID),
	}
}

// open sends the request and reads the head of the answer. notFound is the error
// for status 404.
func (e *Engines) open(ctx context.Context, req *http.Request, opts StreamOptions, notFound error) (*Stream, error) {
	if opts.RequestID != "" {
		req.Header.Set(engineapi.RequestIDHeader, opts.RequestID)
	}
	p := e.get(req.URL.Host)
	began := time.Now()
	wd := newWatchdog(ctx, opts.FirstTokenTimeout)
	gen, transport := p.transport(wd.ctx, opts.Once)
	att := new(attempt)
	resp, err := transport.RoundTrip(req.WithContext(att.trace(wd.ctx)))
	if err != nil {
		err = p.wrapFailure(wd, gen, err, &StallError{Address: p.address, After: opts.FirstTokenTimeout})
		wd.stop()
		return nil, verdict.Wrap(att.verdict(), err)
	}
	if resp.StatusCode != http.StatusOK {
		err = readRefusal(resp, notFound)
		_ = resp.Body.Close()
		wd.stop()
		return nil, err
	}
	return newStream(p, gen, wd, resp, opts, began), nil
}

// newRequest returns a request without GetBody, so that net/http can't send a
// request with a body again: retries are up to the caller and its retry budget.
func newRequest(method string, target *url.URL, body []byte) *http.Request {
	req := &http.Request{Method: method, URL: target, Host: target.Host, Header: make(http.Header)}
	if len(body) == 0 {
		return req
	}
	req.ContentLength = int64(len(body))
	req.Body = io.NopCloser(bytes.NewReader(body))
	return req
}
