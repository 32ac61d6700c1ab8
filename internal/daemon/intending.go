package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// intentTimeout bounds the wait for a grant; nothing has run before it.
	intentTimeout = 3 * time.Second
	// forwardTimeout bounds the wait for a shard's writer, and then for its
	// standby. A stopped one neither answers nor refuses connections; as much
	// time is left to write here.
	forwardTimeout = intentTimeout / 3
)

// Intend implements dispatch.Intents.
func (d *ledgerDuty) Intend(ctx context.Context, ref request.Ref, owner string, digest request.Digest) dispatch.Intent {
	now := time.Now()
	key, err := ledger.ParseKey(now, string(ref.ID), ledger.DefaultWindow)
	if err != nil {
		return refusedIntent(problem.New(http.StatusBadRequest, verdict.NotRun, "Idempotency-Key: %s", err))
	}
	in := ledger.Intent{
		Workspace: ref.Workspace,
		Key:       key,
		Owner:     ledger.Owner(owner),
		Digest:    ledger.Digest(digest),
		Deadline:  now.Add(intentTimeout),
	}
	shard := ledger.ShardOf(in.Workspace, in.Key, ledgerShards)
	a := d.decide(ctx, shard, in)
	if deny, ok := a.(ledger.Deny); ok && deny.Existing.Outcome == nil {
		a = d.askHolder(ctx, shard, deny)
	}
	if refused, ok := a.(ledger.Refuse); ok && refused.MaybeRecorded {
		d.forget(shard, refused.Intent)
	}
	return intentOf(a)
}

// decide asks the shard's writer, or does without it when it is this daemon or
// does not answer: two writers are safe, they only conflict.
func (d *ledgerDuty) decide(ctx context.Context, shard int, in ledger.Intent) ledger.Action {
	p, ok := d.writer(shard)
	if !ok {
		return d.record(ctx, shard, in)
	}
	a, err := d.askPeer(ctx, p, shard, in)
	if err == nil {
		return a
	}
	d.log.Debugf("shard %d written by another: %v", shard, err)
	return d.fallBack(ctx, shard, in)
}

// askPeer forwards a wish to another daemon, for as long as there is time left
// to do without it.
func (d *ledgerDuty) askPeer(ctx context.Context, p peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return d.forward(ctx, p, shard, in)
}

// fallBack records the wish without the shard's writer, as a new owner: at the
// standby, so that the wishes of all daemons still go together, or here.
//
// The writer may have taken the first intent and then been paused or partitioned. When it
// continues, it refuses that intent as late and frees the key of its owner. If the same owner
// were granted the key elsewhere as well, its order would run, and so would the next one under
// the freed key. An earlier owner never dispatches, so freeing its key is always safe.
func (d *ledgerDuty) fallBack(ctx context.Context, shard int, first ledger.Intent) ledger.Action {
	out := []ledger.Intent{first}
	wish := again(first)
	if p, ok := d.standby(shard); ok {
		a, err := d.askPeer(ctx, p, shard, wish)
		if err == nil {
			return d.withdraw(shard, a, out)
		}
		out = append(out, wish)
		wish = again(wish)
	}
	return d.withdraw(shard, d.record(ctx, shard, wish), out)
}

// withdraw gives up the wishes that are out elsewhere, now that a later one is
// answered. A grant needs nothing: it keeps the others out.
func (d *ledgerDuty) withdraw(shard int, a ledger.Action, out []ledger.Intent) ledger.Action {
	switch a := a.(type) {
	case ledger.Refuse:
		for _, in := range out {
			d.forget(shard, in)
		}
	case ledger.Deny:
		for _, in := range out {
			if a.Existing.Owner == in.Owner {
				return ledger.Refuse{Intent: in, Reason: ledger.Late, MaybeRecorded: true}
			}
		}
	}
	return a
}

// askHolder asks the daemon that dispatched for the outcome: it wrote it, and
// the shard's writer may not have seen that yet. Where the daemon is gone, the
// store is read: it may have stored the outcome before it left.
func (d *ledgerDuty) askHolder(ctx context.Context, shard int, found ledger.Deny) ledger.Action {
	holder := holderOf(found.Existing.Owner)
	writer, other := d.writer(shard)
	if (other && writer.Daemon == holder) || (!other && holder == d.self) {
		return found // that is who was asked
	}
	second := again(found.Intent)
	switch a := d.askAt(ctx, holder, shard, second).(type) {
	case ledger.Deny:
		return a
	case ledger.Grant: // abandoned in between
		return a
	case ledger.Refuse:
		d.forget(shard, a.Intent)
	}
	d.forget(shard, second)
	return found
}

// askAt asks one daemon, this one included, and the store where that daemon
// can't be reached.
func (d *ledgerDuty) askAt(ctx context.Context, daemon fleet.DaemonID, shard int, in ledger.Intent) ledger.Action {
	if daemon == d.self {
		return d.record(ctx, shard, in)
	}
	if p, ok := d.daemon(daemon); ok {
		if a, err := d.askPeer(ctx, p, shard, in); err == nil {
			return a
		}
	}
	return d.recordFresh(ctx, shard, again(in))
}

// again returns the same wish of a new owner: a wish that is out at another
// daemon may still be recorded or freed there.
func again(in ledger.Intent) ledger.Intent {
	in.Owner += "/again"
	return in
}

// holderOf returns the daemon of an owner's name.
func holderOf(o ledger.Owner) fleet.DaemonID {
	daemon, _, _ := strings.Cut(string(o), "/")
	return fleet.DaemonID(daemon)
}

// intentOf turns the ledger's answer into what its users act on.
func intentOf(a ledger.Action) dispatch.Intent {
	switch a := a.(type) {
	case ledger.Grant:
		return dispatch.Intent{Granted: true, Owner: string(a.Intent.Owner)}
	case ledger.Deny:
		return dispatch.Intent{Existing: &dispatch.ExistingIntent{Outcome: a.Existing.Outcome}}
	case ledger.Refuse:
		return refusedIntent(refusedByLedger(a.Reason))
	default:
		return refusedIntent(refusedByLedger(ledger.StoreDown))
	}
}

func refusedByLedger(r ledger.RefuseReason) *problem.Problem {
	if r == ledger.KeyReused {
		return problem.New(http.StatusConflict, verdict.NotRun, "%s", r)
	}
	return problem.New(http.StatusServiceUnavailable, verdict.NotRun, "not dispatched: %s", r).WithRetryAfter(time.Second)
}

func refusedIntent(p *problem.Problem) dispatch.Intent { return dispatch.Intent{Refused: p} }
