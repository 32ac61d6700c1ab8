package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

const (
	// cutRing bounds the cuts that wait: an endpoint's end cuts all that run
	// there, some dozens at each daemon.
	cutRing = 256
	// askAfter is how long after a cut the endpoint is asked for: the ends of
	// its other connections are a few milliseconds apart.
	askAfter = 20 * time.Millisecond
	// inquiryAge is how long an endpoint that was asked for isn't asked for
	// again, and further cuts belong to the same end.
	inquiryAge = time.Second
	// endsTick is how often it is looked whether endpoints that ended had said
	// that they leave.
	endsTick = 250 * time.Millisecond
	// lateWord is how long after an endpoint's end the word that it leaves may
	// come: two reports of a large fleet.
	lateWord = 3 * time.Second
)

// ends finds out which endpoints crashed, of those whose connections ended, and
// under which requests.
type ends struct {
	node      *Node
	table     *quarantine.Table
	cuts      *ring.Ring[relay.Cut]
	answers   *ring.Ring[*inquiry]
	inquiries map[quarantine.Life]*inquiry
	read      uint64    // the table's sequence number when the store was read last
	readAt    time.Time // when that was
}

// inquiry is the question whether an endpoint crashed.
type inquiry struct {
	endpoint roster.Endpoint
	asked    time.Time
	crash    quarantine.Crash
	crashed  bool
}

func newEnds(n *Node) *ends {
	return &ends{
		node: n, table: quarantine.NewTable(random().Uint64() | 1),
		cuts: ring.New[relay.Cut]("cuts", cutRing), answers: ring.New[*inquiry]("inquiries", cutRing),
		inquiries: map[quarantine.Life]*inquiry{},
	}
}

func lifeOf(e *roster.Endpoint) quarantine.Life { return quarantine.LifeOf(e.ID, e.Born) }

func (e *ends) run(ctx context.Context) {
	tick := time.NewTicker(endsTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.cuts.C():
			e.take(ctx, c)
		case q := <-e.answers.C():
			e.answered(q)
		case now := <-tick.C:
			e.tick(ctx, now)
		}
	}
}

// take notes a cut and asks whether the endpoint is there, once for all that its
// end has cut.
func (e *ends) take(ctx context.Context, c relay.Cut) {
	q := e.inquiries[lifeOf(&c.Endpoint)]
	if q == nil {
		q = &inquiry{
			endpoint: c.Endpoint, asked: time.Now(),
			crash: quarantine.Crash{Endpoint: lifeOf(&c.Endpoint), At: e.node.clock.Now().Truncate(told)},
		}
		e.inquiries[q.crash.Endpoint] = q
		e.node.wg.Go(func() { e.ask(ctx, q) })
	}
	if c.Begun {
		return
	}
	sent := e.node.clock.Now().Add(-time.Since(c.Sent)).Truncate(told)
	q.crash.Suspect(quarantine.Suspect{Request: c.Request, Sent: sent})
	if q.crashed {
		e.node.told(e.table.Add(e.node.clock.Now(), q.crash))
	}
}

// ask asks whether the endpoint's process is there. Only where nobody listens it
// has ended: a connection can be reset by itself, and to an endpoint that is cut
// off there is no answer.
func (e *ends) ask(ctx context.Context, q *inquiry) {
	if !pause.For(ctx, askAfter) {
		return
	}
	there, err := e.node.pool.Listens(ctx, q.endpoint.Address)
	if !there && err == nil {
		e.answers.Send(ctx.Done(), q)
	}
}

// answered takes an endpoint's end.
func (e *ends) answered(q *inquiry) {
	q.crashed = true
	q.crash.Void = e.node.endpoints.leaving(&q.endpoint)
	e.node.metrics.crashed(q.crash.Void)
	e.node.say("quarantine").WithFields(map[string]any{
		"endpoint": q.endpoint.ID, "requests": names(q.crash.Suspects), "leaving": q.crash.Void,
	}).Warn("endpoint ended under requests")
	e.node.told(e.table.Add(e.node.clock.Now(), q.crash))
}

// told is what times are told to, so that all daemons have the same.
const told = time.Millisecond

// namedRequests bounds the requests that a line names.
const namedRequests = 8

func names(all []quarantine.Suspect) []string {
	all = all[:min(len(all), namedRequests)]
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.Request.String()
	}
	return out
}

func (e *ends) tick(ctx context.Context, now time.Time) {
	for life, q := range e.inquiries {
		if now.Sub(q.asked) > inquiryAge {
			delete(e.inquiries, life)
		}
	}
	truth := e.node.clock.Now()
	e.node.told(e.table.Tick(truth))
	e.voidLeaving(truth)
	e.readStore(ctx, now)
}

// voidLeaving takes back the ends of endpoints that had said that they leave: the
// word may come after the end.
func (e *ends) voidLeaving(now time.Time) {
	lately := e.table.Lately(now.Add(-lateWord))
	if len(lately) == 0 {
		return
	}
	all, _ := e.node.endpoints.list()
	for i := range all {
		if life := lifeOf(&all[i]); all[i].Draining && lately[life] {
			e.node.say("quarantine").WithField("endpoint", all[i].ID).Info("endpoint was leaving: its end doesn't count")
			e.node.told(e.table.Void(now, life))
		}
	}
}

// storeReads is the least time between two reads of what is kept.
const storeReads = time.Second

// readStore reads what another part of the fleet has kept, when a hub has learned
// of crashes: daemons that are cut off from the others but not from the store
// would send on what the others hold.
func (e *ends) readStore(ctx context.Context, now time.Time) {
	at := e.table.Position().Seq
	if at == e.read || now.Sub(e.readAt) < storeReads || e.node.gathering() || !e.node.watching.hub() {
		return
	}
	e.read, e.readAt = at, now
	e.node.wg.Go(func() {
		if kept, err := stored[keptLimits](e.node.platform.Store.Get(ctx, limitsKind, limitsName)); err == nil {
			e.node.told(e.table.Add(e.node.clock.Now(), kept.Crashes...))
		}
	})
}

// told says what changed.
func (n *Node) told(c quarantine.Change) {
	for _, k := range c.Held {
		n.say("quarantine").WithFields(map[string]any{
			"request": k.String(), "crashes": len(n.ends.table.Evidence(k)),
		}).Error("request held: it crashes the endpoints that run it")
	}
	for _, k := range c.Released {
		n.say("quarantine").WithField("request", k.String()).Info("request released")
	}
}

// guard implements relay.Guard.
type guard struct{ node *Node }

// Held implements relay.Guard.
func (g *guard) Held(key func() quarantine.Key) time.Duration {
	return g.node.ends.table.Held(g.node.clock.Now(), key)
}

// Ran implements relay.Guard.
func (g *guard) Ran(e *roster.Endpoint, sent time.Time, key func() quarantine.Key) {
	now := g.node.clock.Now()
	g.node.told(g.node.ends.table.Ran(now, now.Add(-time.Since(sent)), lifeOf(e), key))
}

// leaving reports whether an endpoint has said that it leaves, or is gone.
func (d *endpointDuty) leaving(e *roster.Endpoint) bool {
	all, _ := d.list()
	for i := range all {
		if all[i].ID == e.ID {
			return all[i].Draining
		}
	}
	return true
}
