package ends

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

const (
	// queueSize bounds the cuts that wait: an endpoint's end cuts all that run
	// there, some dozens at each daemon.
	queueSize = 256
	// probeDelay is how long after a cut the endpoint is asked for: the ends of
	// its other connections are a few milliseconds apart.
	probeDelay = 20 * time.Millisecond
	// probeAge is how long an endpoint that has ended isn't asked for again, and
	// further cuts belong to the same end.
	probeAge = time.Second
	// lateNotice is how long after an endpoint's end the word that it leaves may
	// come: two reports of a large fleet.
	lateNotice = 3 * time.Second
	// tick is how often that is looked for.
	tick = 250 * time.Millisecond
	// timePrecision is what times are timePrecision to, so that all daemons have the same.
	timePrecision = time.Millisecond
)

// Options are what a Watch is made of. The functions must return at once, but for
// Listens.
type Options struct {
	Table *quarantine.Table
	// Now is the time by which the table goes.
	Now func() time.Time
	// Listens reports whether somebody listens at an address, or why that isn't
	// known.
	Listens func(ctx context.Context, address string) (bool, error)
	// State reports whether an endpoint is listed, and whether it has said that
	// it leaves.
	State func(id fleet.EndpointID) (listed, leaving bool)
	// Ended is told of an endpoint's end.
	Ended func(id fleet.EndpointID, c *quarantine.Crash)
	// Changed is told which requests are held and which no longer.
	Changed func(quarantine.Change)
}

// Watch asks for the endpoints whose connections ended, and tells the table of
// those that crashed. A goroutine of its own runs it.
type Watch struct {
	o           Options
	disconnects *ring.Ring[Disconnect]
	answers     *ring.Ring[*probe]
	probes      map[fleet.EndpointID]*probe
	probing     sync.WaitGroup
}

// probe is the question whether an endpoint crashed.
type probe struct {
	disconnect Disconnect
	startedAt  time.Time
	crash      quarantine.Crash
	ended      bool // the answer, written before it is sent
	crashed    bool // the answer was taken, and the table was told
}

// New returns a watch that isn't running.
func New(o Options) *Watch {
	return &Watch{
		o: o, disconnects: ring.New[Disconnect]("cuts", queueSize), answers: ring.New[*probe]("inquiries", queueSize),
		probes: map[fleet.EndpointID]*probe{},
	}
}

// Disconnected takes an attempt that was cut off; it never waits.
func (w *Watch) Disconnected(c Disconnect) { w.disconnects.Push(c) }

// Run works until the context ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer w.probing.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-w.disconnects.C():
			w.handleDisconnect(ctx, c)
		case q := <-w.answers.C():
			w.handleAnswer(q)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
}

// handleDisconnect notes a cut and asks whether the endpoint is there, once for all that its
// end has cut.
func (w *Watch) handleDisconnect(ctx context.Context, c Disconnect) {
	q := w.probes[c.Endpoint]
	if q == nil || time.Since(q.startedAt) > probeAge {
		q = w.startProbe(ctx, c)
	}
	if c.AnswerBegun {
		return
	}
	sent := w.o.Now().Add(-time.Since(c.Sent)).Truncate(timePrecision)
	q.crash.AddSuspect(quarantine.Suspect{Request: c.Request, Sent: sent})
	if q.crashed {
		w.o.Changed(w.o.Table.Add(w.o.Now(), q.crash))
	}
}

func (w *Watch) startProbe(ctx context.Context, c Disconnect) *probe {
	q := &probe{disconnect: c, startedAt: time.Now()}
	q.crash = quarantine.Crash{Endpoint: quarantine.IncarnationOf(c.Endpoint, c.StartedAt), At: w.o.Now().Truncate(timePrecision)}
	w.probes[c.Endpoint] = q
	w.probing.Go(func() { w.runProbe(ctx, q) })
	return q
}

// runProbe asks whether the endpoint's process is there. Only where nobody listens it
// has ended: a connection can be reset by itself, and to an endpoint that is cut
// off there is no answer.
func (w *Watch) runProbe(ctx context.Context, q *probe) {
	if !pause.For(ctx, probeDelay) {
		return
	}
	there, err := w.o.Listens(ctx, q.disconnect.Address)
	q.ended = !there && err == nil
	w.answers.Send(ctx.Done(), q)
}

// handleAnswer takes the answer. An endpoint that has not ended is asked for again at
// the next cut, which may be its end.
func (w *Watch) handleAnswer(q *probe) {
	if !q.ended {
		delete(w.probes, q.disconnect.Endpoint)
		return
	}
	listed, leaving := w.o.State(q.disconnect.Endpoint)
	q.crashed, q.crash.Void = true, !listed || leaving
	w.o.Ended(q.disconnect.Endpoint, &q.crash)
	w.o.Changed(w.o.Table.Add(w.o.Now(), q.crash))
}

// tick takes back the ends of endpoints that had said that they leave: the word
// may come after the end.
func (w *Watch) tick(now time.Time) {
	for id, q := range w.probes {
		if now.Sub(q.startedAt) > lateNotice {
			delete(w.probes, id)
			continue
		}
		if _, leaving := w.o.State(id); leaving && q.crashed && !q.crash.Void {
			q.crash.Void = true
			w.o.Ended(id, &q.crash)
			w.o.Changed(w.o.Table.Void(w.o.Now(), q.crash.Endpoint, q.crash.At))
		}
	}
	w.o.Changed(w.o.Table.Tick(w.o.Now()))
}
