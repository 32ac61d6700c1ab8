package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// inlineBody is the largest body written before the answer is read: it
	// fits a connection's smallest send window.
	inlineBody = 4 << 10
	// maxSkipped bounds the late answers of others that are passed over on
	// one connection: an endpoint sends one extra answer to a request.
	maxSkipped = 2
	// maxSkippedBytes bounds such an answer's body.
	maxSkippedBytes = 1 << 20
	// bodyWriteTimeout is how long the rest of a body may take after the endpoint
	// has answered; the connection can't be kept before.
	bodyWriteTimeout = time.Second
)

// Answer is an endpoint's answer. The body is read from Body, to io.EOF where
// it is whole; Close ends it at any time.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool      *Pool
	conn      *conn
	resp      *http.Response
	writeDone chan error // the body's writer, nil where it is done
	stop      func() bool
	complete  bool
}

// Send sends a call and returns the head of its answer. Its errors carry a
// verdict. The context ends the wait and, until Close, the reading.
func (p *Pool) Send(ctx context.Context, call *Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c}
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

// write sends the head and the body; a large body by a goroutine of its own,
// since the endpoint may answer before it reads it.
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
	a.writeDone = make(chan error, 1)
	go func() {
		_, err := a.conn.nc.Write(call.Body)
		a.writeDone <- err
	}()
	return nil
}

// readHead reads heads until one belongs to the call.
func (a *Answer) readHead(call *Call) error {
	req := &http.Request{Method: call.Method}
	for skipped := 0; ; skipped++ {
		resp, err := http.ReadResponse(a.conn.r, req)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		switch owner := call.Owns(resp.Header); {
		case owner == ThisRequest, owner == NoRequest && !a.conn.reused:
			a.setHead(resp)
			return nil
		case owner == NoRequest:
			return Error.New("an answer without a name on a kept connection")
		case skipped == maxSkipped:
			return Error.New("%d answers to other requests", skipped+1)
		}
		if err := skip(resp); err != nil {
			return err
		}
		a.pool.count(func(s *Stats) { s.Skipped++ })
	}
}

// skip reads an answer that belongs to another request.
func skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err != nil {
		return err
	}
	if n == maxSkippedBytes || resp.Close {
		return Error.New("the answer to another request doesn't end")
	}
	return nil
}

func (a *Answer) setHead(resp *http.Response) {
	a.conn.headReceived()
	a.resp = resp
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body = (*body)(a)
}

// body reads an answer's body and notes its whole end.
type body Answer

func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close ends the answer: a connection whose answer was read to its end is kept
// for the next request, any other is closed, which tells the endpoint to stop.
func (a *Answer) Close() {
	if !a.stop() { // the context has ended the connection
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

// bodyWritten reports whether the request's body was written to its end.
func (a *Answer) bodyWritten() bool {
	if a.writeDone == nil {
		return true
	}
	_ = a.conn.nc.SetWriteDeadline(time.Now().Add(bodyWriteTimeout))
	err := <-a.writeDone
	_ = a.conn.nc.SetWriteDeadline(time.Time{})
	return err == nil
}

// abandon closes the connection of an answer that has no head.
func (a *Answer) abandon() {
	a.stop()
	a.pool.drop(a.conn)
}
