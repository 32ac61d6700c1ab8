package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Confirmation finds out which run of an endpoint's process a connection reaches, by a request on
// that connection. The answer to a request on another one may come from another run.
type Confirmation struct {
	Run    string // identifies the expected run
	Target string // of a GET request, which takes no slot of the endpoint
	Host   string
	// Check reports whether the body of an answer with status 200 is of the expected run.
	Check func(body []byte) bool
	// Optional says that the call may go to another run as well, as long as the connection answers.
	Optional bool
}

// ErrOtherRun means that a connection doesn't reach the expected run of an endpoint, or that this
// isn't known.
var ErrOtherRun = Error.New("connection not confirmed to reach the expected run of the endpoint")

const (
	// confirmTimeout bounds the wait for the answer: endpoints are milliseconds away.
	confirmTimeout = 500 * time.Millisecond
	// maxConfirmBytes bounds its body.
	maxConfirmBytes = 32 << 10
)

// admit reports whether a call may use a connection, nil if so. Connections that were established
// late have to be confirmed, once each.
func (c *conn) admit(ctx context.Context, call *Call) error {
	switch by := call.EstablishedBy; {
	case by.IsZero() || !c.dialled.After(by):
		return nil
	case call.Confirm == nil:
		c.pool.giveBack(c)
		return verdict.Wrap(verdict.NotRun, ErrNoOldConnection)
	case c.run == call.Confirm.Run, call.Confirm.Optional && c.askedFor == call.Confirm.Run:
		return nil
	}
	usable, confirmed := c.confirm(ctx, call)
	c.pool.count(func(s *Stats) { s.countConfirmed(confirmed) })
	if !usable || !confirmed && !call.Confirm.Optional {
		c.pool.drop(c)
		return verdict.Wrap(verdict.NotRun, ErrOtherRun)
	}
	c.askedFor, c.reused = call.Confirm.Run, true
	if confirmed {
		c.run = call.Confirm.Run
	}
	return nil
}

// confirm asks for the run on the connection. usable says that the whole answer was read.
func (c *conn) confirm(ctx context.Context, call *Call) (usable, confirmed bool) {
	c.startWait(time.Now(), &Call{HeadTimeout: confirmTimeout})
	stop := context.AfterFunc(ctx, c.cancel)
	body, status, usable := c.ask(call)
	if !stop() {
		return false, false
	}
	c.endHead()
	c.endWait()
	usable = usable && c.r.Buffered() == 0
	return usable, usable && status == http.StatusOK && call.Confirm.Check(body)
}

// ask sends the request and reads the whole answer. It names no request: one that does is a late answer to another
// call.
func (c *conn) ask(call *Call) (body []byte, status int, ok bool) {
	q := call.Confirm
	if _, err := io.WriteString(c.nc, "GET "+q.Target+" HTTP/1.1\r\nHost: "+q.Host+"\r\n\r\n"); err != nil {
		return nil, 0, false
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet})
	if err != nil || resp.Close || c.checkHead(resp) != nil || call.Owns(resp.Header) != NoRequest {
		return nil, 0, false
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxConfirmBytes))
	if err != nil || len(body) == maxConfirmBytes || call.Owns(resp.Trailer) != NoRequest {
		return nil, 0, false
	}
	return body, resp.StatusCode, true
}

// countConfirmed counts a confirmation.
func (s *Stats) countConfirmed(ok bool) {
	if ok {
		s.Confirmed++
	} else {
		s.Unconfirmed++
	}
}
