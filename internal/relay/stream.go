package relay

import (
	"context"
	"io"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// readBufferBytes is the most that is read of an answer at once.
const readBufferBytes = 8 << 10

// newEvents returns a parser of a request's stream, whose events may have fields of some names beside the
// standard's. Where streams can't be resumed, an endpoint may also begin anew.
func newEvents(q *Request, a *admitted, fields []string) *eventstream.Parser {
	p := eventstream.New(q.LastEvent, maxEventBytes)
	p.AllowFields(fields)
	if q.LastEvent != "" && !a.route.Resumable {
		p.AllowRestart()
	}
	return p
}

// forwardStream forwards events as they arrive. It returns nil if the stream is
// complete.
func (f *inflight) forwardStream(ctx context.Context, t *trackedAttempt, a *upstream.Answer) (err error) {
	defer t.waitsAfter.Store(0)
	defer func() {
		if err != nil {
			f.events.Restart()
		}
	}()
	buf := make([]byte, readBufferBytes)
	for {
		began := time.Now()
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := f.forward(t, a, buf[:n], began); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return f.endStream(ctx, t, a)
		}
		if err != nil {
			return err
		}
	}
}

// endStream ends a stream that was read to its end. It returns an error if the stream has been
// cut off there.
func (f *inflight) endStream(ctx context.Context, t *trackedAttempt, a *upstream.Answer) error {
	if f.events.Partial() && a.Delimited() {
		return a.Invalid(partialEvent, f.events.PartialText())
	}
	if f.events.Partial() {
		return io.ErrUnexpectedEOF
	}
	if err := f.confirmEnd(ctx, t, a); err != nil {
		return err
	}
	if err := f.checkStreamEnd(a); err != nil {
		return err
	}
	f.sendHead(t, a)
	return nil
}

// forward sends the whole events among new bytes to the caller. readBegan is when reading the
// bytes began. It returns an error if the bytes after them can't belong to the stream.
func (f *inflight) forward(t *trackedAttempt, a *upstream.Answer, p []byte, readBegan time.Time) error {
	events := f.events.Count()
	whole, fault := f.events.Add(p)
	err := f.forwardWhole(t, a, whole, f.events.Count() > events, readBegan)
	switch {
	case err != nil:
		return err
	case fault != nil:
		return &invalidStream{fault, a.Reused()}
	case len(whole) == 0 && !f.hold(f.events.Size()):
		return errNoEventMemory
	}
	return nil
}

// forwardWhole sends whole events, or comments between events, to the caller. It returns an error if there
// has been no event for too long.
func (f *inflight) forwardWhole(t *trackedAttempt, a *upstream.Answer, whole []byte, events bool, readBegan time.Time) error {
	if events {
		t.eventless.eventArrived()
		return f.forwardEvents(t, a, whole, readBegan)
	}
	now := time.Now()
	if t.eventless.bytesArrived(now, f.relay.state.holdUps.HeldUpUntil(now)) >= t.silenceTimeout {
		return errNoEvent
	}
	return f.forwardComments(whole)
}

// forwardComments sends comments to the caller. Before the first event they are left out, since they
// don't show that the endpoint runs the request.
func (f *inflight) forwardComments(comments []byte) error {
	if len(comments) == 0 {
		return nil
	}
	defer f.events.Consume(len(comments))
	if !f.headSent {
		return nil
	}
	return f.sink.WriteBody(comments)
}

// forwardEvents sends whole events to the caller.
func (f *inflight) forwardEvents(t *trackedAttempt, a *upstream.Answer, whole []byte, readBegan time.Time) error {
	now := time.Now()
	if f.route.Resumable {
		f.noteOrigin(now, t, a)
	}
	f.firstPiece(now, t)
	f.reportSettled(now, t)
	if !t.forwarded {
		f.reportBegan(now)
		t.waitsAfter.Store(0)
		f.relay.state.observeArrival(now, readBegan, t, f.events.Count())
	}
	f.sendHead(t, a)
	if !f.lastPieceAt.IsZero() {
		f.outcome.LongestPause = max(f.outcome.LongestPause, now.Sub(f.lastPieceAt))
	}
	f.lastPieceAt = now
	t.eventArrived(now, f.relay.state.holdUps.HeldUpUntil(now))
	err := f.sink.WriteBody(whole)
	f.events.Consume(len(whole))
	written := time.Now()
	t.eventSentAt = written
	t.run.written(written.Sub(now))
	if !t.forwarded {
		t.waitsAfter.Store(int64(written.Sub(t.sent)))
	}
	return err
}

// sendHead sends the head of the first endpoint's answer, once.
func (f *inflight) sendHead(t *trackedAttempt, a *upstream.Answer) {
	if !f.headSent {
		f.headSent = true
		if v, ok := f.sink.(VersionSink); ok && f.continuation.known {
			v.SetVersion(f.continuation.origin.Version)
		}
		f.setEndpoint(&t.choice.Endpoint)
		f.sink.Begin(a.Status, f.relay.protocol.Answer(a.Header))
	}
}

// setEndpoint sets the endpoint of the answer that the sink gets.
func (f *inflight) setEndpoint(e *roster.Endpoint) {
	if s, ok := f.sink.(EndpointSink); ok {
		s.SetEndpoint(e.ID, e.StartedAt)
	}
}

// forwardLong forwards an answer that is too long to be buffered; buffered is the
// part read so far.
func (f *inflight) forwardLong(ctx context.Context, t *trackedAttempt, a *upstream.Answer, buffered []byte) error {
	f.sendHead(t, a)
	if err := f.sink.WriteBody(buffered); err != nil {
		return err
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := f.sink.WriteBody(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return f.confirmEnd(ctx, t, a)
		}
		if err != nil {
			return err
		}
	}
}
