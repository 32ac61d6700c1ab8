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
	// queueSize is the capacity of each queue. A crash ends all connections to the
	// endpoint, which are some dozens from each daemon.
	queueSize = 256
	// probeDelay is the time from a disconnect to the probe of the endpoint: its
	// other connections end within a few milliseconds.
	probeDelay = 20 * time.Millisecond
	// probeAge is how long a probe is valid: further disconnects are attributed to
	// the same crash and start no other probe.
	probeAge = time.Second
	// lateNotice is how long after an endpoint's end its notice that it leaves may
	// arrive: two report intervals of a large fleet.
	lateNotice = 3 * time.Second
	// tick is the interval of the checks for late notices.
	tick = 250 * time.Millisecond
	// timePrecision is the precision of times in messages. Times are truncated to
	// it, so that all daemons have the same.
	timePrecision = time.Millisecond
)

// Options are the dependencies of a Watch. All functions but Listens must return
// at once.
type Options struct {
	Table *quarantine.Table
	// Now returns the time for the table.
	Now func() time.Time
	// Listens reports whether a process listens at an address, or the error if that
	// can't be determined.
	Listens func(ctx context.Context, address string) (bool, error)
	// State reports whether an endpoint is listed, and whether it has announced
	// that it leaves.
	State func(id fleet.EndpointID) (listed, leaving bool)
	// Ended is called when an endpoint has ended, and again if the crash becomes
	// void.
	Ended func(id fleet.EndpointID, c *quarantine.Crash)
	// Changed is called with changes to the requests in quarantine.
	Changed func(quarantine.Change)
}

// Watch probes the endpoints whose connections ended, and adds crashes to the
// table. Run must be called in a goroutine of its own.
type Watch struct {
	o           Options
	disconnects *ring.Ring[Disconnect]
	answers     *ring.Ring[*probe]
	probes      map[fleet.EndpointID]*probe
	probing     sync.WaitGroup
}

// probe is a check whether an endpoint's process has ended.
type probe struct {
	disconnect Disconnect
	startedAt  time.Time
	crash      quarantine.Crash
	ended      bool // the result, set before the probe is sent to answers
	crashed    bool // the endpoint has ended, and the crash is in the table
}

// New returns a Watch. Run starts it.
func New(o Options) *Watch {
	return &Watch{
		o: o, disconnects: ring.New[Disconnect]("cuts", queueSize), answers: ring.New[*probe]("inquiries", queueSize),
		probes: map[fleet.EndpointID]*probe{},
	}
}

// Disconnected queues a disconnect. It never blocks.
func (w *Watch) Disconnected(c Disconnect) { w.disconnects.Push(c) }

// Run handles disconnects until the context ends.
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

// handleDisconnect starts a probe of the endpoint, unless one is valid, and adds
// the request to the crash's suspects.
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

// runProbe finds out whether the endpoint's process has ended, which is so only if
// nothing listens at its address: a single connection may be reset, and an endpoint
// behind a network partition doesn't answer.
func (w *Watch) runProbe(ctx context.Context, q *probe) {
	if !pause.For(ctx, probeDelay) {
		return
	}
	there, err := w.o.Listens(ctx, q.disconnect.Address)
	q.ended = !there && err == nil
	w.answers.Send(ctx.Done(), q)
}

// handleAnswer handles the result of a probe. An endpoint that has not ended is
// probed again at the next disconnect.
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

// tick voids the crashes of endpoints that had announced that they leave, since
// that notice may arrive after the end.
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
