package exchange

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
)

// Serve answers reports on a listener with tell until the context ends.
func Serve(ctx context.Context, l net.Listener, tell func(Part) Sum) error {
	mux := drpcmux.New()
	if err := exchangepb.DRPCRegisterExchange(mux, &server{tell: tell}); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(drpcserver.New(mux).Serve(ctx, l))
}

type server struct {
	exchangepb.DRPCExchangeUnimplementedServer
	tell func(Part) Sum
}

// Tell implements the generated interface.
func (s *server) Tell(_ context.Context, r *exchangepb.Report) (*exchangepb.Totals, error) {
	sum := s.tell(decodePart(r))
	return encodeSum(&sum), nil
}
