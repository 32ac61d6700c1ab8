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

// forwardStream forwards events as they arrive. It returns nil if the stream is
// complete.
func (f *inflight) forwardStream(ctx context.Context, t *trackedAttempt, a *upstream.Answer) error {
	defer t.waitsAfter.Store(0)
	buf := make([]byte, readBufferBytes)
	check, reported := eventstream.New(f.events.lastID, maxEventBytes), false
	for {
		began := time.Now()
		n, err := a.Body.Read(buf)
		if n > 0 {
			whole, fault := check.Add(buf[:n])
			check.Consume(len(whole))
			if fault != nil && !reported {
				reported = true
				f.reportInvalid(t, fault, a.Reused())
			}
			if err := f.forward(t, a, buf[:n], began); err != nil {
				return err
			}
		}
		if err == io.EOF {
			err = f.endStream(ctx, t, a)
			if err == nil {
				return nil
			}
		}
		if err != nil {
			f.events.discardPartial()
			return err
		}
	}
}

// endStream ends a stream that was read to its end. It returns an error if the stream has been
// cut off there.
func (f *inflight) endStream(ctx context.Context, t *trackedAttempt, a *upstream.Answer) error {
	if f.events.partial() {
		return io.ErrUnexpectedEOF
	}
	if err := f.confirmEnd(ctx, t, a); err != nil {
		return err
	}
	f.sendHead(t, a)
	return nil
}

// forward sends the whole events among new bytes to the caller. readBegan is when reading the
// bytes began.
func (f *inflight) forward(t *trackedAttempt, a *upstream.Answer, p []byte, readBegan time.Time) error {
	whole := f.events.add(p)
	if len(whole) == 0 {
		if f.events.length() > maxEventBytes || !f.hold(f.events.size()) {
			return errEventTooLong
		}
		return nil
	}
	now := time.Now()
	if f.route.Resumable {
		f.noteOrigin(now, t, a)
	}
	f.firstPiece(now, t)
	f.reportSettled(now, t)
	if !t.forwarded {
		f.reportBegan(now)
		t.waitsAfter.Store(0)
		f.relay.state.observeArrival(now, readBegan, t, f.events.count)
	}
	f.sendHead(t, a)
	if !f.lastPieceAt.IsZero() {
		f.outcome.LongestPause = max(f.outcome.LongestPause, now.Sub(f.lastPieceAt))
	}
	f.lastPieceAt = now
	t.eventArrived(now, f.relay.state.holdUps.HeldUpUntil(now))
	err := f.sink.WriteBody(whole)
	f.events.consume(len(whole))
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
