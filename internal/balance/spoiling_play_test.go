package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// spoilingCase is a service of which some endpoints spoil a share of their answers.
type spoilingCase struct {
	daemons, sound, spoiling int
	share                    float64       // of the answers that a spoiling endpoint spoils
	soundShare               float64       // of those that the others spoil
	plain                    bool          // calls, not streams with prompts, of which a spoiled one fails midway
	load                     float64       // as a share of what the endpoints can run
	soundFrom                time.Duration // from when nothing is spoiled any more; 0: never
}

// spoilingPlay is a fleet of balancers before such a service. The endpoints' answers take a fixed time.
type spoilingPlay struct {
	spoilingCase
	now      time.Time
	rng      *rand.Rand
	events   playEvents
	daemons  []*Balancer
	requests map[fleet.EndpointID]int
	failed   int // answers
	unserved int // requests whose second attempt failed too, or had no endpoint
	total    int
}

const spoilingSlots = 8

func newSpoilingPlay(seed uint64, c spoilingCase) *spoilingPlay {
	p := &spoilingPlay{spoilingCase: c, now: start, rng: rand.New(rand.NewPCG(seed, 9)), requests: map[fleet.EndpointID]int{}}
	var all []roster.Endpoint
	for i := range c.sound + c.spoiling {
		id := fmt.Sprint("sound", i)
		if i >= c.sound {
			id = fmt.Sprint("spoiling", i)
		}
		all = append(all, roster.Endpoint{ID: fleet.EndpointID(id), Service: "s", Slots: spoilingSlots, DataCentre: "a", StartedAt: start})
	}
	service := route.Service{Name: "s"}
	if !c.plain {
		service.Engine = &route.Engine{Slots: spoilingSlots, CacheTokens: 700_000}
	}
	perSecond := c.load * float64(len(all)*spoilingSlots) / p.duration().Seconds() / float64(c.daemons)
	for range c.daemons {
		b := New("a", rand.New(rand.NewPCG(p.rng.Uint64(), 1)))
		b.Configure(route.New(route.Table{Services: []route.Service{service}}))
		b.SetEndpoints(p.now, all)
		p.daemons = append(p.daemons, b)
		var arrive func()
		arrive = func() {
			p.total++
			p.send(b, p.request(), 0)
			p.in(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
		p.in(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	p.in(0, p.report)
	return p
}

// duration is the time of an answer.
func (p *spoilingPlay) duration() time.Duration {
	if !p.plain {
		return time.Second
	}
	return 30 * time.Millisecond
}

func (p *spoilingPlay) request() *Request {
	if p.plain {
		return &Request{Service: "s"}
	}
	shared := 2 + p.rng.Uint64N(40)
	return &Request{Service: "s", Prompt: 1500, Output: 100, Parts: []Part{{1, 200}, {shared, 1000}, {p.rng.Uint64(), 300}}}
}

func (p *spoilingPlay) in(d time.Duration, do func()) {
	heap.Push(&p.events, playEvent{p.now.Add(d), do})
}

func (p *spoilingPlay) runUntil(until time.Duration) {
	end := start.Add(until)
	for len(p.events) > 0 && p.events[0].at.Before(end) {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
	p.now = end
}

// report brings all daemons' loads to each of them.
func (p *spoilingPlay) report() {
	own := make([]Loads, len(p.daemons))
	sum := Loads{}
	for i, b := range p.daemons {
		own[i] = b.OwnLoads()
		for k, l := range own[i] {
			s := sum[k]
			sum[k] = Load{s.Requests + l.Requests, s.PendingPrefill + l.PendingPrefill}
		}
	}
	for i, b := range p.daemons {
		others := Loads{}
		for k, l := range sum {
			others[k] = Load{l.Requests - own[i][k].Requests, l.PendingPrefill - own[i][k].PendingPrefill}
		}
		b.SetOthers(others)
	}
	p.in(400*time.Millisecond, p.report)
}

// send sends a request, twice where its first answer is spoiled.
func (p *spoilingPlay) send(b *Balancer, r *Request, attempts int) {
	c, ok := b.Pick(p.now, r)
	if !ok {
		p.unserved++
		return
	}
	b.Sent(r, c)
	p.requests[c.Endpoint.ID]++
	share := p.soundShare
	if strings.HasPrefix(string(c.Endpoint.ID), "spoiling") {
		share = p.share
	}
	spoiled := p.rng.Float64() < share && (p.soundFrom == 0 || p.now.Sub(start) < p.soundFrom)
	took := p.duration()
	if spoiled && !p.plain {
		took = time.Duration(p.rng.Float64() * float64(took))
	}
	if !p.plain {
		p.in(took/20, func() { b.FirstToken(r, c, 0.03) })
	}
	p.in(took, func() {
		if !spoiled {
			b.Done(p.now, r, c, !p.plain, Answered)
			return
		}
		p.failed++
		b.Done(p.now, r, c, !p.plain, Failed)
		if r.Tried = append(r.Tried, c.Endpoint.ID); attempts == 0 {
			p.send(b, r, 1)
		} else {
			p.unserved++
		}
	})
}

// meanOf returns the mean number of requests of the endpoints of a kind.
func (p *spoilingPlay) meanOf(kind string, n int) float64 {
	sum := 0
	for id, k := range p.requests {
		if strings.HasPrefix(string(id), kind) {
			sum += k
		}
	}
	return float64(sum) / float64(max(n, 1))
}

func (p *spoilingPlay) ratio() float64 {
	return p.meanOf("spoiling", p.spoiling) / max(p.meanOf("sound", p.sound), 1)
}

// spoilingSeeds are the seeds of each play.
const spoilingSeeds = 3

// Guards against endpoints that get as many requests as sound ones though they fail a share of them which isn't
// consecutive failures: at most half as many.
func TestSpoilingEndpointsGetFewerRequests(t *testing.T) {
	for _, plain := range []bool{false, true} {
		lasts := time.Minute
		if plain {
			lasts = 5 * time.Second // with as many requests
		}
		for _, daemons := range []int{1, 8} {
			for _, spoiling := range []int{1, 8} {
				for _, share := range []float64{0.1, 0.25, 0.5} {
					for seed := range uint64(spoilingSeeds) {
						p := newSpoilingPlay(seed, spoilingCase{daemons: daemons, sound: 5, spoiling: spoiling, share: share, plain: plain, load: 0.6})
						p.runUntil(lasts)
						t.Logf("plain %v, %d daemons, %d of %d spoil %.2f: %.2f of a sound one's requests, %.3f spoiled, %.4f twice",
							plain, daemons, spoiling, spoiling+5, share, p.ratio(), float64(p.failed)/float64(p.total), float64(p.unserved)/float64(p.total))
						assert.Assert(t, share < 0.25 || p.ratio() <= 0.5)
					}
				}
			}
		}
	}
}

// Guards against endpoints of a service that all fail alike, of which some are avoided until the others have no
// room: each gets at least half as many requests as any other, and no more requests fail.
func TestEndpointsThatFailAlikeAllServe(t *testing.T) {
	for _, share := range []float64{0.02, 0.1, 0.25, 0.5, 1} {
		for seed := range uint64(spoilingSeeds) {
			p := newSpoilingPlay(seed, spoilingCase{daemons: 8, sound: 8, soundShare: share, load: 0.6})
			p.runUntil(time.Minute)
			least, most := p.total, 0
			for _, n := range p.requests {
				least, most = min(least, n), max(most, n)
			}
			t.Logf("%.2f fail: %d to %d requests at an endpoint, %.3f failed twice", share, least, most, float64(p.unserved)/float64(p.total))
			assert.Assert(t, len(p.requests) == 8 && 2*least >= most)
			assert.Assert(t, float64(p.unserved) <= (share*share+0.02)*float64(p.total))
		}
	}
}

// Guards against an endpoint that is avoided though it is sound again: after two minutes it gets at least half as
// many requests as the others.
func TestEndpointThatIsSoundAgainGetsRequests(t *testing.T) {
	for _, daemons := range []int{1, 8} {
		for seed := range uint64(spoilingSeeds) {
			p := newSpoilingPlay(seed, spoilingCase{daemons: daemons, sound: 5, spoiling: 1, share: 0.5, load: 0.6, soundFrom: time.Minute})
			p.runUntil(3 * time.Minute)
			clear(p.requests)
			p.runUntil(4 * time.Minute)
			t.Logf("%d daemons: %.2f of the others' requests", daemons, p.ratio())
			assert.Assert(t, p.ratio() >= 0.5)
		}
	}
}

// Guards against silence, as of a cut path, that keeps requests from an endpoint for long.
func TestSilenceIsNoFailureRate(t *testing.T) {
	b := newTestBalancer(1, 2)
	q := requestWithPrefix(3)
	for range 10 {
		c, _ := b.Pick(start, q)
		b.Sent(q, c)
		b.Done(start, q, c, false, Silent)
	}
	assert.Equal(t, len(b.failureRates), 0)
}
