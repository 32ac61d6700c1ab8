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
	// readTime is from a request's begin until the endpoint that it crashes ends,
	// or until its first piece.
	readTime = 60 * time.Millisecond
	// backAfter is how long an endpoint is away.
	backAfter = 4 * time.Second
	// grace is how long after a third crash sends are free, the shortest that
	// platforms state, and retries the sends allowed after it.
	grace, retries = 3 * time.Second, 3
)

// play is a fleet of daemons that tell each other of crashes by two hubs, and
// endpoints that end under some requests.
type play struct {
	rng       *rand.Rand
	now       time.Time
	daemons   []*daemon
	hubs      [2]*daemon
	endpoints []*machine
	sent      map[quarantine.Key]*record
	refused   int // of innocent requests
	worst     int
}

type daemon struct {
	table *quarantine.Table
	told  [2]quarantine.Position
	heard [2]quarantine.Position
	next  time.Time
	// skew is how far its view of the fleet's time is off.
	skew time.Duration
}

// machine is an endpoint with what runs there.
type machine struct {
	life int
	back time.Time
	runs []run
}

type run struct {
	daemon  *daemon
	key     quarantine.Key
	at      time.Time
	crashes bool
	// begun is when it has its first piece, if the endpoint lives until then.
	begun time.Time
}

// record is what became of a request that crashes endpoints.
type record struct {
	crashes int
	third   time.Time
	late    int // sends after the grace
}

func newPlay(seed uint64, daemons int) *play {
	p := &play{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), sent: map[quarantine.Key]*record{},
	}
	interval := exchange.CalmInterval(daemons)
	for i := range daemons {
		p.daemons = append(p.daemons, &daemon{
			table: quarantine.NewTable(uint64(i) + 1), next: p.now.Add(time.Duration(p.rng.Int64N(int64(interval)))),
			skew: time.Duration(p.rng.Int64N(int64(40*time.Millisecond))) - 20*time.Millisecond,
		})
	}
	p.hubs = [2]*daemon{p.daemons[0], p.daemons[1]}
	for range 18 + daemons {
		p.endpoints = append(p.endpoints, &machine{})
	}
	return p
}

func (d *daemon) time(p *play) time.Time { return p.now.Add(d.skew).Truncate(time.Millisecond) }

// tell reports to both hubs where that is due.
func (p *play) tell() {
	interval := exchange.CalmInterval(len(p.daemons))
	for _, d := range p.daemons {
		if p.now.Before(d.next) {
			continue
		}
		d.next = p.now.Add(interval)
		for i, h := range p.hubs {
			if h == d {
				continue
			}
			var own, others []quarantine.Crash
			own, d.told[i] = d.table.Since(d.told[i])
			h.table.Add(h.time(p), own...)
			others, d.heard[i] = h.table.Since(d.heard[i])
			d.table.Add(d.time(p), others...)
		}
	}
}

// send sends a request from a daemon to an endpoint that is there.
func (p *play) send(d *daemon, k quarantine.Key, crashes bool) {
	if d.table.Held(d.time(p), func() quarantine.Key { return k }) > 0 {
		if !crashes {
			p.refused++
		}
		return
	}
	if r := p.sent[k]; crashes && r != nil && !r.third.IsZero() && p.now.Sub(r.third) > grace {
		r.late++
		p.worst = max(p.worst, r.late)
	}
	for {
		m := p.endpoints[p.rng.IntN(len(p.endpoints))]
		if p.now.Before(m.back) {
			continue
		}
		// Prompts wait for each other: a first piece takes up to 1.5 s.
		begun := p.now.Add(readTime + time.Duration(p.rng.ExpFloat64()*float64(300*time.Millisecond)))
		if crashes {
			begun = p.now.Add(readTime)
		}
		m.runs = append(m.runs, run{daemon: d, key: k, at: p.now, crashes: crashes, begun: begun})
		return
	}
}

// work ends the runs that are over, and endpoints under requests that crash them.
func (p *play) work() {
	for n, m := range p.endpoints {
		for i := 0; i < len(m.runs); i++ {
			r := m.runs[i]
			if p.now.Before(r.begun) {
				continue
			}
			if r.crashes {
				p.end(n)
				break
			}
			life := quarantine.Life(n<<32 | m.life)
			r.daemon.table.Ran(r.daemon.time(p), r.at, life, func() quarantine.Key { return r.key })
			m.runs = append(m.runs[:i], m.runs[i+1:]...)
			i--
		}
	}
}

// end ends an endpoint. Its requests are sent again, once, at any daemon.
func (p *play) end(n int) {
	m := p.endpoints[n]
	told := map[*daemon]*quarantine.Crash{}
	for _, r := range m.runs {
		c := told[r.daemon]
		if c == nil {
			c = &quarantine.Crash{Endpoint: quarantine.Life(n<<32 | m.life), At: r.daemon.time(p)}
			told[r.daemon] = c
		}
		c.Suspect(quarantine.Suspect{Request: r.key, Sent: r.at})
		if r.crashes {
			p.crashed(r.key)
		}
	}
	for d, c := range told {
		d.table.Add(d.time(p), *c)
	}
	again := m.runs
	m.runs, m.life, m.back = nil, m.life+1, p.now.Add(backAfter)
	for _, r := range again {
		if !r.crashes {
			p.send(p.any(), r.key, false)
		}
	}
}

func (p *play) crashed(k quarantine.Key) {
	r := p.sent[k]
	if r == nil {
		r = &record{}
		p.sent[k] = r
	}
	r.crashes++
	if r.crashes == 3 {
		r.third = p.now
	}
}

func (p *play) any() *daemon { return p.daemons[p.rng.IntN(len(p.daemons))] }

func request(kind string, n int) quarantine.Key {
	return quarantine.KeyOf("w", "POST", "/x", fmt.Append(nil, kind, n))
}

// run plays some seconds in which requests that crash endpoints come about once a
// second each, and endpoints are killed together each five seconds.
func (p *play) run(seconds, crashing int) {
	innocent := 0
	for tick := range int(time.Duration(seconds) * time.Second / step) {
		p.now = p.now.Add(step)
		for range 1 + len(p.endpoints)/20 {
			innocent++
			p.send(p.any(), request("innocent", innocent), false)
		}
		for k := range crashing {
			if p.rng.IntN(100) == 0 {
				p.send(p.any(), request("crashing", k), true)
			}
		}
		if tick%500 == 499 {
			for n := range p.endpoints {
				if p.rng.IntN(5) == 0 {
					p.end(n)
				}
			}
		}
		p.work()
		p.tell()
	}
}

// Requests that crash their endpoints come again each second, at any daemon,
// while others run beside them and endpoints are killed together. Each is held in
// time in a fleet of any size, and no other is.
func TestFleetsHoldWhatCrashesEndpoints(t *testing.T) {
	for daemons, seeds := range map[int]uint64{6: 4, 80: 2, 195: 1, 340: 1} {
		for _, crashing := range []int{1, 4} {
			for seed := range seeds {
				p := newPlay(seed, daemons)
				p.run(15, crashing)
				what := fmt.Sprintf("%d daemons, %d requests, seed %d", daemons, crashing, seed)
				assert.Equal(t, p.refused, 0, what)
				assert.Assert(t, p.worst <= retries, "%s: %d sends too late", what, p.worst)
				held := 0
				for k := range crashing {
					if p.any().table.Held(p.now, func() quarantine.Key { return request("crashing", k) }) > 0 {
						held++
					}
				}
				assert.Equal(t, held, crashing, what)
				t.Logf("%s: worst %d", what, p.worst)
			}
		}
	}
}
