package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const playTick = 20 * time.Millisecond

var playBounds = Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second}

// badness is what is wrong with a version.
type badness struct {
	part   float64 // of its answers
	slow   float64 // times as long, 0: they fail
	from   float64 // part of the duration from which on
	route  int     // the only one that is bad, -1: all
	loaded bool    // only at an endpoint with the load of one of the old version
}

// trouble is what strikes endpoints of both versions, whatever their version.
type trouble struct {
	part  float64 // of the endpoints of each version, one at least where above 0
	fails float64 // part of their answers that fails
	slow  float64 // times as long
	from  float64 // part of the duration
	newOf int     // strikes this many of the new version alone
}

// routes of the play: part of the requests and middle answer time.
var playRoutes = []struct {
	part  float64
	took  time.Duration
	again bool // may be sent again
}{
	{0.15, 900 * time.Millisecond, true}, {0.24, 600 * time.Millisecond, false}, {0.33, 120 * time.Millisecond, true},
	{0.22, 40 * time.Millisecond, false}, {0.06, 40 * time.Millisecond, true},
}

type playEndpoint struct {
	isNew    bool
	index    int
	running  int
	troubled bool
}

type playRequest struct {
	ends     time.Duration
	daemon   int
	endpoint *playEndpoint
	route    int
	failed   bool
	took     time.Duration
}

type playQueue []playRequest

func (q playQueue) Len() int           { return len(q) }
func (q playQueue) Less(i, j int) bool { return q[i].ends < q[j].ends }
func (q playQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *playQueue) Push(x any)        { *q = append(*q, x.(playRequest)) }
func (q *playQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type playDaemon struct {
	gate    *Gate
	counter *Counter
	next    time.Duration
	cut     bool
}

// play is a roll-out in a fleet.
type play struct {
	daemons   int
	endpoints int // of each version
	rate      float64
	duration  time.Duration
	after     time.Duration // how long it is played on after the deadline
	interval  time.Duration // of reports
	bad       *badness
	trouble   *trouble
	// killedAt is when the decider is killed; another one goes on from its record
	// takeOver later.
	killedAt time.Duration
	// cutFrom, cutPart: daemons that hear nothing from then on, but serve.
	cutFrom time.Duration
	cutPart float64

	rng     *rand.Rand
	fleet   []*playDaemon
	old     []*playEndpoint
	new     []*playEndpoint
	decider *Decider
	saved   Record
	seq     uint64
	token   uint64
	flights playQueue
	stepped time.Duration

	asked, exposed int
	badAnswers     int
	fiftieth       time.Duration
	lastSent       time.Duration // to the new version
	ended          time.Duration
	cutOff         int // requests that ran at the old version when it was stopped
	askedByFinal   int
	exposedAtEnd   int
}

var playBegan = time.Unix(1_000_000, 0)

func (p *play) run(seed uint64) {
	p.rng = rand.New(rand.NewPCG(seed, 7))
	if p.interval == 0 {
		p.interval = 400 * time.Millisecond
	}
	for i := range p.endpoints {
		p.old = append(p.old, &playEndpoint{index: i})
		p.new = append(p.new, &playEndpoint{index: i, isNew: true})
	}
	p.troubleSome()
	p.token = 1
	p.decider = NewDecider(playBounds, Record{Order: Order{"models", "v2", p.duration}, Started: playBegan})
	for i := range p.daemons {
		d := &playDaemon{gate: NewGate(playBounds), next: time.Duration(p.rng.Int64N(int64(p.interval)))}
		d.cut = float64(i) < p.cutPart*float64(p.daemons)
		d.counter = NewCounter("models", p.decider.record.Key())
		p.fleet = append(p.fleet, d)
	}
	for t := time.Duration(0); t < p.duration+p.after; t += playTick {
		p.step(t)
	}
}

func (p *play) troubleSome() {
	if p.trouble == nil {
		return
	}
	n := int(math.Ceil(p.trouble.part * float64(p.endpoints)))
	for _, set := range [][]*playEndpoint{p.old, p.new} {
		for _, i := range p.rng.Perm(p.endpoints)[:n] {
			set[i].troubled = true
		}
	}
	for _, i := range p.rng.Perm(p.endpoints)[:min(p.trouble.newOf, p.endpoints)] {
		p.new[i].troubled = true
	}
}

const playTakeOver = 3500 * time.Millisecond

func (p *play) step(t time.Duration) {
	now := playBegan.Add(t)
	for len(p.flights) > 0 && p.flights[0].ends <= t {
		p.end(heap.Pop(&p.flights).(playRequest))
	}
	n := p.rate * playTick.Seconds()
	for ; p.rng.Float64() < n; n-- {
		p.request(t)
	}
	deciding := p.killedAt == 0 || t < p.killedAt || t >= p.killedAt+playTakeOver
	if p.killedAt > 0 && t == p.killedAt+playTakeOver {
		p.decider = NewDecider(playBounds, p.saved)
		p.token, p.seq = 2, 0
	}
	if deciding && t-p.stepped >= 100*time.Millisecond {
		p.stepped = t
		p.decide(t)
	}
	for i, d := range p.fleet {
		if t < d.next {
			continue
		}
		d.next = t + p.reportEvery() + time.Duration(p.rng.Int64N(int64(30*time.Millisecond)))
		if !deciding || d.cut && p.cutFrom > 0 && t >= p.cutFrom {
			continue
		}
		r := d.counter.Report()
		p.decider.Hear(now, fmt.Sprint(i), &r)
		d.gate.Hear(now, News{Rank: Rank{p.token, p.seq}, Words: []Word{p.decider.Word(now)}})
		w, _ := d.gate.Word(now, "models")
		d.counter.SetMoved(w.All())
	}
}

func (p *play) decide(t time.Duration) {
	now := playBegan.Add(t)
	before := p.decider.record.Phase
	p.decider.Step(now, p.view())
	p.seq++
	if t%time.Second < 100*time.Millisecond || p.decider.record.Phase != before {
		p.saved = p.decider.Record()
	}
	if p.decider.record.Phase.Final() && p.ended == 0 {
		p.ended = t
		p.exposedAtEnd, p.askedByFinal = p.exposed, p.asked
		if p.decider.record.Phase == Completed {
			for _, f := range p.flights {
				if !f.endpoint.isNew && !playRoutes[f.route].again {
					p.cutOff++
				}
			}
		}
	}
}

func (p *play) view() View {
	v := View{Old: p.endpoints, New: p.endpoints, Interval: p.movingEvery(), Routes: map[string]bool{}}
	for i, r := range playRoutes {
		v.Routes[fmt.Sprint(i)] = r.again
	}
	for i, d := range p.fleet {
		if !d.cut || p.cutFrom == 0 {
			v.Daemons = append(v.Daemons, fmt.Sprint(i))
		}
	}
	return v
}

// reportEvery is the interval of reports: short while a service moves.
func (p *play) reportEvery() time.Duration {
	if p.decider.record.Phase == Moving {
		return p.movingEvery()
	}
	return p.interval
}

func (p *play) movingEvery() time.Duration {
	return min(p.interval, max(100*time.Millisecond, time.Duration(p.daemons)*1500*time.Microsecond))
}

func (p *play) request(t time.Duration) {
	now := playBegan.Add(t)
	until := t < p.duration
	if until {
		p.asked++
	}
	route := p.drawRoute()
	di := p.rng.IntN(p.daemons)
	d := p.fleet[di]
	d.counter.Asked()
	w, known := d.gate.Word(now, "models")
	side := Old
	if known {
		side = w.Side(fmt.Sprint(route), p.rng.Float64())
	}
	e := p.old[p.rng.IntN(len(p.old))]
	if side == New {
		spread := min(w.Spread, len(p.new))
		e = p.new[(int(w.Turn)*7+p.rng.IntN(spread))%len(p.new)]
		if until {
			p.exposed++
		}
		p.lastSent = t
	}
	if side == New {
		d.counter.SentToNew()
	} else if !playRoutes[route].again {
		d.counter.Runs(1)
	}
	p.begin(t, di, e, route)
}

func (p *play) drawRoute() int {
	draw, route := p.rng.Float64(), 0
	for draw >= playRoutes[route].part {
		draw -= playRoutes[route].part
		route++
	}
	return route
}

func (p *play) begin(t time.Duration, di int, e *playEndpoint, route int) {
	e.running++
	took := time.Duration(float64(playRoutes[route].took) * math.Exp(0.5*p.rng.NormFloat64()))
	f := playRequest{daemon: di, endpoint: e, route: route}
	part := t.Seconds() / p.duration.Seconds()
	if p.rng.Float64() < 0.003 {
		f.failed = true
	}
	wrong := false
	if b := p.bad; b != nil && e.isNew && p.isBad(b, e, part, route) {
		wrong = true
		if b.slow > 0 {
			took = time.Duration(float64(took) * b.slow)
		} else {
			f.failed = true
		}
	}
	if x := p.trouble; x != nil && e.troubled && part >= x.from {
		if p.rng.Float64() < x.fails {
			f.failed = true
		}
		if x.slow > 0 {
			took = time.Duration(float64(took) * x.slow)
		}
	}
	if f.failed {
		took = took/4 + 5*time.Millisecond
	}
	if wrong {
		p.badAnswers++
		if p.badAnswers == 50 {
			p.fiftieth = t + took
		}
	}
	f.took, f.ends = took, t+took
	heap.Push(&p.flights, f)
}

func (p *play) isBad(b *badness, e *playEndpoint, part float64, route int) bool {
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
	return p.rng.Float64() < b.part
}

func (p *play) end(f playRequest) {
	f.endpoint.running--
	d := p.fleet[f.daemon]
	name := ""
	if f.endpoint.isNew {
		name = fmt.Sprint(f.endpoint.index)
	} else if !playRoutes[f.route].again {
		d.counter.Runs(-1)
	}
	d.counter.Answered(fmt.Sprint(f.route), name, f.failed, f.took)
}

// broken names what of the bound on a bad version's requests was broken.
func (p *play) broken() string {
	if p.bad == nil {
		return ""
	}
	if most := playBounds.Share*float64(p.asked) + playBounds.Slack; float64(p.exposed) > most {
		return fmt.Sprintf("%d requests, %.0f allowed", p.exposed, most)
	}
	if p.fiftieth > 0 && p.lastSent > p.fiftieth+playBounds.Stop {
		return fmt.Sprintf("sent %v after the fiftieth bad answer", p.lastSent-p.fiftieth)
	}
	return ""
}

// used returns the part of the allowed requests that a bad version got by the verdict.
func (p *play) used() float64 {
	return float64(p.exposed) / (playBounds.Share*float64(p.asked) + playBounds.Slack)
}
