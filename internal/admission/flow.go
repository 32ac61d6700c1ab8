package admission

import "time"

// flowState is whether a flow may start requests, and if not, why.
type flowState uint8

const (
	flowEmpty     flowState = iota // no request is queued
	flowReady                      // in the pool's heap
	flowThrottled                  // waits until its workspace's token debt is paid off
	flowBlocked                    // waits for a slot of its workspace
)

// flow holds one workspace's queued and running requests in one pool. Flows
// share the pool by start-time fair queueing (Goyal, Vin and Cheng, 1996): the
// flow with the smallest start tag is next, and each request that it starts
// advances its tag by the request's work divided by the workspace's weight.
type flow struct {
	workspace  *workspace
	pool       *pool
	queue      heap[*requestState]
	queuedWork float64
	running    int
	served     meter   // work started per second
	startTag   float64 // virtual time at which its next request may start
	finishTag  float64 // virtual time at which its latest request finishes
	state      flowState
	index      int           // in the heap for its state, or notInHeap
	readyAt    time.Duration // when a throttled flow becomes ready
	retries    retryBacklog  // callers refused in this flow, in work
}

func newFlow(w *workspace, p *pool) *flow {
	f := &flow{workspace: w, pool: p, index: notInHeap, served: meter{decay: servedDecay}}
	f.queue.less = (*requestState).before
	f.queue.moved = setRequestIndex
	return f
}

func (f *flow) active() bool { return f.running > 0 || f.queue.len() > 0 }

// workAhead returns the queued work that would be started before r.
func (f *flow) workAhead(r *requestState) float64 {
	work := 0.0
	for _, o := range f.queue.items {
		if o.before(r) {
			work += o.work
		}
	}
	return work
}

// wait predicts how long it takes until ahead, work queued in this flow, has
// been started and one more request can start.
func (f *flow) wait(now time.Duration, ahead float64) time.Duration {
	p := f.pool
	drain := p.drainRate()
	if drain <= 0 {
		return seconds(maxWaitSeconds)
	}
	perSlot := p.slotRate()
	// Other flows are served before this one until virtual time reaches its tag.
	behind := (max(p.startTag(f), f.startTag) - p.virtualTime) * f.workspace.weight
	wait := max(0, ahead+behind)/f.rate(now) + p.meanWork/drain
	// Requests beyond the slots, which were lowered, must finish first.
	if over := p.running - p.slots; over > 0 {
		wait += float64(over) * p.meanHold / float64(p.running)
	}
	// The workspace's own concurrency may be the tighter bound.
	if w := f.workspace; w.running >= w.slots || ahead > 0 {
		wait = max(wait, (ahead+p.meanWork)/(float64(w.slots)*perSlot))
	}
	return seconds(wait)
}

// rate returns the work a second that the flow gets while it has a queue: its
// fair share or what the other flows leave unused, whichever is greater.
func (f *flow) rate(now time.Duration) float64 {
	p := f.pool
	drain := p.drainRate()
	weight := p.activeWeight
	if !f.active() {
		weight += f.workspace.weight
	}
	fair := drain * f.workspace.weight / weight
	return max(fair, drain-(p.served.rate(now)-f.served.rate(now)))
}

// maxWaitSeconds is the predicted wait in a pool without capacity.
const maxWaitSeconds = 3600

func flowBefore(a, b *flow) bool { return a.startTag < b.startTag }

func flowReadyBefore(a, b *flow) bool { return a.readyAt < b.readyAt }

func setFlowIndex(f *flow, index int) { f.index = index }
