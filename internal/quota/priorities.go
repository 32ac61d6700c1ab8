package quota

import (
	"slices"
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// priorities are the priorities of the routes whose requests count against limits.
type priorities struct {
	byRoute  map[string]int
	services map[string]string // names of the services, by route
	lowest   int
	several  bool // not all are equal
}

func newPriorities(t *route.Table) priorities {
	p := priorities{byRoute: make(map[string]int, len(t.Routes)), services: make(map[string]string, len(t.Routes))}
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Public {
			continue
		}
		p.several = p.several || len(p.byRoute) > 0 && r.Priority != p.lowest
		if len(p.byRoute) == 0 || r.Priority > p.lowest {
			p.lowest = r.Priority
		}
		p.byRoute[r.Name] = r.Priority
		p.services[r.Name] = servicesOf(r)
	}
	return p
}

// of returns a route's priority. A route that isn't configured here, which another daemon
// may have by another version of the configuration, has the lowest one: its demand counts
// and is never preferred.
func (p *priorities) of(name string) int {
	if priority, ok := p.byRoute[name]; ok {
		return priority
	}
	return p.lowest
}

// servicesOf returns the names of the services that get a share of a route's requests.
func servicesOf(r *route.Route) string {
	var names []string
	for _, b := range r.Backends {
		if b.Weight > 0 {
			names = append(names, b.Service)
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
