package load

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

// Times and number of readings.
const (
	// samplePeriod is short compared with the notice of a reclaim, so that little
	// of a reclaimed engine's counts is missed, and causes only half a call per
	// second to the platform.
	samplePeriod  = 2 * time.Second
	readTimeout   = time.Second
	parallelReads = 16
)

// meter reads the counters and prices of engines during a run.
type meter struct {
	target     Target
	client     *http.Client
	fixedPrice float64 // price per hour if there is no instance list

	mu           sync.Mutex
	engines      map[string]*engineTotal
	services     []string
	unread       int       // readings that failed
	price        float64   // of all engines, per hour
	spent        float64   // price times hours, up to chargedUntil
	chargedUntil time.Time // zero while not charging
	started      bool      // the run has started
}

func newMeter(t Target, hourPrice float64, transport http.RoundTripper) *meter {
	return &meter{
		target: t, client: &http.Client{Transport: answerhead.NewTransport(transport)}, fixedPrice: hourPrice,
		engines: make(map[string]*engineTotal), services: slices.Clone(t.Services),
	}
}

// follow samples until ctx ends.
func (m *meter) follow(ctx context.Context) {
	pause.Every(ctx, samplePeriod, func() { m.sample(ctx) })
}

// sample reads the instance list, then every engine's counters.
func (m *meter) sample(ctx context.Context) {
	addresses := slices.Clone(m.target.Engines)
	if m.target.Platform != "" {
		var list listapi.List
		if err := m.read(ctx, m.target.Platform, listapi.ListPath, &list); err == nil {
			addresses = append(addresses, m.recordList(&list)...)
		}
	}
	slices.Sort(addresses)
	m.readCounters(ctx, slices.Compact(addresses))
}

// recordList records prices and services, and returns the engines' addresses.
func (m *meter) recordList(list *listapi.List) []string {
	var engines []string
	price := 0.0
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range list.Endpoints {
		if e.Kind == fleet.EngineEndpoint {
			engines = append(engines, e.Address)
			price += e.HourPrice
		} else if !slices.Contains(m.services, e.Address) {
			m.services = append(m.services, e.Address)
		}
	}
	m.charge(time.Now())
	m.price = price
	return engines
}

// charge adds the cost since the last charge. The caller holds the lock.
func (m *meter) charge(now time.Time) {
	if !m.chargedUntil.IsZero() {
		m.spent += m.price * now.Sub(m.chargedUntil).Hours()
		m.chargedUntil = now
	}
}

// startCost starts charging, at the start of the run.
func (m *meter) startCost(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target.Platform == "" {
		m.price = m.fixedPrice
	}
	m.chargedUntil = now
	m.started = true
}

// stopCost ends charging.
func (m *meter) stopCost(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.charge(now)
	m.chargedUntil = time.Time{}
}

// cost returns the cost of the engines between startCost and stopCost.
func (m *meter) cost() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spent
}

func (m *meter) readCounters(ctx context.Context, addresses []string) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelReads)
	for _, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var c engineapi.Counters
			err := m.read(ctx, address, engineapi.CountersPath, &c)
			m.recordCounters(address, c, err)
		})
	}
	wg.Wait()
}

// recordCounters records one reading. An engine that appears during the run
// counted nothing before the run.
func (m *meter) recordCounters(address string, c engineapi.Counters, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.engines[address]
	if !ok {
		t = &engineTotal{preexisting: !m.started}
		m.engines[address] = t
	}
	if err != nil {
		m.unread++
		return
	}
	t.add(c)
}

// totals returns the sum of all engines' counters since the start of the run.
func (m *meter) totals() (sum engineapi.Counters, engines, unread int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.engines {
		sum = plus(sum, t.total())
	}
	return sum, len(m.engines), m.unread
}

// read requests a path and decodes its JSON answer.
func (m *meter) read(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s := sling.New().Client(m.client).Base("http://" + address).Get(path)
	r, err := s.Request()
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := s.Do(r.WithContext(ctx), into, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return Error.New("%s on %s answered %s", path, address, resp.Status)
	}
	return nil
}
