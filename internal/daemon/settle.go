package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Settle implements dispatch.Intents.
func (d *ledgerDuty) Settle(ref request.Ref, owner string, digest request.Digest, o ledger.Outcome) {
	d.settle(ref, ledger.Owner(owner), digest, o)
}

// settle stores the outcome of a granted intent.
func (d *ledgerDuty) settle(ref request.Ref, owner ledger.Owner, digest request.Digest, o ledger.Outcome) {
	in, ok := granted(ref, owner, digest)
	if !ok {
		return
	}
	d.tell(func(now time.Time, s *ledgerState) { s.own.add(now, in, o) })
	d.change(in, &o)
}

// abandon frees a key whose one dispatch certainly did not run.
func (d *ledgerDuty) abandon(ref request.Ref, owner ledger.Owner, digest request.Digest) {
	if in, ok := granted(ref, owner, digest); ok {
		d.change(in, nil)
	}
}

// granted returns an intent as it was granted. A change replaces the whole
// record, so it carries the digest: without it, a repeat of the same request
// would be taken for another one under the same key.
func granted(ref request.Ref, owner ledger.Owner, digest request.Digest) (ledger.Intent, bool) {
	key, err := ledger.ParseKey(time.Now(), string(ref.ID), 2*ledger.DefaultWindow)
	in := ledger.Intent{Workspace: ref.Workspace, Key: key, Owner: owner, Digest: ledger.Digest(digest)}
	return in, err == nil
}

// change stores an outcome, or frees the key where there is none, through the
// shard's writer: two writers of one shard conflict at each write, and at many
// orders a second most outcomes would be lost to it.
func (d *ledgerDuty) change(in ledger.Intent, o *ledger.Outcome) {
	shard := ledger.ShardOf(in.Workspace, in.Key, ledgerShards)
	p, other := d.writer(shard)
	if !other {
		d.changeHere(shard, in, o)
		return
	}
	d.changing.Add(1)
	go func() {
		defer d.changing.Add(-1)
		ctx, cancel := context.WithTimeout(d.ctx, forwardTimeout)
		defer cancel()
		if err := d.settleAt(ctx, p, shard, in, o); err != nil {
			d.log.Debugf("shard %d changed here: %v", shard, err)
			d.changeHere(shard, in, o)
		}
	}()
}

// changeHere changes a record by this daemon's own writer of the shard.
func (d *ledgerDuty) changeHere(shard int, in ledger.Intent, o *ledger.Outcome) {
	d.tell(func(now time.Time, s *ledgerState) {
		w := s.shard(shard)
		if o == nil {
			d.perform(s, w, w.Abandon(now, in))
			return
		}
		s.own.add(now, in, *o) // who dispatched may be gone before it is stored
		d.perform(s, w, w.Outcome(now, in, *o))
	})
}

// settleAt asks another daemon, the shard's writer, to change a record.
func (d *Daemon) settleAt(ctx context.Context, p peerInfo, shard int, in ledger.Intent, o *ledger.Outcome) error {
	q := &peerpb.SettleRequest{Shard: uint32(shard), Intent: intentToWire(shard, in).GetIntents()[0]}
	if o != nil {
		text, err := json.Marshal(o)
		if err != nil {
			return Error.Wrap(err)
		}
		q.Outcome = text
	}
	_, err := d.peers.Peer(ctx, p.Peers).Settle(ctx, q)
	return Error.Wrap(err)
}

// Settle implements peerpb.DRPCPeerServer.
func (s *peerServer) Settle(_ context.Context, q *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	in, err := intentFromWire(time.Now(), q.GetIntent())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var o *ledger.Outcome
	if len(q.GetOutcome()) > 0 {
		o = new(ledger.Outcome)
		if err := json.Unmarshal(q.GetOutcome(), o); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	s.ledger.changeHere(int(q.GetShard()), in, o)
	return &peerpb.SettleReply{}, nil
}
