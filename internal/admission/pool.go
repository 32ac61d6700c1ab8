package admission

import "time"

// The averages of work and hold time start as if holdPrior requests had been
// as the configuration guesses, and later count about the last 1/holdGain.
const (
	holdGain  = 0.02
	holdPrior = 4
)

// pool is the capacity that flows share, and the fair queue before it.
type pool struct {
	name         Pool
	slots        int
	running      int
	virtualTime  float64 // start tag of the latest request started
	ready        heap[*flow]
	flows        []*flow
	queued       int
	queuedWork   float64
	activeWeight float64 // of flows with anything waiting or running
	served       meter   // work started per second
	finished     float64 // requests in the averages
	meanWork     float64 // of a finished request
	meanHold     float64 // seconds that it held its slot
}

func newPool(name Pool, cfg *Config) *pool {
	p := &pool{name: name, slots: cfg.PoolSlots, served: meter{decay: servedDecay}}
	p.meanWork = cfg.FirstEstimate
	p.meanHold = cfg.FirstEstimate / cfg.SlotRate
	p.ready.less = flowBefore
	p.ready.moved = setFlowIndex
	return p
}

// slotRate is the work that one slot does in a second: a ratio of averages,
// because short requests are many and do little of the work.
func (p *pool) slotRate() float64 { return p.meanWork / p.meanHold }

// drainRate is the work that all slots do in a second.
func (p *pool) drainRate() float64 { return float64(p.slots) * p.slotRate() }

// observe takes a finished request into the averages.
func (p *pool) observe(work float64, held time.Duration) {
	const least = 1e-3 // a request that ended in no time must not divide by zero
	p.finished++
	gain := max(holdGain, 1/(p.finished+holdPrior))
	p.meanWork += gain * (max(work, least) - p.meanWork)
	p.meanHold += gain * (max(held.Seconds(), least) - p.meanHold)
}

// creditSeconds is how far a flow that used less than its share may fall behind
// virtual time: seconds of its fair share that it may use at once, before a
// flow that uses more than its share gets another slot. Plain start-time fair
// queueing has none, and refused a fifth of the requests of workspaces that
// stayed at 80% of their share beside a flood, because arrivals are never even.
const creditSeconds = 5

// startTag is the virtual time at which f's next request may start.
func (p *pool) startTag(f *flow) float64 {
	credit := creditSeconds * p.drainRate() / max(p.activeWeight, f.workspace.weight)
	return max(p.virtualTime-credit, f.finishTag)
}

// pushReady makes a flow with a queue ready.
func (p *pool) pushReady(f *flow) {
	f.startTag = p.startTag(f)
	f.state = flowReady
	p.ready.push(f)
}

// removeReady takes a ready flow out of the heap.
func (p *pool) removeReady(f *flow, state flowState) {
	p.ready.remove(f.index)
	f.state = state
}

// advanceTags advances the tags for work started by f.
func (p *pool) advanceTags(now time.Duration, f *flow, work float64) {
	p.virtualTime = max(p.virtualTime, f.startTag)
	f.finishTag = f.startTag + work/f.workspace.weight
	f.startTag = f.finishTag
	f.served.add(now, work)
	p.served.add(now, work)
}
