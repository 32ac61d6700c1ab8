package balance

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// Balancer chooses endpoints for one daemon. It is not safe for concurrent use.
type Balancer struct {
	self        fleet.DataCentre
	rng         *rand.Rand
	members     map[fleet.EndpointID]*member
	active      map[string][]*member     // by service, without draining ones
	listed      map[string][]*member     // by service, with draining ones
	splits      map[string]*split        // by service, during a roll-out of another version
	established map[string][]*member     // by service of several versions: the members of the established version
	byVersion   map[versionKey][]*member // of services of several versions, without draining ones
	// establishedVersions are the versions that have served longest, by service.
	establishedVersions map[string]string
	table               *route.Table
	prefillRate         prefillRate
	speeds              speeds
	rateLimits          *backpressure.Table
	fleet               *backpressure.Fleet
	byKey               map[rendezvous.ShortKey]*member
	limited             map[*member]bool // those with a rate limit in force
	rests               map[fleet.EndpointID]runRest
	pauses              map[string]*pauses      // of the streams with a pause target, by service
	failureRates        map[string]*failureRate // by service
	brittle             map[string]*brittleService
	reported            bool           // a load report was received
	slots               map[string]int // by service, of endpoints that take requests
	ownRunning          map[string]int // attempts of this daemon, by service
	scratch             []*member
	homeScratch         []*member
	listedHomesKnown    bool // homeScratch has the homes of the request that is placed
}

// New returns a balancer for a daemon in a data centre. The random source belongs to
// the balancer from then on.
func New(self fleet.DataCentre, rng *rand.Rand) *Balancer {
	return &Balancer{
		self:    self,
		rng:     rng,
		members: map[fleet.EndpointID]*member{},
		rests:   map[fleet.EndpointID]runRest{},
		pauses:  map[string]*pauses{},

		failureRates: map[string]*failureRate{},
		active:       map[string][]*member{},
		splits:       map[string]*split{},

		establishedVersions: map[string]string{},
		table:               route.New(route.Table{}),
		speeds:              newSpeeds(),
		prefillRate:         newPrefillRate(),

		rateLimits: backpressure.NewTable(rng.Uint64() | 1),
		byKey:      map[rendezvous.ShortKey]*member{},
		brittle:    map[string]*brittleService{},
		ownRunning: map[string]int{},
	}
}

// Configure applies a newer configuration.
func (b *Balancer) Configure(t *route.Table) {
	b.table = t
	for _, m := range b.members {
		b.applySettings(m)
	}
}

// SetEndpoints applies the newest list. The state of endpoints that stay is kept,
// except for those that have restarted: their caches are empty, and earlier requests
// no longer run there.
func (b *Balancer) SetEndpoints(now time.Time, all []roster.Endpoint) {
	b.pruneRests(now)
	listed := make(map[fleet.EndpointID]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		m := b.members[e.ID]
		if m != nil && m.RestartedAs(&e) {
			b.forgetSpeed(now, m)
			m = nil
		}
		if m == nil {
			m = &member{hash: rendezvous.Key(string(e.ID)), slow: usual}
			b.members[e.ID] = m
		}
		isNew := m.ID == ""
		m.Endpoint = e
		if isNew {
			b.restoreRest(m)
		}
		b.applySettings(m)
	}
	for id := range b.members {
		if !listed[id] {
			b.forgetSpeed(now, b.members[id])
			delete(b.members, id)
		}
	}
	b.active, b.listed = map[string][]*member{}, map[string][]*member{}
	b.slots = map[string]int{}
	b.byKey = make(map[rendezvous.ShortKey]*member, len(all))
	for _, e := range all {
		b.byKey[rendezvous.ShortKey(b.members[e.ID].hash)] = b.members[e.ID]
		b.listed[e.Service] = append(b.listed[e.Service], b.members[e.ID])
		if !e.Draining {
			b.active[e.Service] = append(b.active[e.Service], b.members[e.ID])
			b.slots[e.Service] += max(b.members[e.ID].Slots, 1)
		}
	}
	maps.DeleteFunc(b.pauses, func(service string, _ *pauses) bool { return b.listed[service] == nil })
	maps.DeleteFunc(b.failureRates, func(service string, _ *failureRate) bool { return b.listed[service] == nil })
	for service, all := range b.listed {
		if len(b.active[service]) == len(all) {
			b.active[service] = all
		}
	}
	b.rebuildSplits()
	b.findEstablished()
	b.applyRateLimits(now)
}

// applySettings applies the service's settings for its engines to a member.
func (b *Balancer) applySettings(m *member) {
	s := b.table.Service(m.Service)
	m.isEngine = s != nil && s.Engine != nil
	if !m.isEngine {
		m.slow = usual
	} else {
		m.parts.capacity = s.Engine.CacheTokens
		m.fetchSeconds = s.Engine.FetchSeconds
		if m.Slots == 0 {
			m.Slots = s.Engine.Slots
		}
	}
}

// SetOthers sets the load of all other daemons, by endpoint; missing endpoints have
// none.
func (b *Balancer) SetOthers(load Loads) {
	for _, m := range b.members {
		m.others = load[rendezvous.ShortKey(m.hash)]
		m.observePrefilling()
	}
	b.reported = true
	b.updateUse()
	b.updatePauseLoads()
}

// OwnLoads returns this daemon's load.
func (b *Balancer) OwnLoads() Loads {
	out := Loads{}
	for _, m := range b.members {
		if m.own.Requests > 0 {
			out[rendezvous.ShortKey(m.hash)] = m.own
		}
	}
	return out
}

// Pick chooses an endpoint; ok is false if the service has none left. Avoided
// endpoints are chosen only when there are no others.
func (b *Balancer) Pick(now time.Time, r *Request) (c Choice, ok bool) {
	set := b.candidates(now, r)
	home := b.homeOf(now, r.affinityKey(), set)
	found := b.findSources(r, set)
	for _, avoided := range [...]bool{false, true} {
		best := b.cheapest(now, r, set, home, &found, avoided)
		if best != nil {
			return b.choice(r, best, home, &found), true
		}
	}
	return Choice{}, false
}

// PickSoonest chooses the endpoint with the least predicted wait, where speeds or late pauses may
// have made Pick choose another one; ok is false where they haven't.
func (b *Balancer) PickSoonest(now time.Time, r *Request) (c Choice, ok bool) {
	set := b.candidates(now, r)
	home := b.homeOf(now, r.affinityKey(), set)
	found := b.findSources(r, set)
	uneven := b.HadLatePause(now, r.Service)
	var best *member
	least := 0.0
	for _, m := range set {
		uneven = uneven || m.slow != usual
		if !m.mayGet(now, r) || m.avoided(now) {
			continue
		}
		f := b.planFetch(m, cachedTokens(r, m, m == home), &found)
		if wait := b.predictWait(r, m, f.cached); best == nil || wait < least {
			best, least = m, wait
		}
	}
	if best == nil || !uneven {
		return Choice{}, false
	}
	return b.choice(r, best, home, &found), true
}

// mayGet reports whether a request may be sent to a member that isn't avoided.
func (m *member) mayGet(now time.Time, r *Request) bool {
	return m.hasRate(now) && !m.resting(now) && !r.tried(m)
}

// cheapest returns the member of the least cost, drawn from those whose costs are
// about equal; nil if there is none to choose.
func (b *Balancer) cheapest(now time.Time, r *Request, set []*member, home *member, found *sources, avoided bool) *member {
	var best *member
	least, equal := 0.0, 0
	for _, m := range set {
		if m.avoided(now) != avoided || !m.mayGet(now, r) {
			continue
		}
		cost := b.cost(now, r, m, m == home, found)
		switch {
		case best == nil || cost < least-tieSeconds:
			best, least, equal = m, cost, 1
		case cost < least+tieSeconds:
			equal++
			if b.rng.IntN(equal) == 0 {
				best = m
			}
			least = min(least, cost)
		}
	}
	return best
}

// member returns a choice's member; nil if it is gone or has restarted.
func (b *Balancer) member(c Choice) *member {
	m := b.members[c.Endpoint.ID]
	if m == nil || c.Endpoint.RestartedAs(&m.Endpoint) {
		return nil
	}
	return m
}

// Sent records the start of an attempt.
func (b *Balancer) Sent(r *Request, c Choice) {
	b.ownRunning[r.Service]++
	m := b.member(c)
	if m == nil {
		return
	}
	m.own.Requests++
	m.own.PendingPrefill += r.Prompt - c.Cached
	m.parts.add(r.Parts)
}

// PrefillRate returns the prompt tokens per second that the usual engine computes, as
// observed.
func (b *Balancer) PrefillRate() float64 { return b.prefillRate.perSecond }

// FirstToken records an attempt's first token, some seconds after it was sent.
func (b *Balancer) FirstToken(r *Request, c Choice, seconds float64) {
	slow := usual
	if m := b.member(c); m != nil {
		slow = m.slow
	}
	b.prefillRate.observe(r.Prompt-c.Cached, seconds, float64(slow))
	b.prefilled(r, c)
}

// prefilled takes an attempt's prompt off its endpoint's pending prefill.
func (b *Balancer) prefilled(r *Request, c Choice) {
	if m := b.member(c); m != nil {
		m.own.PendingPrefill = max(m.own.PendingPrefill-(r.Prompt-c.Cached), 0)
	}
}

// Done records the end of an attempt. first says whether FirstToken was called.
func (b *Balancer) Done(now time.Time, r *Request, c Choice, first bool, o Outcome) {
	b.ownRunning[r.Service]--
	m := b.member(c)
	if m == nil {
		return
	}
	if !first {
		b.prefilled(r, c)
	}
	m.own.Requests = max(m.own.Requests-1, 0)
	m.observe(now, o)
	b.observeFailureRate(now, m, o)
	if s := b.brittle[r.Service]; s != nil && o == Refused {
		b.rejected(now, m, s)
	}
}

// NoteUnreachable records that connecting to an endpoint failed.
func (b *Balancer) NoteUnreachable(now time.Time, id fleet.EndpointID) {
	if m := b.members[id]; m != nil {
		m.observe(now, Unreachable)
	}
}
