package relay

import (
	"slices"
	"sync"
	"time"
)

const (
	// durationSamples is the number of a route's last requests whose durations are kept.
	durationSamples = 64
	// usualShare is the part of them that a usual duration covers.
	usualShare = 0.95
	// maxDurationRoutes bounds the routes; beyond it all are forgotten.
	maxDurationRoutes = 4096
)

// durations are how long the last requests of each route took. They are safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDurations
}

// routeDurations is a ring of durations.
type routeDurations struct {
	samples [durationSamples]time.Duration
	count   int
}

// add records the duration of a request that was answered.
func (d *durations) add(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		if d.routes == nil || len(d.routes) >= maxDurationRoutes {
			d.routes = map[string]*routeDurations{}
		}
		r = &routeDurations{}
		d.routes[route] = r
	}
	r.samples[r.count%durationSamples] = took
	r.count++
}

// usual returns the time in which requests of a route usually end, and whether it is known.
func (d *durations) usual(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.samples[:min(r.count, durationSamples)]))
	return sorted[int(usualShare*float64(len(sorted)-1))], true
}
