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
	// cutRing bounds the cuts that wait: an endpoint's end cuts all that run
	// there, some dozens at each daemon.
	cutRing = 256
	// askAfter is how long after a cut the endpoint is asked for: the ends of
	// its other connections are a few milliseconds apart.
	askAfter = 20 * time.Millisecond
	// inquiryAge is how long an endpoint that has ended isn't asked for again, and
	// further cuts belong to the same end.
	inquiryAge = time.Second
	// lateWord is how long after an endpoint's end the word that it leaves may
	// come: two reports of a large fleet.
	lateWord = 3 * time.Second
	// tick is how often that is looked for.
	tick = 250 * time.Millisecond
	// told is what times are told to, so that all daemons have the same.
	told = time.Millisecond
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
	o         Options
	cuts      *ring.Ring[Cut]
	answers   *ring.Ring[*inquiry]
	inquiries map[fleet.EndpointID]*inquiry
	asking    sync.WaitGroup
}

// inquiry is the question whether an endpoint crashed.
type inquiry struct {
	cut     Cut
	asked   time.Time
	crash   quarantine.Crash
	ended   bool // the answer, written before it is sent
	crashed bool // the answer was taken, and the table was told
}

// New returns a watch that isn't running.
func New(o Options) *Watch {
	return &Watch{
		o: o, cuts: ring.New[Cut]("cuts", cutRing), answers: ring.New[*inquiry]("inquiries", cutRing),
		inquiries: map[fleet.EndpointID]*inquiry{},
	}
}

// Cut takes an attempt that was cut off; it never waits.
func (w *Watch) Cut(c Cut) { w.cuts.Push(c) }

// Run works until the context ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer w.asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-w.cuts.C():
			w.take(ctx, c)
		case q := <-w.answers.C():
			w.answered(q)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
}

// take notes a cut and asks whether the endpoint is there, once for all that its
// end has cut.
func (w *Watch) take(ctx context.Context, c Cut) {
	q := w.inquiries[c.Endpoint]
	if q == nil || time.Since(q.asked) > inquiryAge {
		q = w.inquire(ctx, c)
	}
	if c.Begun {
		return
	}
	sent := w.o.Now().Add(-time.Since(c.Sent)).Truncate(told)
	q.crash.AddSuspect(quarantine.Suspect{Request: c.Request, Sent: sent})
	if q.crashed {
		w.o.Changed(w.o.Table.Add(w.o.Now(), q.crash))
	}
}

func (w *Watch) inquire(ctx context.Context, c Cut) *inquiry {
	q := &inquiry{cut: c, asked: time.Now()}
	q.crash = quarantine.Crash{Endpoint: quarantine.IncarnationOf(c.Endpoint, c.Born), At: w.o.Now().Truncate(told)}
	w.inquiries[c.Endpoint] = q
	w.asking.Go(func() { w.ask(ctx, q) })
	return q
}

// ask asks whether the endpoint's process is there. Only where nobody listens it
// has ended: a connection can be reset by itself, and to an endpoint that is cut
// off there is no answer.
func (w *Watch) ask(ctx context.Context, q *inquiry) {
	if !pause.For(ctx, askAfter) {
		return
	}
	there, err := w.o.Listens(ctx, q.cut.Address)
	q.ended = !there && err == nil
	w.answers.Send(ctx.Done(), q)
}

// answered takes the answer. An endpoint that has not ended is asked for again at
// the next cut, which may be its end.
func (w *Watch) answered(q *inquiry) {
	if !q.ended {
		delete(w.inquiries, q.cut.Endpoint)
		return
	}
	listed, leaving := w.o.State(q.cut.Endpoint)
	q.crashed, q.crash.Void = true, !listed || leaving
	w.o.Ended(q.cut.Endpoint, &q.crash)
	w.o.Changed(w.o.Table.Add(w.o.Now(), q.crash))
}

// tick takes back the ends of endpoints that had said that they leave: the word
// may come after the end.
func (w *Watch) tick(now time.Time) {
	for id, q := range w.inquiries {
		if now.Sub(q.asked) > lateWord {
			delete(w.inquiries, id)
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
