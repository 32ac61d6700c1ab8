package relay

import (
	"io"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// readBufferBytes is the most that is read of an answer at once.
const readBufferBytes = 8 << 10

// forwardStream forwards events as they arrive. It returns nil if the stream is
// complete.
func (f *inflight) forwardStream(t *trackedAttempt, a *upstream.Answer) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := f.forward(t, a, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && !f.events.partial() {
			f.sendHead(t, a)
			return nil
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			f.events.discardPartial()
			return err
		}
	}
}

// forward sends the whole events among new bytes to the caller.
func (f *inflight) forward(t *trackedAttempt, a *upstream.Answer, p []byte) error {
	whole := f.events.add(p)
	if len(whole) == 0 {
		return nil
	}
	now := time.Now()
	if f.route.Resumable {
		f.noteOrigin(now, t, a)
	}
	f.firstPiece(t)
	if !t.forwarded {
		f.reportBegan(now)
	}
	f.sendHead(t, a)
	if !f.lastPieceAt.IsZero() {
		f.outcome.LongestPause = max(f.outcome.LongestPause, now.Sub(f.lastPieceAt))
	}
	f.lastPieceAt = now
	err := f.sink.WriteBody(whole)
	f.events.consume(len(whole))
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
func (f *inflight) forwardLong(t *trackedAttempt, a *upstream.Answer, buffered []byte) error {
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
			return nil
		}
		if err != nil {
			return err
		}
	}
}
