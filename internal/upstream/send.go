package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// inlineBody is the largest body, in bytes, that is written in one call with
	// the head before the answer is read: it fits the smallest send window.
	inlineBody = 4 << 10
	// maxSkipped is the most late answers to earlier requests that are skipped
	// for one call: an endpoint sends at most one extra answer to a request.
	maxSkipped = 2
	// maxSkippedBytes is the most bytes of a skipped answer's body.
	maxSkippedBytes = 1 << 20
	// bodyWriteTimeout bounds the writing of the rest of a request's body after the
	// answer was read; only then can the connection be reused.
	bodyWriteTimeout = time.Second
)

// Answer is an endpoint's answer. Body returns io.EOF at the end of a complete body,
// and of one that isn't Delimited also if the endpoint has closed the connection early,
// unless not all of the request was written until then.
// Close may be called at any time, and must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Unnamed says that the answer names no request, and came on a new connection.
	Unnamed bool
	// Delivery is the call's record, nil if it isn't recorded.
	Delivery *delivery.Delivery

	pool     *Pool
	conn     *conn
	resp     *http.Response
	owns     func(http.Header) Ownership
	upload   *upload // of the request's body, nil if it was written before the answer is read
	stop     func() bool
	ranAt    time.Time // when its process is known to have run, see readWait.ranAt; zero before the end
	complete bool
	closed   bool
}

// Send sends a call and returns once the head of its answer is received. Its
// errors carry a verdict. The end of the context ends the wait and, until Close,
// the reading of the body.
func (p *Pool) Send(ctx context.Context, call *Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address, call.EstablishedBy, call.ID)
	if err != nil {
		return nil, err
	}
	if err := c.admit(ctx, call); err != nil {
		return nil, err
	}
	if call.Gate != nil {
		if err := call.Gate.MaySend(); err != nil {
			p.giveBack(c)
			return nil, verdict.Wrap(verdict.NotRun, err)
		}
	}
	d, err := call.Deliveries.Begin(call.To)
	if err != nil {
		p.giveBack(c)
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	a := &Answer{pool: p, conn: c, Delivery: d}
	c.carry(call.ID)
	c.startWait(time.Now(), call)
	a.stop = context.AfterFunc(ctx, c.cancel)
	if err := a.write(call); err != nil {
		a.abandon()
		return nil, verdict.Wrap(verdict.MayHaveRun, Error.Wrap(err))
	}
	if err := a.readHead(call); err != nil {
		a.abandon()
		return nil, verdict.Wrap(verdict.MayHaveRun, Error.Wrap(err))
	}
	return a, nil
}

// Delimited reports whether the answer states where its body ends, by a length or by
// chunks. Otherwise it ends with its connection.
func (a *Answer) Delimited() bool {
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0 || a.resp.Body == http.NoBody
}

// Reused reports whether the answer's connection has carried another call before.
func (a *Answer) Reused() bool { return a.conn.reused }

// Established returns when the answer's connection was established.
func (a *Answer) Established() time.Time { return a.conn.dialled }

// Run returns the run of the endpoint that the answer's connection is confirmed to reach, see
// Confirmation; empty if that isn't known.
func (a *Answer) Run() string { return a.conn.run }

// write sends the head and the body. A goroutine sends a large body, since the
// endpoint may answer before it has read all of it.
func (a *Answer) write(call *Call) error {
	var head bytes.Buffer
	head.Grow(512 + min(len(call.Body), inlineBody))
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header().Write(&head); err != nil {
		return err
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(call.Body) <= inlineBody {
		head.Write(call.Body)
		_, err := a.conn.nc.Write(head.Bytes())
		return err
	}
	if _, err := a.conn.nc.Write(head.Bytes()); err != nil {
		return err
	}
	a.upload = startUpload(a.conn.nc, call.Body)
	return nil
}

// readHead reads answers until one belongs to the call, and skips the others.
func (a *Answer) readHead(call *Call) error {
	req := &http.Request{Method: call.Method}
	for skipped := 0; ; skipped++ {
		resp, err := http.ReadResponse(a.conn.r, req)
		if err != nil {
			return a.conn.parseError(InvalidHead, err)
		}
		if err := a.conn.checkHead(resp); err != nil {
			return err
		}
		if resp.StatusCode < 200 {
			continue
		}
		switch owner := call.Owns(resp.Header); {
		case owner == ThisRequest, owner == NoRequest && !a.conn.reused:
			a.setHead(resp, call)
			a.Unnamed = owner == NoRequest
			return nil
		case owner == NoRequest:
			return a.conn.invalid(UnnamedAnswer, resp.Status)
		case owner == SeveralRequests:
			return a.conn.invalid(SeveralIDs, resp.Status)
		case skipped == maxSkipped:
			return a.conn.invalid(ForeignAnswers, resp.Status)
		}
		a.conn.endHead()
		if err := a.conn.skip(resp); err != nil {
			return err
		}
		a.conn.beginHead()
		a.pool.count(func(s *Stats) { s.Skipped++ })
	}
}

// skip reads and discards the body of an answer to another request.
func (c *conn) skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err != nil {
		return c.parseError(InvalidFraming, err)
	}
	if n == maxSkippedBytes {
		return c.invalid(ForeignAnswers, fmt.Sprintf("more than %d bytes of another answer", maxSkippedBytes))
	}
	if resp.Close {
		return Error.New("answer to another request closes the connection")
	}
	return nil
}

func (a *Answer) setHead(resp *http.Response, call *Call) {
	a.conn.headReceived()
	a.resp, a.owns = resp, call.Owns
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body = (*body)(a)
	if !a.Delimited() {
		a.pool.beginUndelimited(a.conn)
	}
}

// body reads an answer's body and records whether its end was reached.
type body Answer

func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
	case err != io.EOF:
		err = b.conn.parseError(InvalidFraming, err)
	case b.foreignTrailer():
		err = b.conn.invalid(ForeignTrailer, fmt.Sprint(b.resp.Trailer))
	default:
		if cut := (*Answer)(b).confirmEnd(); cut != nil {
			return n, cut
		}
		b.complete, b.ranAt = true, b.conn.wait.ranAt()
	}
	return n, err
}

// foreignTrailer reports whether the answer's trailer names another request.
func (b *body) foreignTrailer() bool {
	if len(b.resp.Trailer) == 0 {
		return false
	}
	owner := b.owns(b.resp.Trailer)
	return owner == OtherRequest || owner == SeveralRequests
}

// Close ends the answer. The connection is kept for the next request if the
// answer was read to its end. Otherwise it is closed, and the endpoint stops
// working on the request.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.Delimited() {
		defer a.pool.endUndelimited(a.conn)
	}
	if !a.stop() { // the context has ended, and cancel has run
		a.pool.drop(a.conn)
		return
	}
	a.conn.endWait()
	until := expiry(time.Now(), a.resp)
	if !a.complete || until.IsZero() || a.conn.r.Buffered() > 0 || !a.bodyWritten() {
		a.pool.drop(a.conn)
		return
	}
	a.conn.expires, a.conn.reused = until, true
	a.pool.put(a.conn)
}

// bodyWritten waits until the request's body is written, and reports whether all
// of it was.
func (a *Answer) bodyWritten() bool {
	if a.upload == nil {
		return true
	}
	_ = a.conn.nc.SetWriteDeadline(time.Now().Add(bodyWriteTimeout))
	<-a.upload.done
	_ = a.conn.nc.SetWriteDeadline(time.Time{})
	return a.upload.err == nil
}

// abandon closes the connection of a call whose answer's head wasn't received.
func (a *Answer) abandon() {
	a.stop()
	a.pool.drop(a.conn)
}
