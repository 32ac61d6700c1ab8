package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Keep implements dispatch.Peers.
func (p *handoverPeers) Keep(ctx context.Context, to fleet.DaemonID, f *dispatch.Finished) error {
	address, err := p.address(to)
	if err != nil {
		return err
	}
	reply, err := p.client.Peer(ctx, address).Keep(ctx, &peerpb.KeepRequest{
		Request:        string(f.Ref.ID),
		Workspace:      string(f.Ref.Workspace),
		Number:         f.Number,
		BodyDigest:     f.Digest[:],
		Model:          f.Model,
		Tokens:         f.Tokens,
		PromptTokens:   int64(f.Usage.PromptTokens),
		CachedTokens:   int64(f.Usage.CachedTokens),
		DeadlineMillis: f.Spec.Deadline.UnixMilli(),
	})
	if err != nil {
		return err
	}
	if !reply.GetTaken() {
		return Error.New("daemon %s did not take the answer", to)
	}
	return nil
}

// Keep implements peerpb.DRPCPeerServer.
func (s *peerServer) Keep(_ context.Context, q *peerpb.KeepRequest) (*peerpb.KeepReply, error) {
	ref := request.Ref{Workspace: fleet.WorkspaceID(q.GetWorkspace()), ID: fleet.RequestID(q.GetRequest())}
	f := &dispatch.Finished{
		Ref:    ref,
		Number: q.GetNumber(),
		Model:  q.GetModel(),
		Tokens: q.GetTokens(),
		Usage: engineapi.Usage{
			PromptTokens:     int(q.GetPromptTokens()),
			CachedTokens:     int(q.GetCachedTokens()),
			CompletionTokens: len(q.GetTokens()),
		},
		Spec: request.Spec{Ref: ref, Deadline: time.UnixMilli(q.GetDeadlineMillis()), PromptTokens: int(q.GetPromptTokens())},
	}
	if len(q.GetBodyDigest()) != len(f.Digest) {
		return nil, Error.New("a digest has %d bytes, not %d", len(f.Digest), len(q.GetBodyDigest()))
	}
	copy(f.Digest[:], q.GetBodyDigest())
	return &peerpb.KeepReply{Taken: s.dispatcher.Keep(f)}, nil
}
