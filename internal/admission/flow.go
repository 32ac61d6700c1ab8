package admission

import "time"

// flowState says why a flow with a queue does or does not start requests.
type flowState uint8

const (
	flowEmpty     flowState = iota // nothing waits
	flowReady                      // in the pool's heap
	flowThrottled                  // waits for its workspace's token debt
	flowBlocked                    // waits for a slot of its workspace
)

// flow is what one workspace has waiting and running in one pool. Flows share
// the pool by start-time fair queueing (Goyal, Vin and Cheng, 1996): the flow
// with the least start tag is next, and its tag advances by work over weight.
type flow struct {
	workspace  *workspace
	pool       *pool
	queue      heap[*requestState]
	queuedWork float64
	running    int
	served     meter   // work started per second
	startTag   float64 // virtual time at which its next request may start
	finishTag  float64 // virtual finish of the last one started
	state      flowState
	index      int           // in the heap of its state
	readyAt    time.Duration // when a throttled flow becomes ready
	retries    retryBacklog  // in work
}

func newFlow(w *workspace, p *pool) *flow {
	f := &flow{workspace: w, pool: p, index: notInHeap, served: meter{decay: servedDecay}}
	f.queue.less = (*requestState).before
	f.queue.moved = setRequestIndex
	return f
}

func (f *flow) active() bool { return f.running > 0 || f.queue.len() > 0 }

// workAhead returns the work that would be done before r.
func (f *flow) workAhead(r *requestState) float64 {
	work := 0.0
	for _, o := range f.queue.items {
		if o.before(r) {
			work += o.work
		}
	}
	return work
}

// wait predicts how long until work of this flow has drained and one more
// request can start.
func (f *flow) wait(now time.Duration, ahead float64) time.Duration {
	p := f.pool
	drain := p.drainRate()
	if drain <= 0 {
		return seconds(maxWaitSeconds)
	}
	perSlot := p.slotRate()
	behind := (max(p.startTag(f), f.startTag) - p.virtualTime) * f.workspace.weight
	wait := max(0, ahead+behind)/f.rate(now) + p.meanWork/drain
	if over := p.running - p.slots; over > 0 {
		wait += float64(over) * p.meanHold / float64(p.running)
	}
	if w := f.workspace; w.running >= w.slots || ahead > 0 {
		wait = max(wait, (ahead+p.meanWork)/(float64(w.slots)*perSlot))
	}
	return seconds(wait)
}

// rate is the work a second that the flow gets while it has a queue: its fair
// share, or what the others leave.
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

// maxWaitSeconds stands for a pool without capacity, in seconds.
const maxWaitSeconds = 3600

func flowBefore(a, b *flow) bool { return a.startTag < b.startTag }

func flowReadyBefore(a, b *flow) bool { return a.readyAt < b.readyAt }

func setFlowIndex(f *flow, index int) { f.index = index }
