package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// handoverPeers carries hand-over messages for the dispatcher.
type handoverPeers struct {
	roster *roster
	client *peer.Client
}

var _ dispatch.Peers = (*handoverPeers)(nil)

// Members implements dispatch.Peers.
func (p *handoverPeers) Members() []request.Member {
	all := p.roster.view.Load().all
	out := make([]request.Member, 0, len(all))
	for _, m := range all {
		if m.Daemon != "" {
			out = append(out, request.Member{Daemon: m.Daemon, DataCentre: m.DataCentre, Serving: m.Serving})
		}
	}
	return out
}

func (p *handoverPeers) address(id fleet.DaemonID) (string, error) {
	m, ok := p.roster.view.Load().byRun[id]
	if !ok {
		return "", verdict.Wrap(verdict.NotRun, Error.New("daemon %s is not known", id))
	}
	return m.Peers, nil
}

// Offer implements dispatch.Peers.
func (p *handoverPeers) Offer(ctx context.Context, t *dispatch.Transfer) (request.Reply, error) {
	address, err := p.address(t.Offer.To)
	if err != nil {
		return request.Reply{}, err
	}
	reply, err := p.client.Peer(ctx, address).Transfer(ctx, transferToWire(t))
	if err != nil {
		return request.Reply{}, err
	}
	return request.Reply{
		Offer:  t.Offer,
		Answer: request.Answer(reply.GetAnswer()),
		Known:  request.Rank{Number: reply.GetKnownNumber(), Holder: fleet.DaemonID(reply.GetKnownHolder())},
	}, nil
}

// Withdraw implements dispatch.Peers.
func (p *handoverPeers) Withdraw(ctx context.Context, w request.Withdraw, deadline time.Time) (request.Rank, error) {
	address, err := p.address(w.To)
	if err != nil {
		return request.Rank{}, err
	}
	reply, err := p.client.Peer(ctx, address).Withdraw(ctx, &peerpb.WithdrawRequest{
		Request:        string(w.Ref.ID),
		Workspace:      string(w.Ref.Workspace),
		Number:         w.Rank.Number,
		Holder:         string(w.Rank.Holder),
		DeadlineMillis: deadline.UnixMilli(),
		To:             string(w.To),
	})
	if err != nil {
		return request.Rank{}, err
	}
	return request.Rank{Number: reply.GetNumber(), Holder: fleet.DaemonID(reply.GetHolder())}, nil
}

func transferToWire(t *dispatch.Transfer) *peerpb.TransferRequest {
	s := &t.Snapshot
	return &peerpb.TransferRequest{
		Request:        string(t.Offer.Ref.ID),
		Workspace:      string(t.Offer.Ref.Workspace),
		Number:         t.Offer.Number,
		From:           string(t.Offer.From),
		To:             string(t.Offer.To),
		Completion:     t.Completion,
		BodyDigest:     t.Digest[:],
		Generated:      s.Generated,
		Endpoint:       string(s.Endpoint),
		Stream:         s.Stream,
		Attempt:        s.Attempt,
		MayRun:         s.MayHaveRun,
		DeadlineMillis: s.Spec.Deadline.UnixMilli(),
		NonIdempotent:  s.Spec.NonIdempotent,
		LedgerOwner:    t.Owner,
		PromptTokens:   int64(s.Spec.PromptTokens),
	}
}

func transferFromWire(q *peerpb.TransferRequest) (*dispatch.Transfer, error) {
	ref := request.Ref{Workspace: fleet.WorkspaceID(q.GetWorkspace()), ID: fleet.RequestID(q.GetRequest())}
	t := &dispatch.Transfer{
		Offer: request.Offer{
			Ref:    ref,
			Number: q.GetNumber(),
			From:   fleet.DaemonID(q.GetFrom()),
			To:     fleet.DaemonID(q.GetTo()),
		},
		Snapshot: request.Snapshot{
			Spec: request.Spec{
				Ref:           ref,
				NonIdempotent: q.GetNonIdempotent(),
				Deadline:      time.UnixMilli(q.GetDeadlineMillis()),
				PromptTokens:  int(q.GetPromptTokens()),
			},
			Attempt:    q.GetAttempt(),
			MayHaveRun: q.GetMayRun(),
			Endpoint:   fleet.EndpointID(q.GetEndpoint()),
			Stream:     q.GetStream(),
			Generated:  q.GetGenerated(),
		},
		Completion: q.GetCompletion(),
		Owner:      q.GetLedgerOwner(),
	}
	if len(q.GetBodyDigest()) != len(t.Digest) {
		return nil, Error.New("a digest has %d bytes, not %d", len(t.Digest), len(q.GetBodyDigest()))
	}
	copy(t.Digest[:], q.GetBodyDigest())
	return t, nil
}

// Transfer implements peerpb.DRPCPeerServer.
func (s *peerServer) Transfer(_ context.Context, q *peerpb.TransferRequest) (*peerpb.TransferReply, error) {
	t, err := transferFromWire(q)
	if err != nil {
		return nil, err
	}
	r := s.dispatcher.Take(t)
	return &peerpb.TransferReply{
		Answer:      uint32(r.Answer),
		KnownNumber: r.Known.Number,
		KnownHolder: string(r.Known.Holder),
	}, nil
}

// Withdraw implements peerpb.DRPCPeerServer. A later run of the daemon that is
// addressed knows nothing of what its predecessor held.
func (s *peerServer) Withdraw(_ context.Context, q *peerpb.WithdrawRequest) (*peerpb.WithdrawReply, error) {
	if fleet.DaemonID(q.GetTo()) != s.daemon {
		return &peerpb.WithdrawReply{}, nil
	}
	ref := request.Ref{Workspace: fleet.WorkspaceID(q.GetWorkspace()), ID: fleet.RequestID(q.GetRequest())}
	rank := request.Rank{Number: q.GetNumber(), Holder: fleet.DaemonID(q.GetHolder())}
	before := s.dispatcher.HandleWithdraw(ref, rank, time.UnixMilli(q.GetDeadlineMillis()))
	return &peerpb.WithdrawReply{Number: before.Number, Holder: string(before.Holder)}, nil
}
