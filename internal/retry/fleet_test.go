package retry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

const (
	playStep     = 100 * time.Millisecond
	drainTime    = 5 * time.Second        // of a daemon that leaves
	spreadTime   = 300 * time.Millisecond // until others know of a start or a leave
	suspectTime  = 1500 * time.Millisecond
	refusedShare = 0.9 // of the requests
)

// fleetPlay plays a fleet whose callers want two retries of most requests.
type fleetPlay struct {
	random    *rand.Rand
	now       time.Time
	perSecond float64   // requests of the whole fleet
	refusedAt time.Time // since when requests want retries
	wish      float64   // part of the requests that do
	slots     []*slot
	store     playStore
	owed      float64
	requests  []int // by step, as callers send them
	retries   []int
	wished    int
}

// slot is an instance and the daemon that runs there.
type slot struct {
	name    fleet.InstanceID
	process *process // nil while none runs
	state   membership.State
	since   time.Time // of the state
	started bool
	side    int
	cutAt   time.Time // when side last changed
}

type process struct {
	budgets *Budgets
	sharers *Sharers
	started time.Time
	leaveAt time.Time // when it ends, zero unless it leaves
	wakeAt  time.Time // until when it is frozen
	waiting int       // requests that arrived meanwhile
	view    []membership.Member
	at      []int // position in view by slot, -1 if unknown
	stepBy  time.Duration
}

// playStore is the store with the checkpoint of the number of daemons and the daemons' records.
type playStore struct {
	away    bool
	era     int
	peak    Peak
	records map[fleet.InstanceID]playRecord
	copies  []playCopy // by second; the newest last
}

type playRecord struct {
	Record
	at  time.Time
	era int
}

type playCopy struct {
	peak    Peak
	records map[fleet.InstanceID]playRecord
}

func newFleetPlay(seed uint64, running, spare int, perSecond float64) *fleetPlay {
	p := &fleetPlay{random: rand.New(rand.NewPCG(seed, 1)), now: start, perSecond: perSecond, refusedAt: start, wish: refusedShare}
	p.store.records = map[fleet.InstanceID]playRecord{}
	for i := range running + spare {
		p.slots = append(p.slots, &slot{name: fleet.InstanceID(fmt.Sprintf("%03d", i))})
	}
	for _, s := range p.slots[:running] {
		p.start(s, true)
	}
	return p
}

// start starts a process; first means that the whole fleet starts for the first time.
func (p *fleetPlay) start(s *slot, first bool) {
	if s.process != nil {
		return
	}
	s.process = &process{
		budgets: NewBudgets(config, p.now, first), sharers: NewSharers(s.name, config.Window, p.now, first), started: p.now,
		at: make([]int, len(p.slots)),
	}
	for i := range s.process.at {
		s.process.at[i] = -1
	}
	s.state, s.since, s.started = membership.Alive, p.now, true
	p.takeRecord(s)
}

func (p *fleetPlay) kill(s *slot) {
	if s.process != nil {
		s.process, s.state, s.since = nil, membership.Dead, p.now
	}
}

// leave makes a daemon leave; it goes on serving for drainTime.
func (p *fleetPlay) leave(s *slot) {
	if s.process != nil && s.process.leaveAt.IsZero() {
		s.process.leaveAt = p.now.Add(drainTime)
		s.state, s.since = membership.Leaving, p.now
	}
}

func (p *fleetPlay) freeze(s *slot, d time.Duration) {
	if s.process != nil {
		s.process.wakeAt = p.now.Add(d)
	}
}

// cut separates the slots of one side from the others.
func (p *fleetPlay) cut(side func(i int) int) {
	for i, s := range p.slots {
		if s.side != side(i) {
			s.side, s.cutAt = side(i), p.now
		}
	}
}

// stepClocks moves the fleet's clock, as a daemon sees it.
func (p *fleetPlay) stepClocks(s *slot, by time.Duration) {
	if s.process != nil {
		s.process.stepBy = by
	}
}

// restore puts an older copy of the store in its place.
func (s *playStore) restore(seconds int) {
	s.copies = s.copies[:max(len(s.copies)-seconds, 1)]
	old := s.copies[len(s.copies)-1]
	s.peak, s.records = old.peak, maps.Clone(old.records)
	s.era++
}

// leaveRecord stores a process's record, and takeRecord gives it to the next one.
func (p *fleetPlay) leaveRecord(s *slot) {
	if r, ok := s.process.budgets.Close(p.now); ok && !p.store.away {
		p.store.records[s.name] = playRecord{r, p.now, p.store.era}
	}
}

func (p *fleetPlay) takeRecord(s *slot) {
	r, ok := p.store.records[s.name]
	if !ok || p.store.away {
		return
	}
	delete(p.store.records, s.name)
	if r.era == p.store.era {
		_ = s.process.budgets.Restore(p.now, r.Record, p.now.Sub(r.at))
	}
}

// run plays until an end, and calls at with the number of the step before each.
func (p *fleetPlay) run(length time.Duration, at func(step int)) {
	for step := range int(length / playStep) {
		at(step)
		p.endLeaves()
		if step%3 == 0 && (len(p.slots) < 100 || step%12 == 0) {
			p.updateViews()
		}
		if step%10 == 0 {
			p.writeCheckpoint()
		}
		p.send()
		p.now = p.now.Add(playStep)
	}
}

func (p *fleetPlay) endLeaves() {
	for _, s := range p.slots {
		if s.process != nil && !s.process.leaveAt.IsZero() && !p.now.Before(s.process.leaveAt) {
			p.leaveRecord(s)
			s.process, s.state, s.since = nil, membership.Left, p.now
		}
	}
}

func (p *fleetPlay) updateViews() {
	for i, s := range p.slots {
		if s.process == nil || p.now.Before(s.process.wakeAt) {
			continue
		}
		for j, other := range p.slots {
			if state, changed := p.seen(s, other, s.process.at[j]); changed {
				s.process.see(j, other.name, state)
			}
		}
		s.process.see(i, s.name, s.state)
		p.updateShare(s.process)
	}
}

// seen returns a daemon's state as another one learns it now; at is -1 if that one doesn't
// know of it yet.
func (p *fleetPlay) seen(by, of *slot, at int) (state membership.State, changed bool) {
	age := p.now.Sub(of.since)
	switch {
	case !of.started:
		return 0, false
	case of.process == nil && at < 0: // daemons that are gone aren't introduced to new ones
		return 0, false
	case by.side != of.side:
		return membership.Dead, at >= 0 && p.now.Sub(latest(by.cutAt, of.cutAt)) >= suspectTime
	case of.process == nil && of.state == membership.Dead:
		return membership.Dead, age >= suspectTime
	case of.process != nil && p.now.Before(of.process.wakeAt):
		return membership.Dead, at >= 0
	default:
		return of.state, min(age, p.now.Sub(latest(by.cutAt, of.cutAt)), p.now.Sub(by.process.started)) >= spreadTime
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *process) see(slot int, name fleet.InstanceID, state membership.State) {
	if p.at[slot] < 0 {
		p.at[slot] = len(p.view)
		p.view = append(p.view, membership.Member{Instance: name})
	}
	p.view[p.at[slot]].State = state
}

// updateShare divides the slack anew, once the checkpoint could be read.
func (p *fleetPlay) updateShare(r *process) {
	if !r.sharers.Restored() && !p.store.away {
		r.sharers.Restore(p.store.peak)
	}
	if r.sharers.Update(p.now, p.now.Add(r.stepBy), r.view) {
		r.budgets.Departed(p.now)
	}
	r.budgets.SetDaemons(r.sharers.Daemons(), r.sharers.Offset())
}

// writeCheckpoint writes the checkpoint of the first daemon that serves, and copies the store.
func (p *fleetPlay) writeCheckpoint() {
	for _, s := range p.slots {
		if r := s.process; r != nil && r.sharers.Daemons() > 0 && !p.now.Before(r.wakeAt) {
			if !p.store.away {
				p.store.peak = r.sharers.Peak()
			}
			break
		}
	}
	p.store.copies = append(p.store.copies, playCopy{p.store.peak, maps.Clone(p.store.records)})
}

// send spreads the requests of a step over the daemons that run.
func (p *fleetPlay) send() {
	var up []*process
	for _, s := range p.slots {
		if s.process != nil {
			up = append(up, s.process)
		}
	}
	p.owed += p.perSecond * playStep.Seconds()
	n := int(p.owed)
	p.owed -= float64(n)
	retries := 0
	for range n {
		if len(up) > 0 {
			up[p.random.IntN(len(up))].waiting++
		}
	}
	for _, r := range up {
		if p.now.Before(r.wakeAt) {
			continue
		}
		for ; r.waiting > 0; r.waiting-- {
			retries += p.serve(r)
		}
	}
	p.requests, p.retries = append(p.requests, n), append(p.retries, retries)
}

// serve lets a daemon serve a request and returns how often it sent it again.
func (p *fleetPlay) serve(r *process) (retries int) {
	r.budgets.Request(p.now, r.wakeAt, service)
	for range 2 {
		if p.now.Before(p.refusedAt) || p.random.Float64() >= p.wish {
			return retries
		}
		p.wished++
		if !r.budgets.Take(p.now, service) {
			return retries
		}
		retries++
	}
	return retries
}

// windowed returns the sums over each window that ends after a step.
func windowed(counts []int) []int {
	out, sum := make([]int, len(counts)), 0
	for i, n := range counts {
		sum += n
		if old := i - int(config.Window/playStep); old >= 0 {
			sum -= counts[old]
		}
		out[i] = sum
	}
	return out
}

// used returns, for each window, which part of what is allowed was sent. The requests are
// those of the window, of the one before it or of the one half a window before it.
func (p *fleetPlay) used() []float64 {
	requests, retries := windowed(p.requests), windowed(p.retries)
	out := make([]float64, len(requests))
	for i := range out {
		most := 0
		for _, back := range []time.Duration{0, config.Window / 2, config.Window} {
			if j := i - int(back/playStep); j >= 0 {
				most = max(most, requests[j])
			}
		}
		out[i] = float64(retries[i]) / (config.Ratio*float64(most) + config.Slack)
	}
	return out
}

// worst returns the largest used part.
func (p *fleetPlay) worst() (most float64) {
	for _, u := range p.used() {
		most = max(most, u)
	}
	return most
}

// disturbances are played one at a time, or several drawn together.
var disturbances = []struct {
	name string
	run  func(p *fleetPlay, step int)
}{
	{"one killed", func(p *fleetPlay, step int) { p.killAndStart(step, 1, 1) }},
	{"half killed five times", func(p *fleetPlay, step int) { p.killAndStart(step, len(p.slots)/2, 5) }},
	{"all killed twice", func(p *fleetPlay, step int) { p.killAndStart(step, len(p.slots), 2) }},
	{"all stopped at once", func(p *fleetPlay, step int) { p.stopAndStart(step, len(p.slots), 0) }},
	{"all stopped two at a time", func(p *fleetPlay, step int) { p.stopAndStart(step, 2, 4) }},
	{"all stopped in a row", func(p *fleetPlay, step int) { p.stopAndStart(step, 1, 2) }},
	{"some added", func(p *fleetPlay, step int) {
		if step == 0 {
			p.each(func(_ int, s *slot) {
				if !s.started {
					p.start(s, false)
				}
			})
		}
	}},
	{"half gone for good", func(p *fleetPlay, step int) {
		if step == 0 {
			p.each(func(i int, s *slot) {
				if i%2 == 0 {
					p.kill(s)
				}
			})
		}
	}},
	{"half cut off", func(p *fleetPlay, step int) {
		switch step {
		case 0:
			p.cut(func(i int) int { return i % 2 })
		case 140:
			p.cut(func(int) int { return 0 })
		}
	}},
	{"half frozen twice", func(p *fleetPlay, step int) {
		if step == 0 || step == 50 {
			p.each(func(i int, s *slot) {
				if i%2 == 0 {
					p.freeze(s, 3*time.Second)
				}
			})
		}
	}},
	{"callers leave", func(p *fleetPlay, step int) {
		if step == 0 {
			p.perSecond *= 0.3
		}
	}},
	{"callers come", func(p *fleetPlay, step int) {
		if step == 0 {
			p.perSecond *= 2
		}
	}},
	{"store away", func(p *fleetPlay, step int) {
		if step <= 80 {
			p.store.away = step < 80
		}
	}},
	{"store from an older copy", func(p *fleetPlay, step int) {
		if step == 30 {
			p.store.restore(5)
		}
	}},
	{"clocks step", func(p *fleetPlay, step int) {
		if step == 0 || step == 60 {
			p.each(func(i int, s *slot) { p.stepClocks(s, time.Duration(step-30)*time.Duration(i%3)*playStep) })
		}
	}},
}

func (p *fleetPlay) each(f func(i int, s *slot)) {
	for i, s := range p.slots {
		f(i, s)
	}
}

// killAndStart kills some daemons several times, two seconds apart, and starts them again.
func (p *fleetPlay) killAndStart(step, count, times int) {
	if step%20 == 0 && step/20 < times {
		for _, s := range p.slots[:count] {
			p.kill(s)
		}
	}
	if step%20 == 3 && step/20 < times {
		p.startAgain()
	}
}

// stopAndStart stops all daemons, count at a time, some steps apart, and starts them again.
func (p *fleetPlay) stopAndStart(step, count, apart int) {
	for i, s := range p.slots {
		if step == i/count*apart {
			p.leave(s)
		}
	}
	p.startAgain()
}

// startAgain starts the daemons that were stopped or killed.
func (p *fleetPlay) startAgain() {
	for _, s := range p.slots {
		if s.started && s.process == nil && p.now.Sub(s.since) >= 300*time.Millisecond {
			p.start(s, false)
		}
	}
}

const (
	playLength = 45 * time.Second
	calmTime   = 15 * time.Second // before the first disturbance
)

// play plays disturbances, each from its step on.
func (p *fleetPlay) play(from []int, run []func(p *fleetPlay, step int)) {
	p.run(playLength, func(step int) {
		for i := range run {
			if step >= from[i] {
				run[i](p, step-from[i])
			}
		}
	})
}

// Guards against a fleet that exceeds the bound since its members or its store change.
func TestFleetStaysWithinTheBoundThroughAnyDisturbance(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		daemons, spare int
		perSecond      float64
		disturbances   string // empty: all
	}{{6, 4, 80, ""}, {9, 0, 80, ""}, {78, 8, 400, ""}, {340, 0, 700, "all killed twice, half cut off"}, {986, 0, 2000, "all stopped at once"}} {
		for _, d := range disturbances {
			if size.disturbances != "" && !strings.Contains(size.disturbances, d.name) {
				continue
			}
			p := newFleetPlay(1, size.daemons, size.spare, size.perSecond)
			p.play([]int{int(calmTime / playStep)}, []func(*fleetPlay, int){d.run})
			worst := p.worst()
			t.Logf("%3d daemons, %-26s %.3f", size.daemons, d.name, worst)
			assert.Check(t, worst <= 1, "%d daemons, %s: %.3f of what is allowed", size.daemons, d.name, worst)
		}
	}
}

// Guards against disturbances that exceed the bound only together, or at other moments.
func TestFleetStaysWithinTheBoundThroughSeveralDisturbances(t *testing.T) {
	t.Parallel()
	most := 0.0
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		p := newFleetPlay(seed, 6, 4, 10+random.Float64()*150)
		p.refusedAt = start.Add(time.Duration(random.IntN(250)) * playStep)
		var from []int
		var run []func(*fleetPlay, int)
		names := ""
		for range 2 + random.IntN(2) {
			d := disturbances[random.IntN(len(disturbances))]
			from, run = append(from, 100+random.IntN(150)), append(run, d.run)
			names += fmt.Sprintf(", %s from step %d", d.name, from[len(from)-1])
		}
		p.play(from, run)
		worst := p.worst()
		most = max(most, worst)
		assert.Check(t, worst <= 1, "seed %d%s: %.3f of what is allowed", seed, names, worst)
	}
	t.Logf("most: %.3f of what is allowed", most)
}

// Guards against retries that are refused though the bound allows them.
func TestWhatIsAllowedIsUsed(t *testing.T) {
	for _, size := range []struct {
		daemons   int
		perSecond float64
		want      float64
	}{{6, 80, 0.8}, {9, 80, 0.8}, {78, 400, 0.8}} {
		p := newFleetPlay(1, size.daemons, 0, size.perSecond)
		p.run(playLength, func(int) {})
		used := p.used()[int(calmTime/playStep):]
		mean := 0.0
		for _, u := range used {
			mean += u / float64(len(used))
		}
		t.Logf("%3d daemons, %.0f requests a second: %.3f of what is allowed, at least %.3f in a window", size.daemons, size.perSecond, mean, slices.Min(used))
		assert.Check(t, mean >= size.want, "%d daemons: %.3f", size.daemons, mean)
	}
}

// Guards against callers who pay for a roll-out, while a part of the requests fails as usual.
func TestRollOutIsNotPaidForByCallers(t *testing.T) {
	for _, daemons := range []int{6, 9, 78} {
		p := newFleetPlay(1, daemons, 0, 13*float64(daemons))
		p.wish = 0.05
		from := int(2 * calmTime / playStep)
		var before, wished, served int
		p.run(5*calmTime, func(step int) {
			if step == from {
				wished, served = p.wished, sum(p.retries)
				before = wished - served
			}
			if step >= from {
				p.stopAndStart(step-from, 2, 4)
			}
		})
		wished, served = p.wished-wished, sum(p.retries)-served
		t.Logf("%2d daemons: %d refused before; %d of %d sent after", daemons, before, served, wished)
		assert.Check(t, float64(served) >= 0.98*float64(wished), "%d daemons: %d of %d", daemons, served, wished)
	}
}

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
