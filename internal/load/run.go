package load

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// Run sends the requests of a schedule to a deployment and returns the result. If
// ctx ends first, the result covers the requests offered until then, and the error
// is that of ctx.
func Run(ctx context.Context, o Options) (*Result, error) {
	r, err := newRun(o)
	if err != nil {
		return nil, err
	}
	defer r.client.Close()
	r.meter.sample(ctx)
	r.start = time.Now()
	r.meter.startCost(r.start)
	end := r.background(ctx)
	r.dispatch(ctx)
	r.elapsed = min(time.Since(r.start), r.plan.Duration)
	r.requests.Wait()
	end()
	last := context.WithoutCancel(ctx)
	r.meter.sample(last)
	return r.result(r.meter.executions(last)), Error.Wrap(ctx.Err())
}

// run is the state of one run.
type run struct {
	o             Options
	plan          *workload.Plan
	schedule      *workload.Schedule
	writer        *workload.Writer
	conversations *conversations
	client        *caller.Client
	recorder      *recorder
	meter         *meter
	start         time.Time
	elapsed       time.Duration // the part of the schedule that was run

	slots          chan struct{} // semaphore of concurrent requests
	requests       sync.WaitGroup
	requestsCtx    context.Context // of requests; ends after the drain
	cancelRequests context.CancelFunc
}

func newRun(o Options) (*run, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	p, err := o.plan()
	if err != nil {
		return nil, err
	}
	s, err := workload.Build(p)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &run{
		o: o, plan: p, schedule: s, writer: workload.NewWriter(p), conversations: newConversations(),
		recorder: newRecorder(p, newLatencyTarget(o.TargetScale)),
		meter:    newMeter(o.Target, o.HourPrice, o.Caller.Transport),
		slots:    make(chan struct{}, o.InFlight),
	}
	r.client = caller.New(o.Caller, credentials(o.Workspaces))
	r.requestsCtx, r.cancelRequests = context.WithCancel(context.Background())
	return r, nil
}

func credentials(workspaces []workload.Workspace) []string {
	tokens := make([]string, len(workspaces))
	for i, w := range workspaces {
		tokens[i] = w.Token
	}
	return tokens
}

// background starts the meter, the faults and the timer of the drain. The
// returned function stops them and ends the requests' context.
func (r *run) background(ctx context.Context) func() {
	stopped := context.AfterFunc(ctx, r.cancelRequests)
	ctx, cancel := context.WithCancel(ctx)
	end := r.start.Add(r.plan.Duration)
	var wg sync.WaitGroup
	wg.Go(func() { r.meter.follow(ctx) })
	wg.Go(func() {
		sleepUntil(ctx, end)
		r.meter.stopCost(time.Now())
		if sleepUntil(ctx, end.Add(r.o.Drain)) {
			r.cancelRequests()
		}
	})
	for _, f := range r.o.Faults {
		wg.Go(func() {
			if sleepUntil(ctx, r.start.Add(f.At)) {
				f.Do(ctx)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		stopped()
		r.cancelRequests()
	}
}

// dispatch sends every request of the schedule at its time, and returns at the
// schedule's end.
func (r *run) dispatch(ctx context.Context) {
	for i := range r.schedule.Arrivals {
		a := &r.schedule.Arrivals[i]
		if !sleepUntil(ctx, r.start.Add(a.At)) || !r.acquireSlot(ctx) {
			r.recordUnsent(r.schedule.Arrivals[i:])
			return
		}
		r.requests.Go(func() {
			defer func() { <-r.slots }()
			r.send(a)
		})
	}
	sleepUntil(ctx, r.start.Add(r.plan.Duration))
}

// acquireSlot waits until another concurrent request is allowed; false: the run
// ended first. The wait is part of the request's latency.
func (r *run) acquireSlot(ctx context.Context) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-r.requestsCtx.Done():
		return false
	}
}

// recordUnsent records the requests that were due and not sent before the run
// ended.
func (r *run) recordUnsent(rest []workload.Arrival) {
	for i := range rest {
		if time.Since(r.start) >= rest[i].At {
			r.recorder.unsent(&rest[i])
		}
	}
}

// sleepUntil waits until a time. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
