package exchange

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// Handler handles the calls of other daemons.
type Handler interface {
	// Report handles a report and returns the reply.
	Report(Report) Reply
	// Fetch returns a piece of a configuration.
	Fetch(spread.Want) (spread.Piece, error)
}

// Serve serves calls on a listener until the context ends.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	mux := drpcmux.New()
	if err := exchangepb.DRPCRegisterExchange(mux, &server{handler: h}); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(drpcserver.New(mux).Serve(ctx, l))
}

type server struct {
	exchangepb.DRPCExchangeUnimplementedServer
	handler Handler
}

// Tell implements the generated interface.
func (s *server) Tell(_ context.Context, r *exchangepb.Report) (*exchangepb.Totals, error) {
	reply := s.handler.Report(decodeReport(r))
	return encodeReply(&reply), nil
}

// Fetch implements the generated interface.
func (s *server) Fetch(_ context.Context, w *exchangepb.Want) (*exchangepb.Piece, error) {
	piece, err := s.handler.Fetch(decodeWant(w))
	if err != nil {
		return nil, err
	}
	return encodePiece(piece), nil
}
