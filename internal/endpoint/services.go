package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Services is the client of all plain services. It is safe for concurrent use; use
// NewServices to create one.
type Services struct {
	*pools
}

// NewServices returns a client of plain services.
func NewServices(o Options) *Services { return &Services{pools: newPools(o)} }

// ServiceRequest is a call to forward to a plain service.
type ServiceRequest struct {
	Method string
	Target string      // escaped path, with its query: "/orders?x=y"
	Header http.Header // the caller's; hop-by-hop fields and credentials are left out
	Body   []byte      // the whole body
	// Once is for a non-idempotent call: it is sent exactly once, on a new
	// connection.
	Once bool
	// AnswerTimeout bounds the time to the answer's head, StallTimeout the time
	// without a byte of its body. 0 is none.
	AnswerTimeout time.Duration
	StallTimeout  time.Duration
}

var errBadTarget = errors.New("target isn't an absolute path")

// Do forwards a call to the replica at address. It follows no redirects. Errors
// carry a verdict; for an answer use Answer.Verdict.
func (s *Services) Do(ctx context.Context, address string, call ServiceRequest) (*Answer, error) {
	req, err := s.request(address, &call)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, Error.Wrap(err))
	}
	p := s.get(address)
	wd := newWatchdog(ctx, call.AnswerTimeout)
	gen, transport := p.transport(wd.ctx, call.Once)
	att := new(attempt)
	resp, err := transport.RoundTrip(req.WithContext(att.trace(wd.ctx)))
	if err != nil {
		err = p.wrapFailure(wd, gen, err, &StallError{Address: address, After: call.AnswerTimeout})
		wd.stop()
		return nil, verdict.Wrap(att.verdict(), err)
	}
	wd.disarm()
	return newAnswer(p, gen, wd, resp, call.StallTimeout), nil
}

func (s *Services) request(address string, call *ServiceRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		return nil, err
	}
	if target.Host != "" || target.Scheme != "" || !strings.HasPrefix(target.Path, "/") {
		return nil, errBadTarget
	}
	target.Scheme = s.o.scheme()
	target.Host = address
	req := newRequest(call.Method, target, call.Body)
	req.Header = forwarded(call.Header)
	return req, nil
}
