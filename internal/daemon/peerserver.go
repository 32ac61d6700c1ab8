package daemon

import (
	"context"

	"storj.io/drpc/drpcerr"

	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
)

// peerServer answers other daemons.
type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	dispatcher    *dispatch.Dispatcher
	locator       *locator
	configuration *configurationDuty
	ledger        *ledgerDuty
	sharing       *sharingDuty
	crashes       *crashDuty
	daemon        fleet.DaemonID
}

var _ peerpb.DRPCPeerServer = (*peerServer)(nil)

// Register implements peerpb.DRPCPeerServer.
func (s *peerServer) Register(_ context.Context, q *peerpb.RegisterRequest) (*peerpb.RegisterReply, error) {
	all := make([]directory.Holding, 0, len(q.GetHoldings()))
	for _, h := range q.GetHoldings() {
		all = append(all, holdingFromWire(h))
	}
	s.locator.register(all)
	return &peerpb.RegisterReply{}, nil
}

// Claim implements peerpb.DRPCPeerServer.
func (s *peerServer) Claim(_ context.Context, q *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	won := s.locator.claim(holdingFromWire(q.GetHolding()))
	return &peerpb.ClaimReply{Holding: holdingToWire(won)}, nil
}

// Lookup implements peerpb.DRPCPeerServer.
func (s *peerServer) Lookup(_ context.Context, q *peerpb.LookupRequest) (*peerpb.LookupReply, error) {
	h, ok := s.locator.lookup(fleet.RequestID(q.GetRequest()))
	if !ok {
		return &peerpb.LookupReply{}, nil
	}
	return &peerpb.LookupReply{Holding: holdingToWire(h)}, nil
}

// Cancel implements peerpb.DRPCPeerServer.
func (s *peerServer) Cancel(_ context.Context, q *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	known := s.dispatcher.CancelLocal(fleet.WorkspaceID(q.GetWorkspace()), fleet.RequestID(q.GetRequest()))
	return &peerpb.CancelReply{Known: known}, nil
}

// Follow implements peerpb.DRPCPeerServer. An empty piece comes first and says
// that the request is held here.
func (s *peerServer) Follow(q *peerpb.FollowRequest, stream peerpb.DRPCPeer_FollowStream) error {
	a, err := s.dispatcher.LocalAnswerMatching(fleet.WorkspaceID(q.GetWorkspace()), fleet.RequestID(q.GetRequest()), digestIn(stream.Context()))
	if err != nil {
		return drpcerr.WithCode(err, codeOtherBody)
	}
	if a == nil {
		return errUnknownRequest
	}
	defer a.Close()
	if err := stream.Send(&peerpb.Piece{Offset: q.GetFrom(), Model: a.Model()}); err != nil {
		return err
	}
	at := int(q.GetFrom())
	for {
		p, err := a.Next(stream.Context(), at)
		if err != nil {
			return err
		}
		if err := stream.Send(pieceToWire(at, &p)); err != nil {
			return err
		}
		at += len(p.Tokens)
		if p.Done || p.MovedTo != "" || p.Failure != nil {
			return nil
		}
	}
}

func pieceToWire(at int, p *gateway.Part) *peerpb.Piece {
	out := &peerpb.Piece{Offset: int64(at), Tokens: p.Tokens, Done: p.Done, MovedTo: p.MovedTo}
	if p.Done {
		out.PromptTokens = int64(p.Usage.PromptTokens)
		out.CachedTokens = int64(p.Usage.CachedTokens)
	}
	if p.Failure != nil {
		out.Failure = p.Failure.Detail
		out.Verdict = p.Failure.Verdict.String()
	}
	return out
}

// Templates implements peerpb.DRPCPeerServer. A daemon that has not caught up
// itself answers with an error: an empty answer would say that there is
// nothing to have.
func (s *peerServer) Templates(_ context.Context, q *peerpb.TemplatesRequest) (*peerpb.TemplatesReply, error) {
	newer, ok := s.configuration.newer(q.GetHave())
	if !ok {
		return nil, errNotCaughtUp
	}
	out := &peerpb.TemplatesReply{}
	for _, r := range newer {
		out.Templates = append(out.Templates, &peerpb.VersionedTemplate{
			Name: r.Name, Version: r.Version, Value: r.Value, Deleted: r.Deleted,
		})
	}
	return out, nil
}
