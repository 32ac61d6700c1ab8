package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Planner plans for one shard of the duty, such as a region. Its own state is
// soft: a successor starts without it and only asks the market once more.
type Planner struct {
	cfg      Config
	shard    string
	rng      *rand.Rand
	backoffs map[choice]*backoff
	calls    map[string]call // by client token
	surplus  time.Time       // since when there is one; zero when there is none
	short    time.Time       // since when even the demand is not carried; zero when it is
}

// call is what became of a launch that this planner gave out.
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
		backoffs: make(map[choice]*backoff),
		calls:    make(map[string]call),
	}
}

// Launched reports that a launch was answered with an instance.
func (p *Planner) Launched(now time.Time, l cloudapi.Launch, id fleet.InstanceID) {
	p.calls[l.ClientToken] = call{instance: id, at: now}
	delete(p.backoffs, choiceOf(l))
}

// Refused reports that the market refused a launch: nothing was bought. The
// next plan makes another choice.
func (p *Planner) Refused(now time.Time, l cloudapi.Launch) {
	p.calls[l.ClientToken] = call{refused: true}
	p.backOff(now, choiceOf(l))
}

// Lost reports that a launch's answer was lost: it may have bought. A later
// plan launches again with the same token, which buys at most once.
func (p *Planner) Lost(now time.Time, l cloudapi.Launch) {
	delete(p.calls, l.ClientToken)
	p.backOff(now, choiceOf(l))
}

func (p *Planner) backOff(now time.Time, c choice) {
	b := p.backoffs[c]
	if b == nil {
		b = &backoff{}
		p.backoffs[c] = b
	}
	b.refused(now, &p.cfg, p.rng)
}

func choiceOf(l cloudapi.Launch) choice {
	return choice{dataCentre: l.DataCentre, class: l.Class, onDemand: l.OnDemand}
}

// Plan returns what to do now. Call it at Result.Again, and when demand,
// prices, notices or answers have changed. Every launch must be answered by
// Launched, Refused or Lost.
func (p *Planner) Plan(now time.Time, in Input) Result {
	res := Result{Record: in.Record.clone()}
	s := p.survey(now, in, &res)
	p.launchAgain(now, &res)
	p.buy(now, in, s, &res)
	p.giveBack(now, in, s, &res)
	res.Again = p.again(now, in, &res)
	return res
}

// again returns when the next plan is due without news.
func (p *Planner) again(now time.Time, in Input, res *Result) time.Time {
	const regular = time.Minute // prices and demand drift
	next := now.Add(regular)
	m := p.market(now, in.Prices)
	if res.Short > 0 && !m.next.IsZero() && m.next.Before(next) {
		next = m.next
	}
	return next
}
