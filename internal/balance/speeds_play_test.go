package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// The engines and streams of the play.
const (
	tightTarget                     = 200 * time.Millisecond
	speedPlaySlots                  = 48
	speedPlayTarget                 = 500 * time.Millisecond // for the pauses
	speedPlayReport                 = 400 * time.Millisecond // between two load reports of a daemon
	eventTokens                     = 7
	playChunk                       = 1024
	playPrefillRate                 = 57.0 // prompt tokens a millisecond
	playStepMillis                  = 3.1
	playRequestMillis               = 0.1
	playSpell                       = 600 * time.Millisecond
	playSpellShare                  = 0.15
	playSpellSlow                   = 2.5
	playPrefixes                    = 600
	playOwnLeast, playOwnMost       = 50.0, 10_000.0  // tokens of a prompt that no other request has
	playSharedLeast, playSharedMost = 750.0, 40_000.0 // tokens of its shared parts
	playComputed                    = 0.2             // part of the prompt tokens that engines compute
	playWarmUp                      = 12 * time.Second
	playRamp                        = 6 * time.Second // caches are empty before
	playNetworkLatency              = time.Millisecond
)

// speedCase is a fleet and how much it knows of its engines' speeds.
type speedCase struct {
	speeds  []float64 // of the usual speed, in turn
	engines int
	daemons int
	load    float64 // as a share of what the engines can do
	known   bool    // the daemons have the factors
	learned bool    // the daemons estimate the factors from their streams
	noise   float64 // standard deviation of the logarithm of a factor
	tight   float64 // share of streams with tightTarget
	pauses  bool    // the daemons observe pauses
}

// speedPlay is a fleet of balancers in front of engines of uneven speed.
type speedPlay struct {
	speedCase
	now                     time.Time
	rng                     *rand.Rand
	events                  playEvents
	engines                 []*speedEngine
	byID                    map[fleet.EndpointID]*speedEngine
	fleet                   []*speedDaemon
	prefixes                []int // tokens
	median                  float64
	errors                  []float64 // of the predicted time to the first event, in seconds
	uncached                int
	prompts                 int
	tightStreams, tightLate int
	estimates, unusual      int                                  // of slowness by the daemons, all and those that aren't the usual one
	onStream                func(s *speedStream, e *speedEngine) // called at the end of each; nil for none
}

type speedDaemon struct {
	balancer *Balancer
	reported Loads
}

type speedEngine struct {
	roster.Endpoint
	speed     float64
	slowUntil time.Time // of the spell
	slowBy    float64   // beside spells
	decoding  []*speedStream
	prefill   []*speedStream
	queue     []*speedStream
	cache     partCache
	stepping  bool
	chunk     int
	// measured
	streams, late, sent int
	busySeconds         float64 // of running requests
	since               time.Time
	began               time.Time
}

type speedStream struct {
	request   *Request
	choice    Choice
	daemon    *speedDaemon
	sent      time.Time
	left      int // uncached tokens
	tokens    int
	produced  int
	lastEvent time.Time
	longest   time.Duration
	target    time.Duration
	runBegan  time.Time // of the run of events being measured
	runEvents int
}

func (p *speedPlay) in(d time.Duration, do func()) { heap.Push(&p.events, playEvent{p.now.Add(d), do}) }

func (p *speedPlay) runUntil(until time.Duration) {
	end := start.Add(until)
	for len(p.events) > 0 && p.events[0].at.Before(end) {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
	p.now = end
}

// logUniform draws from a range, evenly by the logarithm.
func logUniform(rng *rand.Rand, least, most float64) float64 {
	return least * math.Pow(most/least, rng.Float64())
}

func meanLogUniform(least, most float64) float64 { return (most - least) / math.Log(most/least) }

func newSpeedPlay(seed uint64, c speedCase) *speedPlay {
	p := &speedPlay{speedCase: c, now: start, rng: rand.New(rand.NewPCG(seed, 5)), byID: map[fleet.EndpointID]*speedEngine{}}
	for range playPrefixes {
		p.prefixes = append(p.prefixes, int(logUniform(p.rng, playSharedLeast, playSharedMost)))
	}
	all := make([]float64, c.engines)
	for i := range c.engines {
		all[i] = c.speeds[i%len(c.speeds)]
		e := &speedEngine{speed: all[i], slowBy: 1, cache: partCache{capacity: 700_000}}
		e.Endpoint = roster.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "llm", Slots: speedPlaySlots, DataCentre: fleet.DataCentre("abcd"[i%4 : i%4+1]), StartedAt: start}
		p.engines = append(p.engines, e)
		p.byID[e.ID] = e
		p.scheduleSpell(e)
	}
	slices.Sort(all)
	p.median = all[len(all)/2]
	for range c.daemons {
		p.addDaemon()
	}
	if c.learned {
		p.in(speedPlaySums, p.exchangeSpeeds)
	}
	return p
}

// speedPlaySums is the time between two sums of observations.
const speedPlaySums = time.Second

// exchangeSpeeds gives each daemon the observations of all others, again and again.
func (p *speedPlay) exchangeSpeeds() {
	waits := map[*speedDaemon][]Wait{}
	for _, e := range p.engines {
		for _, s := range e.decoding {
			if !s.lastEvent.IsZero() {
				waits[s.daemon] = append(waits[s.daemon], Wait{s.choice, p.now.Sub(s.lastEvent).Seconds()})
			}
		}
	}
	all, own := speed.Observations{}, map[*speedDaemon]speed.Observations{}
	for _, d := range p.fleet {
		own[d] = d.balancer.OwnSpeeds(p.now, waits[d])
		all.Add(own[d], 0)
	}
	for _, d := range p.fleet {
		d.balancer.SetOtherSpeeds(p.now, all.Without(own[d]))
		for _, m := range d.balancer.members {
			p.estimates++
			if m.slow != usual {
				p.unusual++
			}
		}
	}
	p.in(speedPlaySums, p.exchangeSpeeds)
}

// observeRun measures the events of a stream as the relay does.
func (s *speedStream) observeRun(now time.Time, b *Balancer) {
	if s.lastEvent.IsZero() {
		s.runBegan = now
		return
	}
	s.runEvents++
	if took := now.Sub(s.runBegan).Seconds(); s.runEvents >= speed.MinRunEvents && took >= speed.RunSeconds {
		b.ObserveEvents(now, s.choice, took, s.runEvents)
		s.runBegan, s.runEvents = now, 0
	}
}

func (p *speedPlay) list() []roster.Endpoint {
	var out []roster.Endpoint
	for _, e := range p.engines {
		out = append(out, e.Endpoint)
	}
	return out
}

// scheduleSpell slows an engine from time to time.
func (p *speedPlay) scheduleSpell(e *speedEngine) {
	gap := playSpell.Seconds() * (1 - playSpellShare) / playSpellShare
	p.in(time.Duration(p.rng.ExpFloat64()*gap*float64(time.Second)), func() {
		e.slowUntil = p.now.Add(playSpell)
		p.in(playSpell, func() { p.scheduleSpell(e) })
	})
}

func (p *speedPlay) addDaemon() {
	d := &speedDaemon{balancer: New("a", rand.New(rand.NewPCG(p.rng.Uint64(), 1)))}
	d.balancer.Configure(route.New(route.Table{Services: []route.Service{{Name: "llm", Engine: &route.Engine{Slots: speedPlaySlots, CacheTokens: 700_000}}}}))
	d.balancer.SetEndpoints(p.now, p.list())
	p.fleet = append(p.fleet, d)
	p.setFactors(d)
	var arrive, report func()
	arrive = func() {
		p.send(d)
		p.in(p.gap(), arrive)
	}
	report = func() {
		d.reported = d.balancer.OwnLoads()
		others := Loads{}
		for _, o := range p.fleet {
			if o == d {
				continue
			}
			for key, l := range o.reported {
				others[key] = Load{others[key].Requests + l.Requests, others[key].PendingPrefill + l.PendingPrefill}
			}
		}
		d.balancer.SetOthers(others)
		p.in(speedPlayReport, report)
	}
	p.in(p.gap(), arrive)
	p.in(time.Duration(p.rng.Int64N(int64(speedPlayReport))), report)
}

// slowDown sets how many times as long an engine takes, which the daemons know after the time told.
func (p *speedPlay) slowDown(e *speedEngine, by float64, told time.Duration) {
	e.slowBy = by
	p.in(told, func() {
		for _, d := range p.fleet {
			p.setFactors(d)
		}
	})
}

// setFactors gives a daemon the engines' factors, with its own error.
func (p *speedPlay) setFactors(d *speedDaemon) {
	if !p.known {
		return
	}
	for _, e := range p.engines {
		m := d.balancer.members[e.ID]
		f := p.median / e.speed * e.slowBy
		m.slow = slowness(f * math.Exp(p.noise*p.rng.NormFloat64()))
	}
}

// perSecond returns the requests a second of all daemons: load times what the engines can do
// with half of their slots in use, if a fifth of the prompt tokens are computed.
func (p *speedPlay) perSecond() float64 {
	speeds := 0.0
	for _, e := range p.engines {
		speeds += e.speed * (1 - playSpellShare + playSpellShare/playSpellSlow)
	}
	prompt := meanLogUniform(playOwnLeast, playOwnMost) + meanLogUniform(playSharedLeast, playSharedMost)
	tokens := eventTokens * (3 + 60) / 2.0
	millis := playComputed*prompt/playPrefillRate + tokens*(playStepMillis/(speedPlaySlots/2)+playRequestMillis)
	return p.load * speeds * 1000 / millis
}

func (p *speedPlay) gap() time.Duration {
	ramp := min(0.3+0.7*p.now.Sub(start).Seconds()/playRamp.Seconds(), 1)
	return time.Duration(p.rng.ExpFloat64() * float64(p.daemons) / (ramp * p.perSecond()) * float64(time.Second))
}

// send sends a caller's request to the engine that a daemon chooses.
func (p *speedPlay) send(d *speedDaemon) {
	prefix := p.rng.IntN(playPrefixes)
	own := int(logUniform(p.rng, playOwnLeast, playOwnMost))
	shared := p.prefixes[prefix]
	s := &speedStream{daemon: d, sent: p.now, tokens: eventTokens * (3 + p.rng.IntN(58)), target: speedPlayTarget}
	if p.rng.Float64() < p.tight {
		s.target = tightTarget
	}
	s.request = &Request{
		Service: "llm", Prompt: shared + own, Output: s.tokens, PauseTarget: s.target,
		Parts: []Part{{uint64(prefix%16) + 1, 200}, {uint64(prefix) + 1000, shared - 200}, {p.rng.Uint64(), own}},
	}
	c, ok := d.balancer.Pick(p.now, s.request)
	if !ok {
		panic("no engine")
	}
	s.choice = c
	d.balancer.Sent(s.request, c)
	e := p.byID[c.Endpoint.ID]
	e.sent++
	p.in(playNetworkLatency, func() {
		s.left = s.request.Prompt - e.cache.prefixTokens(s.request.Parts)
		p.uncached += s.left
		p.prompts += s.request.Prompt
		e.cache.add(s.request.Parts)
		p.count(e)
		e.queue = append(e.queue, s)
		p.step(e)
	})
}

// count adds up an engine's requests over time.
func (p *speedPlay) count(e *speedEngine) {
	e.busySeconds += float64(len(e.decoding)+len(e.prefill)+len(e.queue)) * p.now.Sub(e.since).Seconds()
	e.since = p.now
}

// step starts an engine's next step: a token for each decoding stream, and a chunk of prompts.
func (p *speedPlay) step(e *speedEngine) {
	if e.stepping {
		return
	}
	for len(e.queue) > 0 && len(e.decoding)+len(e.prefill) < e.Slots {
		e.prefill = append(e.prefill, e.queue[0])
		e.queue = e.queue[1:]
	}
	running := len(e.decoding) + len(e.prefill)
	if running == 0 {
		return
	}
	e.stepping = true
	e.chunk = 0
	for _, s := range e.prefill {
		e.chunk += s.left
	}
	e.chunk = min(e.chunk, playChunk)
	millis := (playStepMillis + playRequestMillis*float64(running) + float64(e.chunk)/playPrefillRate) / e.speed * e.slowBy
	if p.now.Before(e.slowUntil) {
		millis *= playSpellSlow
	}
	p.in(time.Duration(millis*float64(time.Millisecond)), func() { p.endStep(e) })
}

func (p *speedPlay) endStep(e *speedEngine) {
	p.count(e)
	e.stepping = false
	still := e.decoding[:0]
	for _, s := range e.decoding {
		if !p.token(e, s) {
			still = append(still, s)
		}
	}
	e.decoding = still
	for len(e.prefill) > 0 {
		s := e.prefill[0]
		done := min(s.left, e.chunk)
		s.left -= done
		e.chunk -= done
		if s.left > 0 {
			break
		}
		e.prefill = e.prefill[1:]
		p.token(e, s)
		e.decoding = append(e.decoding, s)
	}
	p.step(e)
}

// token gives a stream a token and reports whether it was the last.
func (p *speedPlay) token(e *speedEngine, s *speedStream) bool {
	s.produced++
	if s.produced%eventTokens != 0 {
		return false
	}
	b := s.daemon.balancer
	if p.learned {
		s.observeRun(p.now, b)
	}
	if s.lastEvent.IsZero() {
		took := p.now.Sub(s.sent).Seconds()
		p.errors = append(p.errors, math.Abs(took-s.choice.Wait))
		b.FirstToken(s.request, s.choice, took)
	} else {
		s.longest = max(s.longest, p.now.Sub(s.lastEvent))
	}
	s.lastEvent = p.now
	if s.produced < s.tokens {
		return false
	}
	if p.pauses {
		b.ObservePause(p.now, s.choice, s.longest, s.target)
	}
	b.Done(p.now, s.request, s.choice, true, Answered)
	if s.target == tightTarget {
		p.tightStreams++
		if s.longest > s.target {
			p.tightLate++
		}
		return true
	}
	e.streams++
	if s.longest > s.target {
		e.late++
	}
	if p.onStream != nil {
		p.onStream(s, e)
	}
	return true
}

// resetCounts begins the measured time.
func (p *speedPlay) resetCounts() {
	p.errors, p.uncached, p.prompts = nil, 0, 0
	p.tightStreams, p.tightLate = 0, 0
	p.estimates, p.unusual = 0, 0
	for _, e := range p.engines {
		p.count(e)
		e.streams, e.late, e.sent, e.busySeconds, e.began = 0, 0, 0, 0, p.now
	}
}

// speedResult is what a play shows.
type speedResult struct {
	lateSlowest, late float64 // share of streams with a late pause
	running           map[float64]float64
	sent              map[float64]float64
	runningOff        float64 // most that running requests deviate from the proportion to speed
	sentOff           float64 // the same of requests sent
	tightLate         float64 // share of the streams with tightTarget with a late pause
	medianError, p95  float64
	uncached          float64
	unusual           float64 // share of the estimates of slowness that aren't the usual one
}

func (p *speedPlay) result() speedResult {
	r := speedResult{running: map[float64]float64{}, sent: map[float64]float64{}}
	bySpeed := slices.Clone(p.engines)
	slices.SortStableFunc(bySpeed, func(a, b *speedEngine) int {
		if a.speed != b.speed {
			if a.speed < b.speed {
				return -1
			}
			return 1
		}
		return 0
	})
	share := func(engines []*speedEngine) float64 {
		late, all := 0, 0
		for _, e := range engines {
			late, all = late+e.late, all+e.streams
		}
		return float64(late) / float64(max(all, 1))
	}
	r.lateSlowest, r.late = share(bySpeed[:len(bySpeed)/4]), share(bySpeed)
	running, sent, speeds := 0.0, 0.0, 0.0
	runningAt, sentAt, count := map[float64]float64{}, map[float64]float64{}, map[float64]float64{}
	for _, e := range p.engines {
		p.count(e)
		n := e.busySeconds / p.now.Sub(e.began).Seconds()
		running += n
		speeds += e.speed
		runningAt[e.speed] += n
		perSecond := float64(e.sent) / p.now.Sub(e.began).Seconds()
		sent += perSecond
		sentAt[e.speed] += perSecond
		count[e.speed]++
	}
	for s := range count {
		r.running[s] = runningAt[s] / count[s]
		r.sent[s] = sentAt[s] / count[s]
		r.runningOff = max(r.runningOff, math.Abs(r.running[s]/(s*running/speeds)-1))
		r.sentOff = max(r.sentOff, math.Abs(r.sent[s]/(s*sent/speeds)-1))
	}
	slices.Sort(p.errors)
	r.medianError, r.p95 = p.errors[len(p.errors)/2], p.errors[len(p.errors)*95/100]
	r.tightLate = float64(p.tightLate) / float64(max(p.tightStreams, 1))
	r.uncached = float64(p.uncached) / float64(p.prompts)
	r.unusual = float64(p.unusual) / float64(max(p.estimates, 1))
	return r
}

func (r speedResult) String() string {
	return fmt.Sprintf("late at the slowest quarter %.3f, overall %.3f, of tight ones %.3f; running %.1f (off by %.2f), sent %.1f (off by %.2f); error median %.0f ms, p95 %.0f ms; %.2f of prompts computed",
		r.lateSlowest, r.late, r.tightLate, r.running, r.runningOff, r.sent, r.sentOff, r.medianError*1000, r.p95*1000, r.uncached)
}
