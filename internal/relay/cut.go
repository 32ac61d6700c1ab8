package relay

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// Cut is an attempt whose connection was ended from the endpoint's side before
// its answer was whole.
type Cut struct {
	Endpoint roster.Endpoint
	Request  quarantine.Key
	Sent     time.Time
	// Begun says that a piece of the answer had come: the endpoint had run it
	// for a while.
	Begun bool
}

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
	f.relay.observer.Cut(Cut{Endpoint: t.choice.Endpoint, Request: f.outcome.Request, Sent: t.sent, Begun: t.first})
}

// key returns the request's key, which costs the reading of its body.
func (f *flight) key() quarantine.Key {
	if f.known == (quarantine.Key{}) {
		f.known = quarantine.KeyOf(f.outcome.Workspace, f.request.Method, f.request.Target, f.request.Body)
	}
	return f.known
}
