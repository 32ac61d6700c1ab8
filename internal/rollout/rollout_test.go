package rollout

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runs is how many roll-outs of each scenario are simulated; with more, -plays prints the
// table that docs/design shows.
var runs = flag.Int("plays", 1, "roll-outs of each kind")

// scenario is a defect of the new version, nil for a good one, and a fault that strikes
// endpoints meanwhile.
type scenario struct {
	name   string
	defect *defect
	fault  *fault
}

var scenarios = []scenario{
	{"0.3 fail", &defect{share: 0.3, route: -1}, nil},
	{"0.1 fail", &defect{share: 0.1, route: -1}, nil},
	{"0.3 fail from the middle on", &defect{share: 0.3, route: -1, from: 0.5}, nil},
	{"0.3 fail from three quarters on", &defect{share: 0.3, route: -1, from: 0.75}, nil},
	{"0.4 fail under load", &defect{share: 0.4, route: -1, loaded: true}, nil},
	{"0.4 fail on one route", &defect{share: 0.4, route: 1}, nil},
	{"0.4 fail on a rare route", &defect{share: 0.4, route: 4}, nil},
	{"three times as slow", &defect{share: 1, slow: 3, route: -1}, nil},
	{"0.3 four times as slow", &defect{share: 0.3, slow: 4, route: -1}, nil},
	{"0.5 four times as slow, late", &defect{share: 0.5, slow: 4, route: -1, from: 0.5}, nil},
	{"good", nil, nil},
	{"good, one endpoint fails", nil, &fault{newOnly: 1, fails: 0.5, from: 0.2}},
	{"good, one endpoint is slow", nil, &fault{newOnly: 1, slow: 5, from: 0.2}},
	{"good, 0.15 of all fail some", nil, &fault{share: 0.15, fails: 0.3, from: 0.3}},
	{"good, 0.15 of all are slow", nil, &fault{share: 0.15, slow: 4, from: 0.3}},
	{"good, all garble some", nil, &fault{share: 1, fails: 0.04, from: 0.3}},
}

// deployment is a service's load, endpoints and daemons.
type deployment struct {
	name      string
	rate      float64
	duration  time.Duration
	endpoints int
	daemons   int
	interval  time.Duration
}

var deployments = []deployment{
	{"200 a second, 12 s", 200, 12 * time.Second, 90, 76, 400 * time.Millisecond},
	{"200 a second, 20 s", 200, 20 * time.Second, 90, 76, 400 * time.Millisecond},
	{"20 a second, 20 s", 20, 20 * time.Second, 10, 6, 250 * time.Millisecond},
	{"300 a second, 60 s", 300, 60 * time.Second, 100, 76, 400 * time.Millisecond},
	{"3 a second, 20 s", 3, 20 * time.Second, 2, 6, 250 * time.Millisecond},
	{"1 a second, 8 s", 1, 8 * time.Second, 2, 6, 250 * time.Millisecond},
}

func (s *deployment) simulate(k *scenario, seed uint64) *simulation {
	p := &simulation{
		daemons: s.daemons, endpoints: s.endpoints, rate: s.rate, duration: s.duration, interval: s.interval,
		defect: k.defect, fault: k.fault,
	}
	p.run(seed)
	return p
}

// summary sums up the simulations of a scenario.
type summary struct {
	violations, rolledBack, completed, underFifth, lost int
	used                                                []float64
	badAnswers                                          []int
	endedAt                                             []time.Duration
}

func (s *summary) add(p *simulation) {
	if p.violation() != "" {
		s.violations++
	}
	switch p.decider.record.Phase {
	case RolledBack:
		s.rolledBack++
	case Completed:
		s.completed++
	}
	if p.usedShare() < 0.2 {
		s.underFifth++
	}
	s.lost += p.lost
	s.used = append(s.used, p.usedShare())
	s.badAnswers = append(s.badAnswers, p.badAnswers)
	s.endedAt = append(s.endedAt, p.endedAt)
}

func (s *summary) log(t *testing.T, deploymentName, scenarioName string) {
	slices.Sort(s.used)
	slices.Sort(s.badAnswers)
	slices.Sort(s.endedAt)
	n := len(s.used)
	t.Logf("| %s | %s | %d | %d | %d | %d | %.2f, %.2f | %d | %d | %v, %v | %d |", deploymentName, scenarioName, n, s.violations, s.rolledBack, s.completed,
		s.used[n/2], s.used[n-1], s.underFifth, s.badAnswers[n-1], s.endedAt[n/2], s.endedAt[n-1], s.lost)
}

// Prints the results of all scenarios, and checks what must hold in each: no request is
// lost, and a bad version gets no requests later than Bounds.Stop after its fiftieth bad
// answer.
func TestRolloutsOfAllScenarios(t *testing.T) {
	for _, s := range deployments {
		for _, k := range scenarios {
			var all summary
			for seed := range uint64(*runs) {
				p := s.simulate(&k, seed)
				all.add(p)
				assert.Equal(t, p.lost, 0, "%s, %s, seed %d: requests were lost", s.name, k.name, seed)
				if p.defect != nil {
					late := p.lastSentToNew - p.fiftiethBad
					assert.Assert(t, p.fiftiethBad == 0 || late <= simBounds.Stop, "%s, %s, seed %d: sent %v after the fiftieth bad answer",
						s.name, k.name, seed, late)
				}
			}
			all.log(t, s.name, k.name)
		}
	}
}

// Guards against a bad version that takes over: a third of its answers fail, or all are
// three times as slow.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, s := range deployments[:2] {
		for _, k := range []scenario{scenarios[0], scenarios[4], scenarios[7]} {
			for seed := range uint64(10) {
				p := s.simulate(&k, seed)
				assert.Equal(t, p.decider.record.Phase, RolledBack, "%s, %s, seed %d", s.name, k.name, seed)
				assert.Equal(t, p.violation(), "", "%s, %s, seed %d", s.name, k.name, seed)
			}
		}
	}
}

// Guards against a good version that is rolled back because of broken endpoints.
func TestGoodVersionIsNotRolledBackForOneBadEndpoint(t *testing.T) {
	for _, s := range deployments[:3] {
		for _, k := range scenarios[10:14] {
			for seed := range uint64(6) {
				p := s.simulate(&k, seed)
				assert.Assert(t, p.decider.record.Phase != RolledBack, "%s, %s, seed %d: %s", s.name, k.name, seed, p.decider.record.Reason)
			}
		}
	}
}

// Guards against daemons that don't receive the decider's splits and go on sending
// requests to a version that was rolled back.
func TestIsolatedDaemonsSendNothingToTheNewVersion(t *testing.T) {
	for seed := range uint64(6) {
		p := &simulation{
			daemons: 76, endpoints: 90, rate: 200, duration: 20 * time.Second,
			defect: &defect{share: 0.5, route: -1, from: 0.5}, isolatedFrom: 9 * time.Second, isolatedShare: 0.5,
		}
		p.run(seed)
		assert.Equal(t, p.decider.record.Phase, RolledBack, "seed %d", seed)
		assert.Equal(t, p.violation(), "", "seed %d", seed)
	}
}

// Guards against a successor that ignores the counts in its predecessor's record.
func TestSuccessorContinuesTheRollout(t *testing.T) {
	for _, killed := range []time.Duration{3 * time.Second, 8 * time.Second, 14 * time.Second} {
		for _, bad := range []*defect{nil, {share: 0.4, route: -1}} {
			for seed := range uint64(4) {
				p := &simulation{daemons: 20, endpoints: 20, rate: 100, duration: 20 * time.Second, defect: bad, killedAt: killed, runAfter: 3 * time.Second}
				p.run(seed)
				assert.Equal(t, p.violation(), "", "killed at %v, seed %d", killed, seed)
				want := Completed
				if bad != nil {
					want = RolledBack
				}
				assert.Equal(t, p.decider.record.Phase, want, "killed at %v, seed %d: %s", killed, seed, p.decider.record.Reason)
			}
		}
	}
}
