package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine/quarantinepb"
)

const (
	// streamTime is how long a sound stream lasts after its first piece, and pieceInterval
	// the time between two pieces.
	streamTime      = 900 * time.Millisecond
	shortStreamTime = 180 * time.Millisecond
	pieceInterval   = 100 * time.Millisecond
	// contactBound is the shortest time after the fifth crash from which on few sends may
	// follow.
	contactBound = 3 * time.Second
	maxLateSends = 3
	// floodAt is when requests with the guilty part begin to come, floodSeconds for how long.
	floodAt      = 4 * time.Second
	floodSeconds = 10
)

// maxControlRate is the KB/s that a daemon may spend for all control.
const maxControlRate = 7

// partPlay is a fleet whose callers' prompts share parts, one of which crashes the endpoints
// that begin to write an answer on it.
type partPlay struct {
	daemons  int
	rate     float64 // sound requests a second and daemon
	flood    float64 // requests with the guilty part a second
	position int     // of the guilty part in its prompts
	after    bool    // the crash follows the first piece
	reclaims float64 // endpoints that end for other reasons, a second
	herds    bool    // some endpoints end together every 3 s
	noFlood  bool    // no part crashes endpoints

	fewEndpoints int           // 0: as many as daemons of this number have
	restart      time.Duration // of an endpoint after a crash, 0: restartTime
	short        bool          // sound streams begin soon, and are short
	onePrompt    bool          // all sound requests have the same parts
	repeated     float64       // attempts a second with one request that crashes endpoints by itself
}

// partSim plays it without sockets.
type partSim struct {
	partPlay
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	all       []*daemon
	hubs      [][]*daemon // by group
	nextRelay time.Time
	endpoints []*partEndpoint
	n         int                  // requests so far
	waiting   []*partAttempt       // requests for which no endpoint is up
	repeats   *quarantine.Identity // the request that crashes endpoints by itself
	outcome   outcome              // of that request

	crashes    int // under the guilty part
	fifth      time.Time
	lastCrash  time.Time // under the guilty part
	late       int       // sends later than contactBound after the fifth crash
	soundSent  [2]int    // first attempts: before the flood, and once the part should be held
	soundBegun [2]int
	soundHeld  int             // sound requests refused as held, at any time
	bytes      map[*daemon]int // sent and received for crashes
}

type partEndpoint struct {
	incarnation int
	upAt        time.Time
	attempts    []*partAttempt
}

type partAttempt struct {
	daemon    *daemon
	id        *quarantine.Identity
	sent      time.Time
	firstAt   time.Time
	responded bool
	told      bool
	guilty    bool // has the part that crashes endpoints
	repeated  bool // is the request that crashes endpoints by itself
	retried   bool
}

func (a *partAttempt) crashes() bool { return a.guilty || a.repeated }

func newPartSim(seed uint64, p partPlay) *partSim {
	s := &partSim{partPlay: p, bytes: map[*daemon]int{}, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0)}
	s.start, s.nextRelay = s.now, s.now
	groups := 1
	if exchange.Meshed(p.daemons) {
		groups = 11
	}
	for g := range groups {
		var members []*daemon
		for i := g; i < p.daemons; i += groups {
			members = append(members, s.newDaemon(uint64(i)+1))
		}
		s.all = append(s.all, members...)
		s.hubs = append(s.hubs, members[:min(len(members), exchange.HubCount)])
	}
	if s.restart == 0 {
		s.restart = restartTime
	}
	for range cmp.Or(p.fewEndpoints, 18+p.daemons*2/3) {
		s.endpoints = append(s.endpoints, &partEndpoint{})
	}
	return s
}

func (s *partSim) newDaemon(epoch uint64) *daemon {
	table := quarantine.NewTable(epoch)
	table.SetReportInterval(s.interval())
	return &daemon{
		table: table, nextReport: s.now.Add(time.Duration(s.rng.Int64N(int64(s.interval())))),
		skew: time.Duration(s.rng.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond,
	}
}

func (s *partSim) interval() time.Duration {
	if exchange.Meshed(s.daemons) {
		return exchange.MeshInterval(s.daemons / 11)
	}
	return exchange.NormalInterval(s.daemons)
}

func (s *partSim) at(d *daemon) time.Time { return s.now.Add(d.skew).Truncate(time.Millisecond) }

// exchangeAll lets daemons report to the hubs of their group, and hubs to those of others.
func (s *partSim) exchangeAll() {
	relay := !s.now.Before(s.nextRelay)
	if relay {
		s.nextRelay = s.now.Add(exchange.RelayInterval)
	}
	i := 0
	for g, hubs := range s.hubs {
		for range s.groupSize(g) {
			d := s.all[i]
			i++
			if !s.now.Before(d.nextReport) {
				d.nextReport = s.now.Add(s.interval())
				for n, h := range hubs {
					s.report(d, h, &d.sentUpTo[n], &d.receivedUpTo[n])
				}
			}
		}
		if relay && len(s.hubs) > 1 {
			s.relay(g)
		}
	}
}

func (s *partSim) groupSize(g int) int {
	n := len(s.all) / len(s.hubs)
	if g < len(s.all)%len(s.hubs) {
		n++
	}
	return n
}

// relay lets the first hub of a group report to those of all others. Positions start anew: only
// what is new matters for the time it takes.
func (s *partSim) relay(g int) {
	for o := range s.hubs {
		if o != g {
			changed, _ := s.hubs[g][0].table.Since(quarantine.Position{})
			s.hubs[o][0].table.Add(s.at(s.hubs[o][0]), changed...)
		}
	}
}

func (s *partSim) report(d, h *daemon, sent, received *quarantine.Position) {
	if d == h {
		return
	}
	var own, others []quarantine.Crash
	own, *sent = d.table.Since(*sent)
	h.table.Add(s.at(h), own...)
	others, *received = h.table.Since(*received)
	d.table.Add(s.at(d), others...)
	size := 0
	for _, c := range quarantinepb.Encode(append(own, others...)) {
		size += proto.Size(c)
	}
	s.bytes[d] += size
	s.bytes[h] += size
}

const guiltyPart = 0xbad

// identity returns that of a new request. Sound ones share with those that crash endpoints all
// parts but the guilty one, and the caller.
func (s *partSim) identity(guilty bool) *quarantine.Identity {
	s.n++
	caller := s.rng.IntN(3)
	parts := []uint64{1, 100 + uint64(caller), 1000 + uint64(s.rng.IntN(40))}
	if s.onePrompt {
		caller, parts = 0, []uint64{1, 2}
	}
	switch {
	case guilty && s.onePrompt:
		parts = slices.Insert(parts, s.position, guiltyPart)
	case guilty:
		caller = 0
		parts[1] = 100
		parts[s.position] = guiltyPart
	}
	return &quarantine.Identity{
		Request: quarantine.KeyOf(fleet.WorkspaceID(fmt.Sprint("w", caller)), "POST", "/x", fmt.Append(nil, s.n)),
		Scope:   quarantine.PartScope("s", "route", "m"), Parts: parts,
	}
}

// send sends a request from a daemon, or keeps it until an endpoint is up, and reports whether it
// is not held.
func (s *partSim) send(a partAttempt) bool {
	if a.daemon.table.Held(s.at(a.daemon), func() *quarantine.Identity { return a.id }) > 0 {
		if !a.crashes() {
			s.soundHeld++
		}
		return false
	}
	up := s.upEndpoints()
	if len(up) == 0 {
		s.waiting = append(s.waiting, &a)
		return s.fewEndpoints > 0
	}
	s.countLate(&a)
	first, mean := 60*time.Millisecond, 100*time.Millisecond
	if s.short {
		first, mean = 10*time.Millisecond, 10*time.Millisecond
	}
	a.sent, a.responded, a.told = s.now, false, false
	a.firstAt = s.now.Add(first + time.Duration(s.rng.ExpFloat64()*float64(mean)))
	e := up[s.rng.IntN(len(up))]
	e.attempts = append(e.attempts, &a)
	return true
}

func (s *partSim) upEndpoints() []*partEndpoint {
	return slices.DeleteFunc(slices.Clone(s.endpoints), func(e *partEndpoint) bool { return s.now.Before(e.upAt) })
}

// sendWaiting sends what waits for an endpoint once one is up.
func (s *partSim) sendWaiting() {
	if len(s.waiting) == 0 || len(s.upEndpoints()) == 0 {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	for _, a := range waiting {
		s.send(*a)
	}
}

func (s *partSim) countLate(a *partAttempt) {
	if a.guilty && !s.fifth.IsZero() && s.now.Sub(s.fifth) > contactBound {
		s.late++
	}
	if third := s.outcome.thirdCrash; a.repeated && !third.IsZero() && s.now.Sub(third) > grace {
		s.outcome.lateSends++
	}
}

// serve lets endpoints write, and crash.
func (s *partSim) serve() {
	for n, e := range s.endpoints {
		kept := e.attempts[:0]
		var crashed bool
		for _, a := range e.attempts {
			if s.now.Before(a.firstAt) {
				kept = append(kept, a)
				continue
			}
			if !a.responded && (!a.crashes() || s.after) {
				a.responded = true
				a.daemon.table.Responded(s.at(a.daemon), a.sent.Add(a.daemon.skew), quarantine.Incarnation(n<<32|e.incarnation))
			}
			crashed = crashed || a.crashes() && (!s.after || s.now.Sub(a.firstAt) >= 2*step)
			if s.write(a) {
				kept = append(kept, a)
			}
		}
		e.attempts = kept
		if crashed {
			s.countCrash(e)
			s.kill(n)
		}
	}
}

func (s *partSim) countCrash(e *partEndpoint) {
	if slices.ContainsFunc(e.attempts, func(a *partAttempt) bool { return a.guilty }) {
		s.crashes++
		s.lastCrash = s.now
		if s.crashes == 5 {
			s.fifth = s.now
		}
	}
	if slices.ContainsFunc(e.attempts, func(a *partAttempt) bool { return a.repeated }) {
		s.outcome.crashes++
		if s.outcome.crashes == 3 {
			s.outcome.thirdCrash = s.now
		}
	}
}

// write records a sound attempt that has settled in the table, and reports whether it is unfinished.
func (s *partSim) write(a *partAttempt) bool {
	if a.crashes() {
		return true
	}
	since, streamTime := s.now.Sub(a.firstAt), streamTime
	if s.short {
		streamTime = shortStreamTime
	}
	if !a.told && since >= quarantine.Settled && since%pieceInterval < step || since >= streamTime {
		a.told = true
		a.daemon.table.Ran(s.at(a.daemon), a.firstAt.Add(a.daemon.skew), func() *quarantine.Identity { return a.id })
		for _, p := range a.id.Parts {
			a.daemon.table.Served(quarantine.PartOf(a.id.Scope, p))
		}
	}
	return since < streamTime
}

// kill ends endpoint n. What ran there is sent once more.
func (s *partSim) kill(n int) {
	e := s.endpoints[n]
	reports := map[*daemon]*quarantine.Crash{}
	cut := e.attempts
	for _, a := range cut {
		c := reports[a.daemon]
		if c == nil {
			c = &quarantine.Crash{Endpoint: quarantine.Incarnation(n<<32 | e.incarnation), At: s.at(a.daemon)}
			reports[a.daemon] = c
		}
		if !a.responded || s.now.Sub(a.firstAt) < quarantine.Settled {
			c.AddRequest(a.id, a.sent.Add(a.daemon.skew))
		}
	}
	for d, c := range reports {
		d.table.Add(s.at(d), *c)
	}
	e.attempts, e.incarnation, e.upAt = nil, e.incarnation+1, s.now.Add(s.restart)
	for _, a := range cut {
		if !a.retried {
			again := *a
			again.retried = true
			s.send(again)
		}
	}
}

// run plays the flood.
func (s *partSim) run() {
	seconds := floodAt + floodSeconds*time.Second
	for ; s.now.Sub(s.start) < seconds; s.now = s.now.Add(step) {
		s.arrive()
		s.sendWaiting()
		s.end()
		s.serve()
		s.exchangeAll()
		if s.now.Sub(s.start)%(250*time.Millisecond) == 0 {
			for _, d := range s.all {
				d.table.Tick(s.at(d))
			}
		}
	}
}

func (s *partSim) arrive() {
	phase := s.phase()
	for range s.count(s.rate * float64(s.daemons)) {
		begun := s.send(partAttempt{daemon: s.any(), id: s.identity(false)})
		if phase >= 0 {
			s.soundSent[phase]++
			if begun {
				s.soundBegun[phase]++
			}
		}
	}
	if s.now.Sub(s.start) < floodAt {
		return
	}
	if !s.noFlood {
		for range s.count(s.flood) {
			s.send(partAttempt{daemon: s.any(), id: s.identity(true), guilty: true})
		}
	}
	for range s.count(s.repeated) {
		if s.repeats == nil {
			s.repeats = s.identity(false)
		}
		s.send(partAttempt{daemon: s.any(), id: s.repeats, repeated: true})
	}
}

// phase returns 0 before the flood, 1 from twice the bound after the fifth crash on, else -1.
func (s *partSim) phase() int {
	switch {
	case s.now.Sub(s.start) < floodAt:
		return 0
	case !s.lastCrash.IsZero() && s.now.Sub(s.start) >= floodAt+2*contactBound:
		return 1
	}
	return -1
}

// end ends endpoints for other reasons than the part.
func (s *partSim) end() {
	for range s.count(s.reclaims) {
		s.kill(s.rng.IntN(len(s.endpoints)))
	}
	if s.herds && s.now.Sub(s.start)%(3*time.Second) == 0 {
		for n := range s.endpoints {
			if s.rng.IntN(6) == 0 {
				s.kill(n)
			}
		}
	}
}

// count returns how many of something that happens so often a second happen in a step.
func (s *partSim) count(perSecond float64) int {
	expected := perSecond * step.Seconds()
	n := int(expected)
	if s.rng.Float64() < expected-float64(n) {
		n++
	}
	return n
}

func (s *partSim) any() *daemon { return s.all[s.rng.IntN(len(s.all))] }

// share returns the share of sound requests that were begun at the first attempt in the flood,
// against that before it.
func (s *partSim) share() float64 {
	before := float64(s.soundBegun[0]) / float64(max(s.soundSent[0], 1))
	return float64(s.soundBegun[1]) / float64(max(s.soundSent[1], 1)) / before
}

func (s *partSim) String() string {
	return fmt.Sprintf("%d crashes, the last %v after the first request with the part, %d sends too late, sound requests begun %.3f of calm, %d held, %.1f KB/s at a daemon, %.1f at a hub",
		s.crashes, s.lastCrash.Sub(s.start.Add(floodAt)).Round(step), s.late, s.share(), s.soundHeld, s.rateAt(s.all[len(s.all)-1]), s.rateAt(s.hubs[0][0]))
}

// rateAt returns the kilobytes a second for crashes at a daemon during the flood.
func (s *partSim) rateAt(d *daemon) float64 { return float64(s.bytes[d]) / 1000 / floodSeconds }

// Guards against a part that crashes one endpoint after the other, in fleets of any size.
func TestFleetsHoldAPartOfPromptsThatCrashesEndpoints(t *testing.T) {
	for _, p := range []partPlay{
		{daemons: 9, rate: 4, flood: 1.2, position: 1},
		{daemons: 9, rate: 4, flood: 1.2, position: 2, after: true},
		{daemons: 9, rate: 4, flood: 12, position: 0},
		{daemons: 78, rate: 2, flood: 5, position: 1, after: true, reclaims: 0.7, herds: true},
		{daemons: 340, rate: 1, flood: 10, position: 2, reclaims: 1},
		{daemons: 986, rate: 0.5, flood: 15, position: 1},
	} {
		t.Run(fmt.Sprintf("%+v", p), func(t *testing.T) {
			s := newPartSim(1, p)
			s.run()
			t.Log(s)
			assert.Assert(t, s.late <= maxLateSends, "%v", s)
			assert.Assert(t, s.share() >= 0.95, "%v", s)
			assert.Assert(t, s.rateAt(s.all[len(s.all)-1]) <= maxControlRate, "%v", s)
		})
	}
}

// Guards against popular parts that are held for crashes of other causes.
func TestPopularPartsAreNotHeldForOtherCrashes(t *testing.T) {
	for _, daemons := range []int{9, 78} {
		for seed := range uint64(3) {
			s := newPartSim(seed, partPlay{daemons: daemons, rate: 4, reclaims: 1.5, herds: true, noFlood: true})
			s.run()
			assert.Equal(t, s.soundHeld, 0, "%d daemons, seed %d", daemons, seed)
		}
	}
}

// Guards against a request and a part that crash the same few endpoints and hide each other.
func TestRequestAndPartThatCrashTheSameEndpointsAreHeld(t *testing.T) {
	for seed := range uint64(8) {
		p := partPlay{daemons: 6, rate: 4, flood: 6.7, position: 1, after: seed%2 == 1, fewEndpoints: 3, restart: 1200 * time.Millisecond, short: true, onePrompt: true, repeated: 5}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newPartSim(seed, p)
			s.run()
			t.Logf("%v; of the request %+v", s, s.outcome)
			assert.Check(t, s.late <= maxLateSends, "%v", s)
			assert.Check(t, s.outcome.lateSends <= retries, "%+v", s.outcome)
		})
	}
}
