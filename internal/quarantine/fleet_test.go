package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

const (
	step = 10 * time.Millisecond
	// processingTime is the time from the start of a request until it crashes the
	// endpoint, or at least until the first part of its response.
	processingTime = 60 * time.Millisecond
	restartTime    = 4 * time.Second
	// After its third crash a request may be sent any number of times within grace,
	// the shortest grace period that a platform specifies, and retries times later.
	grace, retries = 3 * time.Second, 3
)

// fleetSim simulates daemons that exchange crashes through two hubs, and endpoints
// that some requests crash.
type fleetSim struct {
	rng           *rand.Rand
	now           time.Time
	daemons       []*daemon
	hubs          [2]*daemon
	endpoints     []*endpoint
	outcomes      map[quarantine.Key]*outcome
	harmlessHeld  int // harmless requests that were held
	mostLateSends int
}

type daemon struct {
	table        *quarantine.Table
	sentUpTo     [2]quarantine.Position
	receivedUpTo [2]quarantine.Position
	nextReport   time.Time
	// skew is the error of its estimate of the fleet's time.
	skew time.Duration
}

// endpoint is an endpoint with the requests that run there.
type endpoint struct {
	incarnation int
	upAt        time.Time
	attempts    []attempt
}

type attempt struct {
	daemon  *daemon
	key     quarantine.Key
	sent    time.Time
	crashes bool
	// firstPart is when the first part of its response is sent, unless the endpoint
	// exits before.
	firstPart time.Time
}

// outcome counts what a request that crashes endpoints has caused.
type outcome struct {
	crashes    int
	thirdCrash time.Time
	lateSends  int // sends later than grace after the third crash
}

func newFleetSim(seed uint64, daemons int) *fleetSim {
	s := &fleetSim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), outcomes: map[quarantine.Key]*outcome{},
	}
	interval := exchange.NormalInterval(daemons)
	for i := range daemons {
		s.daemons = append(s.daemons, &daemon{
			table: quarantine.NewTable(uint64(i) + 1), nextReport: s.now.Add(time.Duration(s.rng.Int64N(int64(interval)))),
			skew: time.Duration(s.rng.Int64N(int64(40*time.Millisecond))) - 20*time.Millisecond,
		})
	}
	s.hubs = [2]*daemon{s.daemons[0], s.daemons[1]}
	for range 18 + daemons {
		s.endpoints = append(s.endpoints, &endpoint{})
	}
	return s
}

func (d *daemon) time(s *fleetSim) time.Time { return s.now.Add(d.skew).Truncate(time.Millisecond) }

// report exchanges crashes with both hubs for each daemon whose report is due.
func (s *fleetSim) report() {
	interval := exchange.NormalInterval(len(s.daemons))
	for _, d := range s.daemons {
		if s.now.Before(d.nextReport) {
			continue
		}
		d.nextReport = s.now.Add(interval)
		for i, h := range s.hubs {
			if h == d {
				continue
			}
			var own, others []quarantine.Crash
			own, d.sentUpTo[i] = d.table.Since(d.sentUpTo[i])
			h.table.Add(h.time(s), own...)
			others, d.receivedUpTo[i] = h.table.Since(d.receivedUpTo[i])
			d.table.Add(d.time(s), others...)
		}
	}
}

// send sends a request from a daemon to a random running endpoint, unless it is
// held.
func (s *fleetSim) send(d *daemon, k quarantine.Key, crashes bool) {
	if d.table.Held(d.time(s), identityOf(k)) > 0 {
		if !crashes {
			s.harmlessHeld++
		}
		return
	}
	if r := s.outcomes[k]; crashes && r != nil && !r.thirdCrash.IsZero() && s.now.Sub(r.thirdCrash) > grace {
		r.lateSends++
		s.mostLateSends = max(s.mostLateSends, r.lateSends)
	}
	for {
		e := s.endpoints[s.rng.IntN(len(s.endpoints))]
		if s.now.Before(e.upAt) {
			continue
		}
		// Prompts are queued at the endpoint: the first part may take 1.5 s.
		firstPart := s.now.Add(processingTime + time.Duration(s.rng.ExpFloat64()*float64(300*time.Millisecond)))
		if crashes {
			firstPart = s.now.Add(processingTime)
		}
		e.attempts = append(e.attempts, attempt{daemon: d, key: k, sent: s.now, crashes: crashes, firstPart: firstPart})
		return
	}
}

// serve finishes attempts and kills the endpoints of those that crash them.
func (s *fleetSim) serve() {
	for n, e := range s.endpoints {
		for i := 0; i < len(e.attempts); i++ {
			r := e.attempts[i]
			if s.now.Before(r.firstPart) {
				continue
			}
			if r.crashes {
				s.kill(n)
				break
			}
			inc := quarantine.Incarnation(n<<32 | e.incarnation)
			r.daemon.table.Responded(r.daemon.time(s), r.sent, inc)
			r.daemon.table.Ran(r.daemon.time(s), r.daemon.time(s), identityOf(r.key))
			e.attempts = append(e.attempts[:i], e.attempts[i+1:]...)
			i--
		}
	}
}

// kill ends endpoint n. Each harmless request that ran there is retried at any
// daemon.
func (s *fleetSim) kill(n int) {
	e := s.endpoints[n]
	reports := map[*daemon]*quarantine.Crash{}
	for _, r := range e.attempts {
		c := reports[r.daemon]
		if c == nil {
			c = &quarantine.Crash{Endpoint: quarantine.Incarnation(n<<32 | e.incarnation), At: r.daemon.time(s)}
			reports[r.daemon] = c
		}
		c.AddSuspect(quarantine.Suspect{Request: r.key, Sent: r.sent})
		if r.crashes {
			s.recordCrash(r.key)
		}
	}
	for d, c := range reports {
		d.table.Add(d.time(s), *c)
	}
	retried := e.attempts
	e.attempts, e.incarnation, e.upAt = nil, e.incarnation+1, s.now.Add(restartTime)
	for _, r := range retried {
		if !r.crashes {
			s.send(s.anyDaemon(), r.key, false)
		}
	}
}

func (s *fleetSim) recordCrash(k quarantine.Key) {
	r := s.outcomes[k]
	if r == nil {
		r = &outcome{}
		s.outcomes[k] = r
	}
	r.crashes++
	if r.crashes == 3 {
		r.thirdCrash = s.now
	}
}

func (s *fleetSim) anyDaemon() *daemon { return s.daemons[s.rng.IntN(len(s.daemons))] }

func identityOf(k quarantine.Key) func() *quarantine.Identity {
	return func() *quarantine.Identity { return &quarantine.Identity{Request: k} }
}

func requestKey(kind string, n int) quarantine.Key {
	return quarantine.KeyOf("w", "POST", "/x", fmt.Append(nil, kind, n))
}

// run simulates some seconds in which each of the crashing requests is sent about
// once a second, and some endpoints are killed together every five seconds.
func (s *fleetSim) run(seconds, crashing int) {
	harmless := 0
	for tick := range int(time.Duration(seconds) * time.Second / step) {
		s.now = s.now.Add(step)
		for range 1 + len(s.endpoints)/20 {
			harmless++
			s.send(s.anyDaemon(), requestKey("innocent", harmless), false)
		}
		for k := range crashing {
			if s.rng.IntN(100) == 0 {
				s.send(s.anyDaemon(), requestKey("crashing", k), true)
			}
		}
		if tick%500 == 499 {
			for n := range s.endpoints {
				if s.rng.IntN(5) == 0 {
					s.kill(n)
				}
			}
		}
		s.serve()
		s.report()
	}
}

// Requests that crash their endpoints are sent again every second, at any daemon,
// while other requests run there and endpoints are killed together. In a fleet of
// any size each of them must be held in time, and no other request may be.
func TestFleetsHoldCrashingRequests(t *testing.T) {
	for daemons, seeds := range map[int]uint64{6: 4, 80: 2, 195: 1, 340: 1} {
		for _, crashing := range []int{1, 4} {
			for seed := range seeds {
				s := newFleetSim(seed, daemons)
				s.run(15, crashing)
				label := fmt.Sprintf("%d daemons, %d requests, seed %d", daemons, crashing, seed)
				assert.Equal(t, s.harmlessHeld, 0, label)
				assert.Assert(t, s.mostLateSends <= retries, "%s: %d sends too late", label, s.mostLateSends)
				held := 0
				for k := range crashing {
					if s.anyDaemon().table.Held(s.now, identityOf(requestKey("crashing", k))) > 0 {
						held++
					}
				}
				assert.Equal(t, held, crashing, label)
				t.Logf("%s: at most %d sends too late", label, s.mostLateSends)
			}
		}
	}
}
