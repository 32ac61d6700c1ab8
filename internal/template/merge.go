package template

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// merger builds a Snapshot from the templates in force. The result depends only
// on the set of templates, not on the order in which they arrived, so that
// daemons with equal digests make equal decisions.
//
// A workspace in several templates may use the models and services of all;
// its limits, priority and weight come from the template whose closing has the
// highest priority, the first by name among equals. A model in several
// templates gets the highest replica count and the shortest latencies.
type merger struct {
	out    *Snapshot
	models map[fleet.ModelRef]Model
}

// merge returns the snapshot of the templates in force.
func merge(all []*resolved, digest Digest, versions map[string]uint64) *Snapshot {
	m := merger{
		models: map[fleet.ModelRef]Model{},
		out: &Snapshot{
			Digest:     digest,
			workspaces: map[fleet.WorkspaceID]*Workspace{},
			services:   map[string][]call{},
			tokens:     credentials{},
			versions:   versions,
		},
	}
	slices.SortFunc(all, compareResolved)
	for _, t := range all {
		m.services(t)
		for i := range t.workspaces {
			m.workspace(&t.workspaces[i])
		}
	}
	for _, t := range all {
		m.tokens(t)
	}
	m.out.Models = slices.SortedFunc(maps.Values(m.models), compareModels)
	return m.out
}

// compareResolved orders by descending priority, so that the template whose
// limits apply comes first.
func compareResolved(a, b *resolved) int {
	return cmp.Or(cmp.Compare(b.priority(), a.priority()), cmp.Compare(a.name, b.name))
}

func compareModels(a, b Model) int {
	return cmp.Or(
		cmp.Compare(a.Ref.Model, b.Ref.Model),
		cmp.Compare(a.Ref.Adapter, b.Ref.Adapter),
		cmp.Compare(a.Ref.Version, b.Ref.Version),
	)
}

func (m *merger) services(t *resolved) {
	for _, s := range t.services {
		calls := m.out.services[s.Name]
		for _, c := range s.NonIdempotent {
			pattern, _ := compilePattern(c.Path) // checked by Apply
			calls = append(calls, call{method: c.Method, pattern: pattern})
		}
		m.out.services[s.Name] = calls
	}
}

func (m *merger) workspace(w *resolvedWorkspace) {
	for _, model := range w.Models {
		m.model(model)
	}
	m.out.Closings = append(m.out.Closings, w.Closings...)
	known, ok := m.out.workspaces[w.ID]
	if !ok {
		first := w.Workspace
		m.out.workspaces[w.ID] = &first
		return
	}
	known.Models = mergeModels(known.Models, w.Models)
	known.Services = mergeServices(known.Services, w.Services)
	known.Closings = slices.Concat(known.Closings, w.Closings)
}

// model adds a model that engines must have loaded.
func (m *merger) model(model Model) {
	known, ok := m.models[model.Ref]
	if ok {
		model = stricter(known, model)
	}
	m.models[model.Ref] = model
}

// stricter returns the requirements that satisfy both a and b.
func stricter(a, b Model) Model {
	a.MinReplicas = max(a.MinReplicas, b.MinReplicas)
	a.NonIdempotent = a.NonIdempotent || b.NonIdempotent
	a.Latency.FirstToken = shorter(a.Latency.FirstToken, b.Latency.FirstToken)
	a.Latency.BetweenTokens = shorter(a.Latency.BetweenTokens, b.Latency.BetweenTokens)
	return a
}

// shorter returns the smaller target; 0 is none.
func shorter[T cmp.Ordered](a, b T) T {
	var none T
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	return min(a, b)
}

// mergeModels returns a new slice, because snapshots share those of templates.
func mergeModels(a, b []Model) []Model {
	out := slices.Clone(a)
	for _, model := range b {
		i := slices.IndexFunc(out, func(m Model) bool { return m.Ref == model.Ref })
		if i < 0 {
			out = append(out, model)
			continue
		}
		out[i] = stricter(out[i], model)
	}
	return out
}

func mergeServices(a, b []string) []string {
	out := slices.Clone(a)
	for _, service := range b {
		if !slices.Contains(out, service) {
			out = append(out, service)
		}
	}
	return out
}

func (m *merger) tokens(t *resolved) {
	for i := range t.workspaces {
		w := m.out.workspaces[t.workspaces[i].ID]
		for _, token := range t.workspaces[i].tokens {
			if m.out.tokens.add(token, w) {
				m.addTokenConflict(token, w.ID)
			}
		}
	}
}

// addTokenConflict records a token that is assigned to two workspaces.
func (m *merger) addTokenConflict(token Token, second fleet.WorkspaceID) {
	for _, known := range m.out.tokens[credentialKey(&token.Hash)] {
		if known.token.Hash == token.Hash && known.workspace.ID != second {
			m.out.TokenConflicts = append(m.out.TokenConflicts, TokenConflict{token.Hash, known.workspace.ID, second})
		}
	}
}
