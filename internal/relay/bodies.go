package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// ErrNoMemory means that the bodies of the requests in progress leave no room for another one.
var ErrNoMemory = errs.New("no memory for the request's body")

const (
	// freeBodyBytes is the largest body that takes nothing from the limit.
	freeBodyBytes = 4 << 10
	// maxBodyWait bounds the wait for memory, and bodyWaitShare is the most of a request's time that
	// is spent on it: callers give up requests that aren't read.
	maxBodyWait   = 250 * time.Millisecond
	bodyWaitShare = 0.1
	// noMemoryRetryAfter is the retry delay of a request whose body finds no memory.
	noMemoryRetryAfter = 400 * time.Millisecond
)

// Bodies holds the bodies of requests within one limit of memory. It is safe for concurrent use.
type Bodies struct {
	limit    *memlimit.Limit
	shortage func()
}

// NewBodies returns a holder of bodies within a limit.
func NewBodies(l *memlimit.Limit) *Bodies { return &Bodies{limit: l, shortage: func() {}} }

// OnShortage sets a function that is called before a body waits for memory, and may end the reading of
// others. It must be called before Read.
func (b *Bodies) OnShortage(f func()) { b.shortage = f }

// Body is a request's body in memory.
type Body struct {
	Bytes  []byte
	bodies *Bodies
	held   int64
}

// Release ends the use of the body's memory.
func (b *Body) Release() {
	if b.held > 0 {
		b.bodies.limit.Give(b.held)
		b.held = 0
	}
}

// Read reads a body. length is what its sender states, below 0 if it states none, and timeLeft how
// long the sender waits. Memory for the whole of it is taken before it is read, so that bodies that
// arrive slowly don't hold each other up. It returns ErrNoMemory if there is none; Release must be
// called after any other end.
func (b *Bodies) Read(ctx context.Context, r io.Reader, length int64, timeLeft time.Duration) (*Body, error) {
	out := &Body{bodies: b}
	wait := min(maxBodyWait, time.Duration(bodyWaitShare*float64(timeLeft)))
	if !out.hold(ctx, length, wait) {
		return out, ErrNoMemory
	}
	if length >= 0 {
		out.Bytes = make([]byte, length)
		_, err := io.ReadFull(r, out.Bytes)
		return out, err
	}
	return out, out.readChunks(ctx, r, wait)
}

// hold takes memory for a body of a size, beyond what it has.
func (b *Body) hold(ctx context.Context, size int64, wait time.Duration) bool {
	if size <= freeBodyBytes || size <= b.held {
		return true
	}
	more := size - b.held
	if !b.bodies.limit.Take(more) {
		b.bodies.shortage()
		if !b.bodies.limit.Wait(ctx, more, wait) {
			return false
		}
	}
	b.held = size
	return true
}

// readChunks reads a body of unknown length.
func (b *Body) readChunks(ctx context.Context, r io.Reader, wait time.Duration) error {
	b.Bytes = make([]byte, 0, freeBodyBytes)
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			larger := 2 * cap(b.Bytes)
			if !b.hold(ctx, int64(larger), wait) {
				return ErrNoMemory
			}
			b.Bytes = append(make([]byte, 0, larger), b.Bytes...)
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// RefuseBody returns the refusal of a request whose body finds no memory.
func RefuseBody() Refusal {
	return Refusal{Reason: NoMemory, Verdict: verdict.NotRun, RetryAfter: jitter(noMemoryRetryAfter, rand.Float64())}
}
