// Package peer carries the messages between daemons over drpc.
package peer

import (
	"context"
	"net"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Serve answers other daemons on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, handler peerpb.DRPCPeerServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(drpcserver.New(mux).Serve(ctx, l))
}
