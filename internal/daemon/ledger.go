package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

const (
	// ledgerKind is the kind of the ledger's objects.
	ledgerKind = "ledger"
	// ledgerShards spreads the writes; each shard's batches follow each other,
	// and wait for their part of the platform's budget. It must be the same
	// everywhere and for ever. See docs/adr/0012-platform-budget.md.
	ledgerShards = 4
	ledgerRing   = 4096
	// ledgerTick bounds how late a batch leaves after its linger.
	ledgerTick = 2 * time.Millisecond
	// ledgerIdleTick is how often late intents and reads to be tried again are
	// looked for.
	ledgerIdleTick = 100 * time.Millisecond
	// storeTimeout bounds a call to the store, the wait for the budget included:
	// a write that leaves later than its intents wait is of no use to them.
	storeTimeout = 2 * time.Second
)

// ledgerState is what the duty owns.
type ledgerState struct {
	shards  map[int]*shardWriter
	fresh   map[*shardWriter]struct{} // each made for one question
	waiting map[ledger.Owner]chan ledger.Action
	own     *outcomes // of this daemon's orders, until they are stored
}

// shardWriter is a writer of one shard with its calls to the store.
type shardWriter struct {
	*ledger.GroupCommit
	calls int // that are out
}

func newShardWriter(shard int) *shardWriter {
	return &shardWriter{GroupCommit: ledger.NewGroupCommit(shard, ledger.DefaultGroupPolicy())}
}

// quiet reports whether nothing is left to be written.
func (w *shardWriter) quiet() bool { return w.calls == 0 && w.Next().IsZero() }

// ledgerDuty records non-idempotent requests before their one dispatch.
type ledgerDuty struct {
	*owner[*ledgerState]
	ctx     context.Context
	objects outside.Objects
	writer  func(shard int) (peerInfo, bool) // another daemon that writes the shard
	standby func(shard int) (peerInfo, bool) // another daemon that writes it when that one doesn't answer
	forward func(ctx context.Context, p peerInfo, shard int, in ledger.Intent) (ledger.Action, error)
	// settleAt asks another daemon, the shard's writer, to change a record.
	settleAt func(ctx context.Context, p peerInfo, shard int, in ledger.Intent, o *ledger.Outcome) error
	changing atomic.Int64 // changes that other daemons are asked for
	self     fleet.DaemonID
	daemon   func(fleet.DaemonID) (peerInfo, bool)
	log      *logrus.Entry
}

var _ dispatch.Intents = (*ledgerDuty)(nil)

func newLedgerDuty(objects outside.Objects, log *logrus.Entry) *ledgerDuty {
	return &ledgerDuty{
		owner: newOwner("ledger", ledgerRing, &ledgerState{
			shards:  make(map[int]*shardWriter),
			fresh:   make(map[*shardWriter]struct{}),
			waiting: make(map[ledger.Owner]chan ledger.Action),
			own:     newOutcomes(),
		}),
		objects: objects.As(budget.Intent),
		standby: func(int) (peerInfo, bool) { return peerInfo{}, false },
		log:     log,
	}
}

func (d *ledgerDuty) start(ctx context.Context) {
	d.ctx = ctx
	go d.runDue(ctx, nextLedgerTick, func(now time.Time, s *ledgerState) {
		for _, w := range s.shards {
			d.perform(s, w, w.Tick(now))
		}
		for w := range s.fresh {
			d.perform(s, w, w.Tick(now))
		}
	})
}

// nextLedgerTick returns when the next batch has lingered, and at the latest
// when calls and late intents are to be looked at.
func nextLedgerTick(now time.Time, s *ledgerState) time.Time {
	due := now.Add(ledgerIdleTick)
	earlier := func(w *shardWriter) {
		if at := w.Next(); !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	for _, w := range s.shards {
		earlier(w)
	}
	for w := range s.fresh {
		earlier(w)
	}
	return later(due, now.Add(ledgerTick))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *ledgerState) shard(n int) *shardWriter {
	w, ok := s.shards[n]
	if !ok {
		w = newShardWriter(n)
		s.shards[n] = w
	}
	return w
}

// perform carries out actions on the owner's goroutine; calls to the store get
// goroutines of their own.
func (d *ledgerDuty) perform(s *ledgerState, w *shardWriter, actions []ledger.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ledger.Write:
			w.calls++
			go d.write(w, a)
		case ledger.Read:
			w.calls++
			go d.read(w, a)
		case ledger.List:
			w.calls++
			go d.list(w, a)
		case ledger.Grant:
			s.answer(a.Intent.Owner, a)
		case ledger.Deny:
			s.answer(a.Intent.Owner, a)
		case ledger.Refuse:
			s.answer(a.Intent.Owner, a)
		}
	}
}

func (s *ledgerState) answer(o ledger.Owner, a ledger.Action) {
	if c, ok := s.waiting[o]; ok {
		delete(s.waiting, o)
		c <- a
	}
}

func (d *ledgerDuty) write(to *shardWriter, w ledger.Write) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	var object objectapi.Object
	var err error
	if w.Version == 0 {
		object, err = d.objects.Create(ctx, ledgerKind, w.Name, w.Value)
	} else {
		object, err = d.objects.Update(ctx, ledgerKind, w.Name, w.Value, w.Version)
	}
	result := ledger.WriteResult{Call: w.Call, Status: ledger.Written, Version: object.Version}
	var conflict *outside.Conflict
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		result.Status = ledger.Conflict
		result.Current = &ledger.Object{Version: conflict.Current.Version, Value: conflict.Current.Value}
	case outside.NoEffect(err):
		result.Status = ledger.Unavailable
	default:
		result.Status = ledger.Ambiguous
	}
	d.tell(func(now time.Time, s *ledgerState) {
		to.calls--
		d.perform(s, to, to.Written(now, result))
	})
}

func (d *ledgerDuty) read(to *shardWriter, r ledger.Read) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	object, err := d.objects.Get(ctx, ledgerKind, r.Name)
	var missing *outside.NotFound
	result := ledger.ReadResult{Call: r.Call, OK: true}
	switch {
	case err == nil:
		result.Object = ledger.Object{Version: object.Version, Value: object.Value}
	case errors.As(err, &missing):
	default:
		result.OK = false
	}
	d.tell(func(now time.Time, s *ledgerState) {
		to.calls--
		d.perform(s, to, to.ReadBack(now, result))
	})
}

func (d *ledgerDuty) list(to *shardWriter, l ledger.List) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	all, err := d.objects.List(ctx, ledgerKind, l.Prefix)
	result := ledger.ListResult{Call: l.Call, OK: err == nil, Objects: make(map[string]ledger.Object, len(all.Objects))}
	for _, o := range all.Objects {
		result.Objects[o.Name] = ledger.Object{Version: o.Version, Value: o.Value}
	}
	d.tell(func(now time.Time, s *ledgerState) {
		to.calls--
		d.perform(s, to, to.Listed(now, result))
	})
}

// record asks this daemon's own writer of the shard.
func (d *ledgerDuty) record(ctx context.Context, shard int, in ledger.Intent) ledger.Action {
	return d.recordBy(ctx, in, func(s *ledgerState) *shardWriter { return s.shard(shard) })
}

// recordFresh asks a writer that knows nothing yet and so reads the store.
func (d *ledgerDuty) recordFresh(ctx context.Context, shard int, in ledger.Intent) ledger.Action {
	w := newShardWriter(shard)
	defer d.tell(func(_ time.Time, s *ledgerState) { delete(s.fresh, w) })
	return d.recordBy(ctx, in, func(s *ledgerState) *shardWriter {
		s.fresh[w] = struct{}{}
		return w
	})
}

func (d *ledgerDuty) recordBy(ctx context.Context, in ledger.Intent, writer func(*ledgerState) *shardWriter) ledger.Action {
	answer := make(chan ledger.Action, 1)
	asked := d.ask(func(now time.Time, s *ledgerState) {
		if known := s.own.answer(now, in); known != nil {
			answer <- known
			return
		}
		s.waiting[in.Owner] = answer
		w := writer(s)
		d.perform(s, w, w.Intend(now, in))
	})
	if !asked {
		return ledger.Refuse{Intent: in, Reason: ledger.Overloaded}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	case <-d.done:
	}
	return ledger.Refuse{Intent: in, Reason: ledger.Late, MaybeRecorded: true}
}

// forget frees the key of an intent that was refused though it may be recorded.
func (d *ledgerDuty) forget(shard int, in ledger.Intent) {
	d.tell(func(now time.Time, s *ledgerState) {
		delete(s.waiting, in.Owner)
		w := s.shard(shard)
		d.perform(s, w, w.Abandon(now, in))
	})
}
