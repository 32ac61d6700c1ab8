package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/reach"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

const (
	// pathCheckInterval is how often silence is looked for and probes are started.
	pathCheckInterval = 100 * time.Millisecond
	// silenceSuspicion is how long no endpoint of a service may send anything, while
	// requests to several wait for at least as long, until their endpoints are probed;
	// loneSilenceSuspicion is for requests to a single one.
	silenceSuspicion     = 400 * time.Millisecond
	loneSilenceSuspicion = 800 * time.Millisecond
	// probeCount is the number of endpoints that are probed at once, and probeTimeout bounds
	// the time for connecting: data centres are a few milliseconds apart.
	probeCount   = 6
	probeTimeout = 300 * time.Millisecond
	// minDialTime is the least time after which a dial that was given up counts as failed:
	// it may have had little time.
	minDialTime = 250 * time.Millisecond
	// maxTickDelay is how late a check may be until the process counts as held up, and bytes
	// may wait to be read.
	maxTickDelay = 200 * time.Millisecond
)

// paths tracks which services' endpoints this daemon can connect to.
type paths struct {
	node      *Node
	dialTo    upstream.Dialer
	mu        sync.Mutex
	tracker   *reach.Tracker
	byAddress map[string]*roster.Endpoint
	byService map[string][]*roster.Endpoint
	checkedAt time.Time
	heldUp    time.Time // when the process was last held up
}

func newPaths(n *Node, dial upstream.Dialer) *paths {
	if dial == nil {
		dial = upstream.DialTCP
	}
	return &paths{node: n, dialTo: dial, tracker: reach.New(), byAddress: map[string]*roster.Endpoint{}}
}

// setEndpoints takes the newest list.
func (p *paths) setEndpoints(all []roster.Endpoint) {
	byAddress, byService := make(map[string]*roster.Endpoint, len(all)), map[string][]*roster.Endpoint{}
	listed := map[string]bool{}
	for i := range all {
		e := &all[i]
		byAddress[e.Address] = e
		if !e.Draining {
			byService[e.Service] = append(byService[e.Service], e)
		}
		listed[e.Service] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress, p.byService = byAddress, byService
	p.tracker.Forget(listed)
}

// dial connects to an endpoint and records the result.
func (p *paths) dial(ctx context.Context, address string) (net.Conn, error) {
	began := time.Now()
	nc, err := p.dialTo(ctx, address)
	took := time.Since(began)
	p.node.origins.dialled(address, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byAddress[address]
	switch {
	case e == nil:
	case err == nil:
		p.tracker.Connected(e.Service)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded) && took < minDialTime:
	default:
		p.tracker.Failed(time.Now(), e.Service, e.ID, len(p.byService[e.Service]))
	}
	return nc, err
}

// run looks for lost paths until the context ends.
func (p *paths) run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	pause.Every(ctx, pathCheckInterval, func() {
		now := time.Now()
		p.checkSilence(now)
		p.mu.Lock()
		due := p.tracker.Due(now)
		p.mu.Unlock()
		for _, service := range due {
			probes.Go(func() { p.probe(ctx, service) })
		}
	})
}

// checkSilence finds the services whose endpoints are silent though requests wait.
func (p *paths) checkSilence(now time.Time) {
	if !p.checkedAt.IsZero() && now.Sub(p.checkedAt) > pathCheckInterval+maxTickDelay {
		p.heldUp = now
	}
	p.checkedAt = now
	if now.Sub(p.heldUp) < silenceSuspicion {
		return
	}
	waiting, alone := map[string]int{}, map[string]bool{}
	for _, o := range p.node.state.Outstanding() {
		if now.Sub(o.Oldest) >= silenceSuspicion {
			waiting[o.Service]++
			alone[o.Service] = alone[o.Service] || now.Sub(o.Oldest) >= loneSilenceSuspicion
		}
	}
	if len(waiting) == 0 {
		return
	}
	heard := p.lastHeard()
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, n := range waiting {
		if (n > 1 || alone[service]) && now.Sub(heard[service]) >= silenceSuspicion {
			p.tracker.Silent(service)
		}
	}
}

// lastHeard returns when bytes were last received from any endpoint of each service.
func (p *paths) lastHeard() map[string]time.Time {
	p.mu.Lock()
	byAddress := p.byAddress
	p.mu.Unlock()
	out := map[string]time.Time{}
	p.node.pool.EachHost(func(address string, received time.Time) {
		if e := byAddress[address]; e != nil && received.After(out[e.Service]) {
			out[e.Service] = received
		}
	})
	return out
}

// probe connects to some endpoints of a service. Those that can't be reached while others
// can are avoided for a while.
func (p *paths) probe(ctx context.Context, service string) {
	targets := p.probeTargets(service)
	accepted, failed := p.connectAll(ctx, targets)
	now := time.Now()
	p.mu.Lock()
	change := p.tracker.Probed(now, service, accepted, accepted+len(failed))
	p.mu.Unlock()
	p.logChange(service, change, accepted, len(failed))
	if accepted > 0 {
		p.node.state.NoteUnreachable(now, failed)
	}
}

// endpointAt returns the endpoint that is listed at an address, empty if there is none.
func (p *paths) endpointAt(address string) fleet.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byAddress[address]; e != nil {
		return e.ID
	}
	return ""
}

// inOrder reports whether an endpoint other than the one at an address accepts a new
// connection, one of its service if there is another, or there is none to tell.
func (p *paths) inOrder(ctx context.Context, except string) bool {
	p.mu.Lock()
	var same, all []*roster.Endpoint
	ended := p.byAddress[except]
	for name, service := range p.byService {
		for _, e := range service {
			if e.Address == except {
				continue
			}
			all = append(all, e)
			if ended != nil && name == ended.Service {
				same = append(same, e)
			}
		}
	}
	if len(same) > 0 {
		all = same
	}
	p.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), probeCount)]
	accepted, failed := p.connectAll(ctx, all)
	return accepted > 0 || len(failed) == 0
}

// probeTargets draws endpoints of a service, from different data centres where there are.
func (p *paths) probeTargets(service string) []*roster.Endpoint {
	p.mu.Lock()
	all := p.byService[service]
	p.mu.Unlock()
	var out []*roster.Endpoint
	perCentre := map[fleet.DataCentre]int{}
	order := rand.Perm(len(all))
	for round := 1; len(out) < min(probeCount, len(all)); round++ {
		for _, i := range order {
			e := all[i]
			if perCentre[e.DataCentre] < round && len(out) < probeCount && !slices.Contains(out, e) {
				perCentre[e.DataCentre]++
				out = append(out, e)
			}
		}
	}
	return out
}

// connectAll connects to endpoints at the same time. It returns how many accepted, and
// those that couldn't be reached.
func (p *paths) connectAll(ctx context.Context, targets []*roster.Endpoint) (accepted int, failed []fleet.EndpointID) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make([]error, len(targets))
	var all sync.WaitGroup
	for i, e := range targets {
		all.Go(func() { results[i] = p.node.pool.Connect(ctx, e.Address) })
	}
	all.Wait()
	for i, err := range results {
		switch {
		case err == nil:
			accepted++
		case !errors.Is(err, upstream.ErrPoolExhausted): // which says nothing about the path
			failed = append(failed, targets[i].ID)
		}
	}
	return accepted, failed
}

func (p *paths) logChange(service string, c reach.Change, accepted, failed int) {
	log := p.node.logFor("paths").WithFields(logrus.Fields{"service": service, "accepted": accepted, "failed": failed})
	switch c {
	case reach.Lost:
		log.Warn("no endpoint of the service can be reached")
	case reach.Restored:
		log.Info("endpoints of the service can be reached again")
	}
}

// lostServices returns the services of which no endpoint can be reached.
func (p *paths) lostServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.LostServices()
}

// suspects reports whether a path is lost or may be.
func (p *paths) suspects() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Suspects(time.Now())
}

// directShare returns the share of a service's requests that should go to its endpoints
// directly.
func (p *paths) directShare(now time.Time, service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.DirectShare(now, service)
}
