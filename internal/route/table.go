package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Table is one version of the configuration. It must not be changed after New.
type Table struct {
	// Version is set by the operator: higher is newer.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	byHost    map[string][]*Route // longest prefix first
	byService map[string]*Service
	byKey     map[string]*Workspace // by credential
}

// New returns t with its indexes built.
func New(t Table) *Table {
	t.byHost = make(map[string][]*Route)
	t.byService = make(map[string]*Service, len(t.Services))
	t.byKey = make(map[string]*Workspace)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Workspaces {
		for _, key := range t.Workspaces[i].Keys {
			t.byKey[key] = &t.Workspaces[i]
		}
	}
	return &t
}

// Match returns the route with the longest prefix for a request's host, with or
// without a port, and path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// withoutPort returns a Host header without its port. An IPv6 address is in
// brackets.
func withoutPort(host string) string {
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') {
		return host[:at]
	}
	return host
}

// Service returns the service of a name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.byService[name] }

// Workspace returns the workspace that a key belongs to, nil if there is none.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// RequiresCredential reports whether requests to routes that aren't public need a
// credential.
func (t *Table) RequiresCredential() bool { return len(t.Workspaces) > 0 }

// ResumableServices identifies the services of the routes whose streams can be taken up: two
// tables with the same value send each of these streams to the same services.
func (t *Table) ResumableServices() uint64 {
	sum := uint64(0)
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Kind != Streaming || !r.Resumable {
			continue
		}
		var services []string
		for _, b := range r.Backends {
			if b.Weight > 0 {
				services = append(services, b.Service)
			}
		}
		slices.Sort(services)
		sum += rendezvous.Key(strings.Join(append([]string{r.Name, r.Host, r.Prefix}, services...), "\x00"))
	}
	return sum
}
