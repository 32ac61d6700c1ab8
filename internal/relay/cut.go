package relay

import (
	"context"
	"errors"
	"io"
	"syscall"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// cutOff reports whether an attempt ended with its connection, which was neither
// given up here nor silent.
func cutOff(ctx, attempt context.Context, e end, err error) bool {
	if !e.reached || e.whole || ctx.Err() != nil || attempt.Err() != nil {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// cut tells the observer of an attempt that was cut off.
func (f *flight) cut(t *track) {
	f.outcome.Request = f.key()
	e := &t.choice.Endpoint
	f.relay.observer.Cut(ends.Cut{
		Endpoint: e.ID, Born: e.Born, Address: e.Address, Request: f.outcome.Request, Sent: t.sent, Begun: t.first,
	})
}

// key returns the request's key, which costs the reading of its body.
func (f *flight) key() quarantine.Key {
	if f.known == (quarantine.Key{}) {
		f.known = quarantine.KeyOf(f.outcome.Workspace, f.request.Method, f.request.Target, f.request.Body)
	}
	return f.known
}
