package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Planner plans for one shard of the instances, such as a region. Its own state
// isn't stored: a successor starts without it, and at worst repeats launches that
// were just refused. Not safe for concurrent use.
type Planner struct {
	cfg          Config
	shard        string
	rng          *rand.Rand
	backoffs     map[kind]*backoff
	calls        map[string]call // by client token
	surplusSince time.Time       // since when there is a surplus; zero if there is none
	shortSince   time.Time       // since when there is too little even for the demand; zero if there is enough
}

// call is the outcome of a launch that this planner returned.
type call struct {
	pending  bool
	refused  bool
	instance fleet.InstanceID
	at       time.Time
}

// New returns a planner for shard.
func New(shard string, cfg Config, rng *rand.Rand) *Planner {
	return &Planner{
		cfg:      cfg,
		shard:    shard,
		rng:      rng,
		backoffs: make(map[kind]*backoff),
		calls:    make(map[string]call),
	}
}

// Launched records that a launch succeeded with an instance.
func (p *Planner) Launched(now time.Time, l cloudapi.Launch, id fleet.InstanceID) {
	p.calls[l.ClientToken] = call{instance: id, at: now}
	delete(p.backoffs, kindOf(l))
}

// Refused records that the market refused a launch, so that nothing was bought. The
// next plan uses another kind of instance.
func (p *Planner) Refused(now time.Time, l cloudapi.Launch) {
	p.calls[l.ClientToken] = call{refused: true}
	p.backOff(now, kindOf(l))
}

// Lost records that the answer to a launch was lost, so that an instance may have
// been bought. A later plan repeats the launch with the same client token, which
// buys at most once.
func (p *Planner) Lost(now time.Time, l cloudapi.Launch) {
	delete(p.calls, l.ClientToken)
	p.backOff(now, kindOf(l))
}

func (p *Planner) backOff(now time.Time, c kind) {
	b := p.backoffs[c]
	if b == nil {
		b = &backoff{}
		p.backoffs[c] = b
	}
	b.refused(now, &p.cfg, p.rng)
}

func kindOf(l cloudapi.Launch) kind {
	return kind{dataCentre: l.DataCentre, class: l.Class, onDemand: l.OnDemand}
}

// Plan returns what to do now. Call it again by Result.NextPlan, and when demand,
// prices or notices change or a launch is answered. Report the outcome of every
// launch with Launched, Refused or Lost.
func (p *Planner) Plan(now time.Time, in Input) Result {
	res := Result{Record: in.Record.clone()}
	s := p.takeInventory(now, in, &res)
	p.retryLaunches(now, &res)
	p.buy(now, in, s, &res)
	p.giveBackSurplus(now, in, s, &res)
	res.NextPlan = p.nextPlan(now, in, &res)
	return res
}

// nextPlan returns when the next plan is due if nothing changes before.
func (p *Planner) nextPlan(now time.Time, in Input, res *Result) time.Time {
	const regular = time.Minute // prices and demand change gradually
	next := now.Add(regular)
	m := p.market(now, in.Prices)
	if res.Shortfall > 0 && !m.next.IsZero() && m.next.Before(next) {
		next = m.next
	}
	return next
}
