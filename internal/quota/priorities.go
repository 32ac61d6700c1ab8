package quota

import "github.com/cyclamenbeam/cyclamenbeam/internal/route"

// priorities are the priorities of the routes whose requests count against limits.
type priorities struct {
	byRoute  map[string]int
	services map[string]string // by route, a name for all services that are connected by routes
	lowest   int
	several  bool // not all are equal
}

func newPriorities(t *route.Table) priorities {
	p := priorities{byRoute: make(map[string]int, len(t.Routes))}
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
	}
	p.services = connectedServices(t)
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

// connectedServices returns a name for each route, which is that of all routes to the same
// services. These include routes that have some services in common, as while a part of a route's
// requests goes to another version's service: otherwise they would not be ordered.
func connectedServices(t *route.Table) map[string]string {
	names := map[string]string{} // by service, the least of those known to be connected
	for range t.Routes {
		changed := false
		for i := range t.Routes {
			changed = connect(names, servicesOf(&t.Routes[i])) || changed
		}
		if !changed {
			break
		}
	}
	out := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		if services := servicesOf(&t.Routes[i]); len(services) > 0 {
			out[t.Routes[i].Name] = names[services[0]]
		}
	}
	return out
}

// connect gives services the least of their names, and reports whether that changed any.
func connect(names map[string]string, services []string) (changed bool) {
	least := ""
	for _, s := range services {
		if names[s] == "" {
			names[s], changed = s, true
		}
		if least == "" || names[s] < least {
			least = names[s]
		}
	}
	for _, s := range services {
		if names[s] != least {
			names[s], changed = least, true
		}
	}
	return changed
}

// servicesOf returns the services that get a share of a route's requests, none of a public route,
// whose requests count against no limit.
func servicesOf(r *route.Route) []string {
	var out []string
	for _, b := range r.Backends {
		if b.Weight > 0 && !r.Public {
			out = append(out, b.Service)
		}
	}
	return out
}
