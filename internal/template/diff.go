package template

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// DiffLine is one field that differs between two templates. The value of an
// absent field is the empty string.
type DiffLine struct {
	Path string `json:"path"` // with names as indexes: workspaces[magnolia].limits.burst
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns "~ path: old -> new", "- path: old" or "+ path: new".
func (l DiffLine) String() string {
	switch {
	case l.Old == "":
		return fmt.Sprintf("+ %s: %s", l.Path, l.New)
	case l.New == "":
		return fmt.Sprintf("- %s: %s", l.Path, l.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", l.Path, l.Old, l.New)
	}
}

// Diff returns the fields that differ between a and b, in the schema's order,
// removed ones last. A nil template has no fields.
func Diff(a, b *Template) []DiffLine {
	old, next := flatten(a), flatten(b)
	var out []DiffLine
	for _, path := range next.paths {
		if before, after := old.values[path], next.values[path]; before != after {
			out = append(out, DiffLine{Path: path, Old: before, New: after})
		}
	}
	for _, path := range old.paths {
		if _, kept := next.values[path]; !kept {
			out = append(out, DiffLine{Path: path, Old: old.values[path]})
		}
	}
	return out
}

// leaves holds the texts of a template's fields by path, and the paths in
// order.
type leaves struct {
	paths  []string
	values map[string]string
}

// add adds a field. A path that is already used gets a numbered suffix.
func (l *leaves) add(path, value string) {
	if value == "" {
		return
	}
	for n := 2; ; n++ {
		if _, taken := l.values[path]; !taken {
			break
		}
		path = fmt.Sprintf("%s#%d", path, n)
	}
	l.paths = append(l.paths, path)
	l.values[path] = value
}

func flatten(t *Template) *leaves {
	l := &leaves{values: map[string]string{}}
	if t == nil {
		return l
	}
	l.add("name", t.Name)
	l.parameters("parameters", t.Parameters)
	for _, m := range t.Models {
		l.model(m)
	}
	for _, s := range t.Services {
		l.service(s)
	}
	l.add("closing.at", string(t.Closing.At))
	l.add("closing.window", string(t.Closing.Window))
	l.add("closing.priority", string(t.Closing.Priority))
	l.add("weights.recompute", string(t.Weights.Recompute))
	l.add("weights.cost", string(t.Weights.Cost))
	l.limits("defaults.limits", t.Defaults.Limits)
	l.add("defaults.priority", string(t.Defaults.Priority))
	l.add("defaults.weight", string(t.Defaults.Weight))
	for i := range t.Workspaces {
		l.workspace(&t.Workspaces[i])
	}
	return l
}

func (l *leaves) parameters(at string, parameters map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		l.add(at+"."+name, strconv.Quote(parameters[name]))
	}
}

func (l *leaves) model(m ModelSpec) {
	at := fmt.Sprintf("models[%s]", modelName(m.Model, m.Adapter))
	l.add(at, "present")
	l.add(at+".version", string(m.Version))
	l.add(at+".minReplicas", string(m.MinReplicas))
	l.add(at+".latency.firstToken", string(m.Latency.FirstToken))
	l.add(at+".latency.betweenTokens", string(m.Latency.BetweenTokens))
	l.flag(at+".nonIdempotent", m.NonIdempotent)
}

// modelName returns a model's index in a path.
func modelName(model, adapter Scalar) string {
	if adapter == "" {
		return string(model)
	}
	return string(model) + "+" + string(adapter)
}

func (l *leaves) flag(path string, value bool) {
	if value {
		l.add(path, "true")
	}
}

func (l *leaves) service(s ServiceSpec) {
	at := fmt.Sprintf("services[%s]", s.Name)
	l.add(at, "present")
	for _, c := range s.NonIdempotent {
		l.add(fmt.Sprintf("%s.nonIdempotent[%s %s]", at, c.Method, c.Path), "present")
	}
}

func (l *leaves) limits(at string, s LimitsSpec) {
	l.add(at+".requestsPerSecond", string(s.RequestsPerSecond))
	l.add(at+".burst", string(s.Burst))
	l.add(at+".tokensPerSecond", string(s.TokensPerSecond))
	l.add(at+".tokenBurst", string(s.TokenBurst))
	l.add(at+".concurrency", string(s.Concurrency))
	l.add(at+".maxTokens", string(s.MaxTokens))
}

func (l *leaves) workspace(w *WorkspaceSpec) {
	at := fmt.Sprintf("workspaces[%s]", w.Name)
	l.add(at, "present")
	l.parameters(at+".parameters", w.Parameters)
	for _, u := range w.Models {
		l.add(fmt.Sprintf("%s.models[%s]", at, modelName(u.Model, u.Adapter)), "present")
	}
	for _, s := range w.Services {
		l.add(fmt.Sprintf("%s.services[%s]", at, s), "present")
	}
	l.limits(at+".limits", w.Limits)
	l.add(at+".priority", string(w.Priority))
	l.add(at+".weight", string(w.Weight))
	for _, token := range w.Tokens {
		l.token(at, token)
	}
}

// token adds a token, indexed by the first 12 digits of its hash, enough to
// distinguish tokens.
func (l *leaves) token(at string, token TokenSpec) {
	expires := "never expires"
	if token.Expires != "" {
		expires = "expires " + token.Expires
	}
	hash := token.SHA256[:min(len(token.SHA256), 12)]
	l.add(fmt.Sprintf("%s.tokens[%s]", at, hash), expires)
}
