package endpoint

import (
	"context"
	"errors"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
)

// transport returns the transport for a request, with the current generation of
// connections.
func (p *pool) transport(ctx context.Context, once bool) (*generation, *answerhead.Transport) {
	gen := p.current()
	if once {
		return gen, p.singleUseTransport(ctx)
	}
	return gen, gen.transport
}

// wrapFailure returns the error of a failed exchange: stall if the watchdog ended
// it, which also retires the connections of its generation, otherwise err.
func (p *pool) wrapFailure(wd *watchdog, gen *generation, err error, stall *StallError) error {
	if wd.expired() {
		p.retire(gen)
		return Error.Wrap(stall)
	}
	if errors.Is(wd.ctx.Err(), context.DeadlineExceeded) {
		// The caller's own deadline passed: it may be too short, or the connection
		// may have stalled. A few new connections cost less than a pool of stalled
		// ones.
		p.retire(gen)
	}
	var invalid *answerhead.Error
	if errors.As(err, &invalid) {
		err = errors.Join(ErrMalformed, err)
	}
	return Error.Wrap(err)
}
