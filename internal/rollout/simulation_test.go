package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const simTick = 20 * time.Millisecond

var simBounds = Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second}

// defect is what is wrong with a bad version.
type defect struct {
	share  float64 // of its answers that are bad
	slow   float64 // factor on the answer time; 0: bad answers fail
	from   float64 // when it begins, as a part of the duration
	route  int     // index of the only bad route; -1: all are bad
	loaded bool    // only at endpoints with about the load of one of the old version
}

// fault strikes endpoints regardless of their version, apart from newOnly.
type fault struct {
	share   float64 // of the endpoints of each version, rounded up
	fails   float64 // part of their answers that fail
	slow    float64 // factor on the answer time; 0: unchanged
	from    float64 // when it begins, as a part of the duration
	newOnly int     // further endpoints of the new version alone
}

// simRoutes are the service's routes: part of the requests and median answer time.
var simRoutes = []struct {
	share     float64
	took      time.Duration
	retryable bool // may be sent to another endpoint while it runs
}{
	{0.15, 900 * time.Millisecond, true}, {0.24, 600 * time.Millisecond, false}, {0.33, 120 * time.Millisecond, true},
	{0.22, 40 * time.Millisecond, false}, {0.06, 40 * time.Millisecond, true},
}

type simEndpoint struct {
	isNew   bool
	index   int
	running int
	faulty  bool
}

type simRequest struct {
	ends     time.Duration
	daemon   int
	endpoint *simEndpoint
	route    int
	failed   bool
	took     time.Duration
}

type simQueue []simRequest

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].ends < q[j].ends }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simRequest)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type simDaemon struct {
	gate       *Gate
	counter    *Counter
	nextReport time.Duration
	isolated   bool
}

// simulation is a roll-out in a fleet.
type simulation struct {
	daemons   int
	endpoints int // of each version
	rate      float64
	duration  time.Duration
	runAfter  time.Duration // how long the simulation goes on after the deadline
	interval  time.Duration // of reports
	defect    *defect
	fault     *fault
	// killedAt is when the decider is killed; simTakeoverTime later, another one continues
	// from its record. 0: never.
	killedAt time.Duration
	// From isolatedFrom on, a share of the daemons receives no splits and sends no reports,
	// but serves requests. 0: never.
	isolatedFrom  time.Duration
	isolatedShare float64

	rng       *rand.Rand
	fleet     []*simDaemon
	old       []*simEndpoint
	new       []*simEndpoint
	decider   *Decider
	saved     Record
	seq       uint64
	token     uint64
	inFlight  simQueue
	steppedAt time.Duration

	asked, exposed int
	badAnswers     int
	fiftiethBad    time.Duration
	lastSentToNew  time.Duration // time of the last request to the new version
	endedAt        time.Duration
	lost           int // requests at the old version that were cut off when it was stopped
	askedByFinal   int
	exposedAtEnd   int
}

var simStart = time.Unix(1_000_000, 0)

func (p *simulation) run(seed uint64) {
	p.rng = rand.New(rand.NewPCG(seed, 7))
	if p.interval == 0 {
		p.interval = 400 * time.Millisecond
	}
	for i := range p.endpoints {
		p.old = append(p.old, &simEndpoint{index: i})
		p.new = append(p.new, &simEndpoint{index: i, isNew: true})
	}
	p.assignFaults()
	p.token = 1
	p.decider = NewDecider(simBounds, Record{Order: Order{"models", "v2", p.duration}, Started: simStart})
	for i := range p.daemons {
		d := &simDaemon{gate: NewGate(simBounds), nextReport: time.Duration(p.rng.Int64N(int64(p.interval)))}
		d.isolated = float64(i) < p.isolatedShare*float64(p.daemons)
		d.counter = NewCounter("models", p.decider.record.Key())
		p.fleet = append(p.fleet, d)
	}
	for t := time.Duration(0); t < p.duration+p.runAfter; t += simTick {
		p.step(t)
	}
}

func (p *simulation) assignFaults() {
	if p.fault == nil {
		return
	}
	n := int(math.Ceil(p.fault.share * float64(p.endpoints)))
	for _, set := range [][]*simEndpoint{p.old, p.new} {
		for _, i := range p.rng.Perm(p.endpoints)[:n] {
			set[i].faulty = true
		}
	}
	for _, i := range p.rng.Perm(p.endpoints)[:min(p.fault.newOnly, p.endpoints)] {
		p.new[i].faulty = true
	}
}

const simTakeoverTime = 3500 * time.Millisecond

func (p *simulation) step(t time.Duration) {
	now := simStart.Add(t)
	for len(p.inFlight) > 0 && p.inFlight[0].ends <= t {
		p.finishRequest(heap.Pop(&p.inFlight).(simRequest))
	}
	n := p.rate * simTick.Seconds()
	for ; p.rng.Float64() < n; n-- {
		p.startRequest(t)
	}
	deciding := p.killedAt == 0 || t < p.killedAt || t >= p.killedAt+simTakeoverTime
	if p.killedAt > 0 && t == p.killedAt+simTakeoverTime {
		p.decider = NewDecider(simBounds, p.saved)
		p.token, p.seq = 2, 0
	}
	if deciding && t-p.steppedAt >= 100*time.Millisecond {
		p.steppedAt = t
		p.decide(t)
	}
	for i, d := range p.fleet {
		if t < d.nextReport {
			continue
		}
		d.nextReport = t + p.reportInterval() + time.Duration(p.rng.Int64N(int64(30*time.Millisecond)))
		if !deciding || d.isolated && p.isolatedFrom > 0 && t >= p.isolatedFrom {
			continue
		}
		r := d.counter.Report()
		p.decider.AddReport(now, fmt.Sprint(i), &r)
		d.gate.Apply(now, Update{Rank: Rank{p.token, p.seq}, Splits: []Split{p.decider.Split(now)}})
		s, _ := d.gate.Split(now, "models")
		d.counter.SetMoved(s.AllNew())
	}
}

func (p *simulation) decide(t time.Duration) {
	now := simStart.Add(t)
	before := p.decider.record.Phase
	p.decider.Step(now, p.view())
	p.seq++
	if t%time.Second < 100*time.Millisecond || p.decider.record.Phase != before {
		p.saved = p.decider.Record()
	}
	if p.decider.record.Phase.Final() && p.endedAt == 0 {
		p.endedAt = t
		p.exposedAtEnd, p.askedByFinal = p.exposed, p.asked
		if p.decider.record.Phase == Completed {
			for _, f := range p.inFlight {
				if !f.endpoint.isNew && !simRoutes[f.route].retryable {
					p.lost++
				}
			}
		}
	}
}

func (p *simulation) view() View {
	v := View{Old: p.endpoints, New: p.endpoints, ReportInterval: p.movingInterval(), Routes: map[string]bool{}}
	for i, r := range simRoutes {
		v.Routes[fmt.Sprint(i)] = r.retryable
	}
	for i, d := range p.fleet {
		if !d.isolated || p.isolatedFrom == 0 {
			v.Daemons = append(v.Daemons, fmt.Sprint(i))
		}
	}
	return v
}

// reportInterval is the interval of reports: short while a service moves.
func (p *simulation) reportInterval() time.Duration {
	if p.decider.record.Phase == Moving {
		return p.movingInterval()
	}
	return p.interval
}

func (p *simulation) movingInterval() time.Duration {
	return min(p.interval, max(100*time.Millisecond, time.Duration(p.daemons)*1500*time.Microsecond))
}

func (p *simulation) startRequest(t time.Duration) {
	now := simStart.Add(t)
	beforeDeadline := t < p.duration
	if beforeDeadline {
		p.asked++
	}
	route := p.drawRoute()
	di := p.rng.IntN(p.daemons)
	d := p.fleet[di]
	d.counter.CountRequest()
	s, known := d.gate.Split(now, "models")
	side := Old
	if known {
		side = s.Side(fmt.Sprint(route), p.rng.Float64())
	}
	e := p.old[p.rng.IntN(len(p.old))]
	if side == New {
		spread := min(s.Spread, len(p.new))
		e = p.new[(int(s.Rotation)*7+p.rng.IntN(spread))%len(p.new)]
		if beforeDeadline {
			p.exposed++
		}
		p.lastSentToNew = t
	}
	if side == New {
		d.counter.CountExposed()
	} else if !simRoutes[route].retryable {
		d.counter.AddRunning(1)
	}
	p.dispatch(t, di, e, route)
}

func (p *simulation) drawRoute() int {
	draw, route := p.rng.Float64(), 0
	for draw >= simRoutes[route].share {
		draw -= simRoutes[route].share
		route++
	}
	return route
}

func (p *simulation) dispatch(t time.Duration, di int, e *simEndpoint, route int) {
	e.running++
	took := time.Duration(float64(simRoutes[route].took) * math.Exp(0.5*p.rng.NormFloat64()))
	f := simRequest{daemon: di, endpoint: e, route: route}
	part := t.Seconds() / p.duration.Seconds()
	if p.rng.Float64() < 0.003 {
		f.failed = true
	}
	isBad := false
	if b := p.defect; b != nil && e.isNew && p.isDefective(b, e, part, route) {
		isBad = true
		if b.slow > 0 {
			took = time.Duration(float64(took) * b.slow)
		} else {
			f.failed = true
		}
	}
	if ft := p.fault; ft != nil && e.faulty && part >= ft.from {
		if p.rng.Float64() < ft.fails {
			f.failed = true
		}
		if ft.slow > 0 {
			took = time.Duration(float64(took) * ft.slow)
		}
	}
	if f.failed {
		took = took/4 + 5*time.Millisecond
	}
	if isBad {
		p.badAnswers++
		if p.badAnswers == 50 {
			p.fiftiethBad = t + took
		}
	}
	f.took, f.ends = took, t+took
	heap.Push(&p.inFlight, f)
}

func (p *simulation) isDefective(b *defect, e *simEndpoint, part float64, route int) bool {
	if part < b.from || b.route >= 0 && b.route != route {
		return false
	}
	if b.loaded {
		mean := 0
		for _, o := range p.old {
			mean += o.running
		}
		if float64(e.running) < 0.75*float64(mean)/float64(len(p.old)) {
			return false
		}
	}
	return p.rng.Float64() < b.share
}

func (p *simulation) finishRequest(f simRequest) {
	f.endpoint.running--
	d := p.fleet[f.daemon]
	name := ""
	if f.endpoint.isNew {
		name = fmt.Sprint(f.endpoint.index)
	} else if !simRoutes[f.route].retryable {
		d.counter.AddRunning(-1)
	}
	d.counter.CountAnswer(fmt.Sprint(f.route), name, f.failed, f.took)
}

// violation says which bound on a bad version's requests was exceeded; empty: none.
func (p *simulation) violation() string {
	if p.defect == nil {
		return ""
	}
	if allowed := simBounds.Share*float64(p.asked) + simBounds.Slack; float64(p.exposed) > allowed {
		return fmt.Sprintf("%d requests, %.0f allowed", p.exposed, allowed)
	}
	if p.fiftiethBad > 0 && p.lastSentToNew > p.fiftiethBad+simBounds.Stop {
		return fmt.Sprintf("sent %v after the fiftieth bad answer", p.lastSentToNew-p.fiftiethBad)
	}
	return ""
}

// usedShare returns the new version's requests as a share of those that a bad one may
// get.
func (p *simulation) usedShare() float64 {
	return float64(p.exposed) / (simBounds.Share*float64(p.asked) + simBounds.Slack)
}
