package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func prices(reclaimable ...float64) []cloudapi.Price {
	var list []cloudapi.Price
	for i, p := range reclaimable {
		dc := fleet.DataCentre(rune('a' + i))
		list = append(list, cloudapi.Price{Class: "c", DataCentre: dc, Reclaimable: p, OnDemand: 3})
	}
	return list
}

func newPlanner() *Planner {
	cfg := DefaultConfig([]Class{{"c", 100}})
	cfg.Headroom = 0
	return New("s", cfg, rand.New(rand.NewPCG(1, 1)))
}

// input returns the input of a plan whose record was read just after the list.
func input(now time.Time, rate float64, r Record, owned ...Owned) Input {
	return Input{
		Demand:       Demand{Base: rate, Measured: rate},
		Prices:       prices(1, 1.1, 1.2),
		Owned:        owned,
		ListedAt:     now.Add(-time.Second),
		Record:       r,
		RecordReadAt: now,
	}
}

func bought(l cloudapi.Launch, ready bool) Owned {
	return Owned{
		Instance: cloudapi.Instance{
			ID:          fleet.InstanceID("i-" + l.ClientToken),
			ClientToken: l.ClientToken,
			Class:       l.Class,
			DataCentre:  l.DataCentre,
			OnDemand:    l.OnDemand,
		},
		Ready: ready,
	}
}

// buyAll plans for rate; every launch succeeds and its instance is ready at once.
func buyAll(p *Planner, rate float64) (Record, []Owned) {
	res := p.Plan(start, input(start, rate, Record{}))
	var owned []Owned
	for _, l := range res.Launches {
		o := bought(l, true)
		p.Launched(start, l, o.ID)
		owned = append(owned, o)
	}
	return res.Record, owned
}

// All of a data centre's instances may be lost at once. The others must be enough
// for the demand, and the mix must cost no more than 0.1% above the cheapest one.
func TestMixSurvivesLossOfADataCentreAtNearMinimalCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := float64(rapid.IntRange(1, 500).Draw(t, "need"))
		price := [3]float64{}
		var offers []offer
		for i := range price {
			price[i] = rapid.Float64Range(0.5, 3).Draw(t, "price")
			c := kind{dataCentre: fleet.DataCentre(rune('a' + i)), class: "c"}
			offers = append(offers, offer{kind: c, price: price[i], rate: 100})
		}
		buy, ok := cheapestMix(goal{need, 1}, dcRates{}, offers)
		assert.Assert(t, ok)
		h, cost := dcRates{}, 0.0
		for _, o := range buy {
			h[o.dataCentre] += o.rate
			cost += o.price
		}
		assert.Assert(t, h.surviving(1) >= need)
		best := 1e9
		for a := range 6 {
			for b := range 6 {
				for c := range 6 {
					n := dcRates{"a": float64(100 * a), "b": float64(100 * b), "c": float64(100 * c)}
					if n.surviving(1) >= need {
						best = min(best, float64(a)*price[0]+float64(b)*price[1]+float64(c)*price[2])
					}
				}
			}
		}
		assert.Assert(t, cost <= 1.001*best, "cost %v best %v", cost, best)
	})
}

// A launch takes effect, its answer is lost and the holder crashes. Its successor
// has only the record; with a new client token it would buy a second instance.
func TestSuccessorLaunchesWithTheSameToken(t *testing.T) {
	first := newPlanner()
	res := first.Plan(start, input(start, 100, Record{}))
	assert.Equal(t, len(res.Launches), 2)
	assert.Assert(t, res.Changed)
	again := newPlanner().Plan(after(time.Minute), input(after(time.Minute), 100, res.Record))
	assert.DeepEqual(t, again.Launches, res.Launches)
	assert.Assert(t, !again.Changed)
	// Once the list contains both, nothing more is launched.
	owned := []Owned{bought(res.Launches[0], false), bought(res.Launches[1], false)}
	last := newPlanner().Plan(after(2*time.Minute), input(after(2*time.Minute), 100, res.Record, owned...))
	assert.Equal(t, len(last.Launches), 0)
}

// An instance that isn't in the record would cost money for ever. But an instance
// that another holder recorded and bought after this one read the record looks the
// same and must be kept.
func TestOrphanIsGivenBackOnlyIfTheRecordIsNewerThanTheList(t *testing.T) {
	o := bought(cloudapi.Launch{ClientToken: token("s", 77), Class: "c", DataCentre: "a"}, true)
	other := bought(cloudapi.Launch{ClientToken: token("other", 1), Class: "c", DataCentre: "a"}, true)
	in := input(start, 0, Record{Next: 78}, o, other)
	in.RecordReadAt = in.ListedAt
	assert.Equal(t, len(newPlanner().Plan(start, in).GiveBacks), 0)
	in.RecordReadAt = start
	assert.DeepEqual(t, newPlanner().Plan(start, in).GiveBacks, []GiveBack{{o.ID, Orphan}})
}

// After a refused launch the next plan must try another data centre rather than
// repeat the launch, and buy on-demand only once the demand itself can't be served.
func TestRefusedLaunchIsRetriedElsewhereThenOnDemand(t *testing.T) {
	p := newPlanner()
	res := p.Plan(start, input(start, 100, Record{}))
	asked := map[fleet.DataCentre]bool{}
	for _, l := range res.Launches {
		asked[l.DataCentre] = true
		p.Refused(start, l)
	}
	assert.Assert(t, asked["a"] && asked["b"])
	res = p.Plan(start, input(start, 100, res.Record))
	assert.Equal(t, len(res.Launches), 1)
	assert.Equal(t, res.Launches[0].DataCentre, fleet.DataCentre("c"))
	assert.Assert(t, res.Shortfall > 0 && res.NextPlan.Before(after(time.Minute)))
	p.Refused(start, res.Launches[0])
	res = p.Plan(after(time.Second), input(after(time.Second), 100, res.Record))
	assert.Equal(t, len(res.Launches), 0)
	now := after(p.cfg.Patience + time.Second)
	for _, c := range []kind{{"a", "c", false}, {"b", "c", false}, {"c", "c", false}} {
		p.backOff(now, c)
	}
	res = p.Plan(now, input(now, 100, res.Record))
	assert.Equal(t, len(res.Launches), 1)
	assert.Assert(t, res.Launches[0].OnDemand)
}

// An instance under notice must no longer count, and its replacement must have a new
// client token: a launch with the old one would buy nothing.
func TestInstanceUnderNoticeIsReplacedAtOnce(t *testing.T) {
	p := newPlanner()
	r, owned := buyAll(p, 100)
	owned[0].LeaveAt = after(2 * time.Minute)
	now := after(time.Minute)
	res := p.Plan(now, input(now, 100, r, owned...))
	assert.Equal(t, len(res.Launches), 1)
	assert.Equal(t, res.Launches[0].ClientToken, token("s", 2))
	p.Launched(now, res.Launches[0], "i2")
	now = after(3 * time.Minute)
	res = p.Plan(now, input(now, 100, res.Record, owned[1], bought(res.Launches[0], false)))
	assert.Equal(t, len(res.Record.Intents), 2)
}

// Demand falls for a moment, or until a closing starts. Instances given back at once
// would have to be bought again, which the market may refuse.
func TestSurplusIsGivenBackLateAndNotBeforeAClosing(t *testing.T) {
	p := newPlanner()
	r, owned := buyAll(p, 400)
	at := func(d time.Duration, closings ...Closing) Result {
		in := input(after(d), 100, r, owned...)
		in.Demand.Closings = closings
		return p.Plan(after(d), in)
	}
	assert.Equal(t, len(at(0).GiveBacks), 0)
	soon := Closing{Start: after(10 * time.Minute), Deadline: after(70 * time.Minute), Work: 1e6}
	assert.Equal(t, len(at(6*time.Minute, soon).GiveBacks), 0)
	assert.Equal(t, len(at(7*time.Minute).GiveBacks), 0)
	assert.Equal(t, len(at(12*time.Minute).GiveBacks), len(owned)-2)
}

// No engine ever serves on an instance. If it were counted as starting for ever, it
// would never be replaced.
func TestStuckInstanceIsGivenBackAndReplaced(t *testing.T) {
	p := newPlanner()
	r, owned := buyAll(p, 100)
	owned[0].Ready = false
	r = p.Plan(after(time.Second), input(after(time.Second), 100, r, owned...)).Record
	now := after(p.cfg.StuckTime + time.Minute)
	res := p.Plan(now, input(now, 100, r, owned...))
	assert.DeepEqual(t, res.GiveBacks, []GiveBack{{owned[0].ID, Stuck}})
	assert.Equal(t, len(res.Launches), 1)
}

// After two simulated days of reclaim waves, refusals, lost answers and successors,
// every instance must be in the record, and the closings must have finished.
func TestTraceLeavesNoUnrecordedInstances(t *testing.T) {
	tr := newTrace(1)
	record := tr.run(DefaultConfig(traceClasses), 48*time.Hour, func(p []cloudapi.Price) []cloudapi.Price { return p })
	wanted := map[string]bool{}
	for _, i := range record.Intents {
		wanted[token("s", i.Number)] = true
	}
	for _, m := range tr.machines {
		assert.Assert(t, wanted[m.ClientToken], m.ClientToken)
	}
	for _, done := range tr.doneAt[:3] {
		assert.Assert(t, !done.IsZero())
	}
}

// Some instances are ready and others still start. If the starting ones counted
// towards a surplus, ready ones would be given back and callers left without engines.
func TestInstanceIsKeptUntilItsReplacementServes(t *testing.T) {
	p := newPlanner()
	r, owned := buyAll(p, 400)
	for i := range owned {
		owned[i].Ready = i < 2
	}
	for m := range 10 {
		now := after(time.Duration(m) * time.Minute)
		assert.Equal(t, len(p.Plan(now, input(now, 100, r, owned...)).GiveBacks), 0)
	}
}

// Prices change, so that the owned instances cost nearly three times as much as
// those in other data centres.
func TestExpensiveInstancesAreExchanged(t *testing.T) {
	p := newPlanner()
	r, owned := buyAll(p, 100)
	in := input(start, 100, r, owned...)
	in.Prices = prices(2.9, 2.9, 1, 1)
	res := p.Plan(start, in)
	assert.Equal(t, len(res.Launches), 2)
	for _, l := range res.Launches {
		assert.Assert(t, l.DataCentre == "c" || l.DataCentre == "d")
	}
	// While they start, no second exchange begins.
	in.Record = res.Record
	assert.Equal(t, len(p.Plan(start, in).Launches), 0)
}

// The rate of a closing with work left just before its deadline must stay finite,
// and a plan from nothing must launch a bounded number of instances.
func TestDemandAndLaunchesAreBounded(t *testing.T) {
	c := Closing{Start: start, Deadline: after(time.Hour), Work: 300}
	d := Demand{Closings: []Closing{c}}
	assert.Equal(t, d.At(after(time.Hour-1), after(time.Hour-1)), 1.0)
	p := newPlanner()
	assert.Equal(t, len(p.Plan(start, input(start, 1e5, Record{})).Launches), p.cfg.MaxLaunches)
}
