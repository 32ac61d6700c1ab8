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
		return gen, p.once(ctx)
	}
	return gen, gen.transport
}

// failure names the error of an exchange, and retires the connections of its
// age if it was a silence.
func (p *pool) failure(dog *watchdog, gen *generation, err error, silent *Silent) error {
	if dog.silent() {
		p.retire(gen)
		return Error.Wrap(silent)
	}
	if errors.Is(dog.ctx.Err(), context.DeadlineExceeded) {
		// The caller's own deadline: perhaps too short, perhaps a silence. A few
		// new connections cost less than a pool of silent ones.
		p.retire(gen)
	}
	return Error.Wrap(err)
}
