package admission

import "time"

// The averages of work and hold time (the time that a request keeps its slot)
// start as if holdPrior requests had matched the configured estimates, and later
// cover about the last 1/holdGain requests.
const (
	holdGain  = 0.02
	holdPrior = 4
)

// pool is the capacity that flows share, and the fair queue in front of it.
type pool struct {
	name         Pool
	slots        int
	running      int
	virtualTime  float64 // largest start tag of a started request
	ready        heap[*flow]
	flows        []*flow
	queued       int
	queuedWork   float64
	activeWeight float64 // sum of the weights of flows with queued or running requests
	served       meter   // work started per second
	finished     float64 // count of requests in the averages
	meanWork     float64 // average work of a finished request
	meanHold     float64 // average time that it held its slot, in seconds
}

func newPool(name Pool, cfg *Config) *pool {
	p := &pool{name: name, slots: cfg.PoolSlots, served: meter{decay: servedDecay}}
	p.meanWork = cfg.FirstEstimate
	p.meanHold = cfg.FirstEstimate / cfg.SlotRate
	p.ready.less = flowBefore
	p.ready.moved = setFlowIndex
	return p
}

// slotRate returns the work that one slot does in a second. It is the ratio of
// two averages, not the average of each request's ratio, which would give the
// many short requests too much weight.
func (p *pool) slotRate() float64 { return p.meanWork / p.meanHold }

// drainRate returns the work that all slots do in a second.
func (p *pool) drainRate() float64 { return float64(p.slots) * p.slotRate() }

// observe adds a finished request to the averages.
func (p *pool) observe(work float64, held time.Duration) {
	const least = 1e-3 // prevents a division by zero after requests that took no time
	p.finished++
	gain := max(holdGain, 1/(p.finished+holdPrior))
	p.meanWork += gain * (max(work, least) - p.meanWork)
	p.meanHold += gain * (max(held.Seconds(), least) - p.meanHold)
}

// creditSeconds is how much of its fair share, in seconds, a flow that used less
// may later use at once, before flows that use more than their shares get
// another slot: the start tag may be that far behind virtual time. Plain
// start-time fair queueing gives no such credit. Because arrivals are uneven, it
// refused a fifth of the requests of workspaces that used 80% of their shares
// while another one overloaded the pool.
const creditSeconds = 5

// startTag returns the virtual time at which f's next request may start.
func (p *pool) startTag(f *flow) float64 {
	credit := creditSeconds * p.drainRate() / max(p.activeWeight, f.workspace.weight)
	return max(p.virtualTime-credit, f.finishTag)
}

// pushReady adds a flow with queued requests to the heap of ready flows.
func (p *pool) pushReady(f *flow) {
	f.startTag = p.startTag(f)
	f.state = flowReady
	p.ready.push(f)
}

// removeReady removes a ready flow from the heap and sets its new state.
func (p *pool) removeReady(f *flow, state flowState) {
	p.ready.remove(f.index)
	f.state = state
}

// advanceTags advances virtual time and f's tags after f has started work.
func (p *pool) advanceTags(now time.Duration, f *flow, work float64) {
	p.virtualTime = max(p.virtualTime, f.startTag)
	f.finishTag = f.startTag + work/f.workspace.weight
	f.startTag = f.finishTag
	f.served.add(now, work)
	p.served.add(now, work)
}
