package relay

import (
	"io"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// pieceBytes is the most that is read of a stream at once.
const pieceBytes = 8 << 10

// stream passes events on as they come. A nil error is the stream's whole end.
func (f *flight) stream(t *track, a *upstream.Answer) error {
	buf := make([]byte, pieceBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := f.pass(t, a, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && !f.events.partial() {
			f.begin(a)
			return nil
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			f.events.drop()
			return err
		}
	}
}

// pass passes the whole events among new bytes on.
func (f *flight) pass(t *track, a *upstream.Answer, p []byte) error {
	whole := f.events.add(p)
	if len(whole) == 0 {
		return nil
	}
	now := time.Now()
	f.first(t)
	f.began(now)
	f.begin(a)
	if !f.passed.IsZero() {
		f.outcome.Pause = max(f.outcome.Pause, now.Sub(f.passed))
	}
	f.passed = now
	err := f.sink.Events(whole)
	f.events.consume(len(whole))
	return err
}

// begin sends the head of the first endpoint's answer, once.
func (f *flight) begin(a *upstream.Answer) {
	if !f.begun {
		f.begun = true
		f.sink.Begin(a.Status, f.relay.protocol.Answer(a.Header))
	}
}

// long passes an answer on that is too long to be held.
func (f *flight) long(a *upstream.Answer, held []byte) error {
	f.begin(a)
	if err := f.sink.Events(held); err != nil {
		return err
	}
	buf := make([]byte, pieceBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := f.sink.Events(buf[:n]); err != nil {
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
