package endpoint

import (
	"context"
	"errors"
	"net/http"
)

// transport returns what a request is to be sent with.
func (p *pool) transport(ctx context.Context, once bool) (*generation, *http.Transport) {
	gen := p.current()
	if once {
		return gen, p.singleUseTransport(ctx)
	}
	return gen, gen.transport
}

// wrapFailure names the error of an exchange, and retires the connections of its
// age if it was a silence.
func (p *pool) wrapFailure(wd *watchdog, gen *generation, err error, stall *StallError) error {
	if wd.expired() {
		p.retire(gen)
		return Error.Wrap(stall)
	}
	if errors.Is(wd.ctx.Err(), context.DeadlineExceeded) {
		// The caller's own deadline: perhaps too short, perhaps a silence. A few
		// new connections cost less than a pool of silent ones.
		p.retire(gen)
	}
	return Error.Wrap(err)
}
