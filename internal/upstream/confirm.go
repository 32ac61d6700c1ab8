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
	case c.run == call.Confirm.Run:
		return nil
	}
	confirmed := c.confirm(ctx, call.Confirm)
	c.pool.count(func(s *Stats) { s.countConfirmed(confirmed) })
	if !confirmed {
		c.pool.drop(c)
		return verdict.Wrap(verdict.NotRun, ErrOtherRun)
	}
	c.run, c.reused = call.Confirm.Run, true
	return nil
}

// confirm asks for the run on the connection.
func (c *conn) confirm(ctx context.Context, q *Confirmation) bool {
	c.startWait(time.Now(), &Call{HeadTimeout: confirmTimeout})
	stop := context.AfterFunc(ctx, c.cancel)
	body, ok := c.ask(q)
	if !stop() {
		return false
	}
	c.endHead()
	c.endWait()
	return ok && c.r.Buffered() == 0 && q.Check(body)
}

// ask sends the request and reads the whole answer.
func (c *conn) ask(q *Confirmation) ([]byte, bool) {
	if _, err := io.WriteString(c.nc, "GET "+q.Target+" HTTP/1.1\r\nHost: "+q.Host+"\r\n\r\n"); err != nil {
		return nil, false
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet})
	if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxConfirmBytes))
	return body, err == nil && len(body) < maxConfirmBytes
}

// countConfirmed counts a confirmation.
func (s *Stats) countConfirmed(ok bool) {
	if ok {
		s.Confirmed++
	} else {
		s.Unconfirmed++
	}
}
