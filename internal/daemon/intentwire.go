package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
)

func intentToWire(shard int, in ledger.Intent) *peerpb.IntendRequest {
	return &peerpb.IntendRequest{
		Shard: uint32(shard),
		Intents: []*peerpb.Intent{{
			Key:            in.Key.ID.String(),
			Workspace:      string(in.Workspace),
			Owner:          string(in.Owner),
			Digest:         in.Digest[:],
			DeadlineMillis: in.Deadline.UnixMilli(),
		}},
	}
}

func intentFromWire(now time.Time, in *peerpb.Intent) (ledger.Intent, error) {
	key, err := ledger.ParseKey(now, in.GetKey(), ledger.DefaultWindow)
	if err != nil {
		return ledger.Intent{}, err
	}
	out := ledger.Intent{
		Workspace: fleet.WorkspaceID(in.GetWorkspace()),
		Key:       key,
		Owner:     ledger.Owner(in.GetOwner()),
		Deadline:  time.UnixMilli(in.GetDeadlineMillis()),
	}
	if len(in.GetDigest()) != len(out.Digest) {
		return out, Error.New("a digest has %d bytes, not %d", len(out.Digest), len(in.GetDigest()))
	}
	copy(out.Digest[:], in.GetDigest())
	return out, nil
}

// Intend implements peerpb.DRPCPeerServer.
func (s *peerServer) Intend(ctx context.Context, q *peerpb.IntendRequest) (*peerpb.IntendReply, error) {
	out := &peerpb.IntendReply{}
	for _, wire := range q.GetIntents() {
		in, err := intentFromWire(time.Now(), wire)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		ctx, cancel := context.WithDeadline(ctx, in.Deadline)
		a := s.ledger.record(ctx, int(q.GetShard()), in)
		cancel()
		result, err := intentResultToWire(wire.GetKey(), a)
		if err != nil {
			return nil, err
		}
		out.Results = append(out.Results, result)
	}
	return out, nil
}

func intentResultToWire(key string, a ledger.Action) (*peerpb.IntentResult, error) {
	out := &peerpb.IntentResult{Key: key}
	switch a := a.(type) {
	case ledger.Grant:
		out.Granted = true
	case ledger.Deny:
		existing, err := json.Marshal(a.Existing)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		out.Existing = existing
	case ledger.Refuse:
		out.Refused = a.Reason.String()
		out.RefusedReason = uint32(a.Reason)
		out.Recorded = a.MaybeRecorded
	}
	return out, nil
}

func intentResultFromWire(in ledger.Intent, r *peerpb.IntentResult) (ledger.Action, error) {
	switch {
	case r.GetGranted():
		return ledger.Grant{Intent: in}, nil
	case len(r.GetExisting()) > 0:
		var existing ledger.Record
		if err := json.Unmarshal(r.GetExisting(), &existing); err != nil {
			return nil, Error.Wrap(err)
		}
		return ledger.Deny{Intent: in, Existing: existing}, nil
	case r.GetRefused() != "":
		return ledger.Refuse{Intent: in, Reason: ledger.RefuseReason(r.GetRefusedReason()), MaybeRecorded: r.GetRecorded()}, nil
	default:
		return nil, Error.New("writer's result is empty")
	}
}
