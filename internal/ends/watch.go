package ends

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

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
	// probeValidity is how long a probe is valid: further disconnects are attributed to
	// the same crash and start no other probe.
	probeValidity = time.Second
	// lateNotice is how long after an endpoint's end its notice that it leaves may
	// arrive: two report intervals of a large fleet.
	lateNotice = 3 * time.Second
	// maxUndecided is how long an endpoint may take to restart.
	maxUndecided = 15 * time.Second
	// tick is the interval of the checks for late notices.
	tick = 250 * time.Millisecond
	// timePrecision is the precision of times in messages. Times are truncated to
	// it, so that all daemons have the same. A retry is sent less than a millisecond after
	// the end that caused it.
	timePrecision = time.Microsecond
	// maxClockStep is the least change of the fleet's clock that changes how times are
	// converted: smaller corrections must not invert the order of two events here.
	maxClockStep = 20 * time.Millisecond
)

// ErrUndecided is returned by Options.Listens where nothing listens, but the path to the
// endpoint may be lost.
var ErrUndecided = errs.New("endpoint or the path to it has ended")

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
	// Restarted reports whether an endpoint is listed with a later start than the given one.
	// It is needed where Listens returns ErrUndecided.
	Restarted func(id fleet.EndpointID, startedAt time.Time) bool
	// Ended is called when an endpoint has ended, and again if the crash becomes
	// void. settled is how many requests there are not suspected, since their answers had
	// gone on for a while.
	Ended func(id fleet.EndpointID, c *quarantine.Crash, settled int)
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
	local       time.Time // a time of this process, and the same by the fleet's clock
	fleet       time.Time
	undecided   []*probe // until their endpoints are listed as restarted
	probeGroup  sync.WaitGroup
}

// probe is a check whether an endpoint's process has ended.
type probe struct {
	disconnect Disconnect
	startedAt  time.Time
	crash      quarantine.Crash
	settled    int  // requests that are not suspected, since their answers had gone on for a while
	ended      bool // the result, set before the probe is sent to answers
	undecided  bool // likewise: the endpoint may have ended, or the path to it
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
func (w *Watch) Disconnected(d Disconnect) { w.disconnects.Push(d) }

// Run handles disconnects until the context ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer w.probeGroup.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-w.disconnects.C():
			w.handleDisconnect(ctx, d)
		case p := <-w.answers.C():
			w.handleAnswer(p)
		case now := <-ticker.C:
			w.tick(now)
		}
	}
}

// handleDisconnect starts a probe of the endpoint, unless one is valid, and adds
// the request to the crash's suspects.
func (w *Watch) handleDisconnect(ctx context.Context, d Disconnect) {
	p := w.probes[d.Endpoint]
	if p == nil || time.Since(p.startedAt) > probeValidity {
		p = w.startProbe(ctx, d)
	}
	if at := w.fleetTime(d.EndedAt); at.Before(p.crash.At) {
		p.crash.At = at
	}
	if d.settled() {
		p.settled++
		return
	}
	p.crash.AddRequest(&d.Request, w.fleetTime(d.Sent))
	if p.crashed {
		w.o.Changed(w.o.Table.Add(w.o.Now(), p.crash))
	}
}

func (w *Watch) startProbe(ctx context.Context, d Disconnect) *probe {
	p := &probe{disconnect: d, startedAt: time.Now()}
	p.crash = quarantine.Crash{
		Endpoint: quarantine.IncarnationOf(d.Endpoint, d.StartedAt), Hash: quarantine.EndpointHash(d.Endpoint), At: w.fleetTime(d.EndedAt),
	}
	w.probes[d.Endpoint] = p
	w.probeGroup.Go(func() { w.runProbe(ctx, p) })
	return p
}

// fleetTime converts a time of this process to the fleet's clock. Two times are converted
// alike unless the clock was set in between.
func (w *Watch) fleetTime(t time.Time) time.Time {
	now, fleetNow := time.Now(), w.o.Now()
	if w.local.IsZero() || fleetNow.Sub(w.fleet.Add(now.Sub(w.local))).Abs() > maxClockStep {
		w.local, w.fleet = now, fleetNow
	}
	return w.fleet.Add(t.Sub(w.local)).Truncate(timePrecision)
}

// runProbe finds out whether the endpoint's process has ended, which is so only if
// nothing listens at its address: a single connection may be reset, and an endpoint
// behind a network partition doesn't answer.
func (w *Watch) runProbe(ctx context.Context, p *probe) {
	if !pause.For(ctx, probeDelay) {
		return
	}
	listening, err := w.o.Listens(ctx, p.disconnect.Address)
	p.ended = !listening && err == nil
	p.undecided = errors.Is(err, ErrUndecided)
	w.answers.Send(ctx.Done(), p)
}

// handleAnswer handles the result of a probe. An endpoint that has not ended is
// probed again at the next disconnect.
func (w *Watch) handleAnswer(p *probe) {
	if p.undecided {
		w.undecided = append(w.undecided, p)
	}
	if !p.ended {
		delete(w.probes, p.disconnect.Endpoint)
		return
	}
	w.recordCrash(p)
}

func (w *Watch) recordCrash(p *probe) {
	listed, leaving := w.o.State(p.disconnect.Endpoint)
	p.crashed, p.crash.Void = true, !listed || leaving
	w.o.Ended(p.disconnect.Endpoint, &p.crash, p.settled)
	w.o.Changed(w.o.Table.Add(w.o.Now(), p.crash))
}

// tick voids the crashes of endpoints that had announced that they leave, since
// that notice may arrive after the end.
func (w *Watch) tick(now time.Time) {
	for id, p := range w.probes {
		if now.Sub(p.startedAt) > lateNotice {
			delete(w.probes, id)
			continue
		}
		if _, leaving := w.o.State(id); leaving && p.crashed && !p.crash.Void {
			p.crash.Void = true
			w.o.Ended(id, &p.crash, p.settled)
			w.o.Changed(w.o.Table.Void(w.o.Now(), &p.crash))
		}
	}
	w.decide(now)
	w.o.Changed(w.o.Table.Tick(w.o.Now()))
}

// decide records the crashes of undecided endpoints that have restarted, or that other daemons
// have recorded.
func (w *Watch) decide(now time.Time) {
	w.undecided = slices.DeleteFunc(w.undecided, func(p *probe) bool {
		restarted := w.o.Restarted(p.disconnect.Endpoint, p.disconnect.StartedAt)
		if restarted || w.o.Table.HasCrash(&p.crash) {
			w.recordCrash(p)
			return true
		}
		return now.Sub(p.startedAt) > maxUndecided
	})
}
