package template

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// resolved is a template with all parameters replaced, ready to be merged with
// the other templates in force.
type resolved struct {
	name       string
	workspaces []resolvedWorkspace
	services   []ServiceSpec
}

// resolvedWorkspace is a workspace as one template describes it.
type resolvedWorkspace struct {
	Workspace
	tokens []Token
}

// resolve replaces all parameters. It adds problems to found; the result is
// valid only if there are none.
func (t *Template) resolve(found *problems) resolved {
	used := map[string]bool{}
	out := resolved{name: t.Name, services: t.Services}
	out.workspaces = make([]resolvedWorkspace, 0, len(t.Workspaces))
	var shared []Model
	for i := range t.Workspaces {
		r := resolver{template: t, workspace: &t.Workspaces[i], shared: shared, used: used, problems: found}
		out.workspaces = append(out.workspaces, r.resolve(i))
		shared = r.shared
	}
	t.checkParameters(used, found)
	return out
}

// resolve resolves r's workspace, the i-th.
func (r *resolver) resolve(i int) resolvedWorkspace {
	var root *path
	at := root.field("workspaces").item(i)
	out := resolvedWorkspace{tokens: r.tokens(at.field("tokens"))}
	out.ID = r.workspace.Name
	out.Models = r.models(at.field("models"))
	out.Services = r.services(at.field("services"))
	out.Limits = r.limits(at.field("limits"))
	out.Priority, out.Weight = r.priorityAndWeight(at)
	out.Closings = []Closing{r.closing()}
	return out
}

// priorityAndWeight returns the workspace's priority and weight.
func (r *resolver) priorityAndWeight(at *path) (priority int, weight float64) {
	own, def := r.workspace, r.template.Defaults
	s, place := valueOrDefault(own.Priority, def.Priority, at, "priority")
	priority = r.integer(s, place, maxPriority)
	s, place = valueOrDefault(own.Weight, def.Weight, at, "weight")
	weight = r.number(s, place, maxWeight)
	if weight == 0 {
		weight = 1
	}
	return priority, weight
}

// valueOrDefault returns the workspace's scalar, or the default if the
// workspace has none, and the path of the one returned.
func valueOrDefault(own, def Scalar, at *path, key string) (Scalar, *path) {
	if own != "" || def == "" {
		return own, at.field(key)
	}
	var root *path
	defaults := root.field("defaults")
	if at.key == "limits" {
		defaults = defaults.field("limits")
	}
	return def, defaults.field(key)
}

func (r *resolver) limits(at *path) Limits {
	own, def := r.workspace.Limits, r.template.Defaults.Limits
	number := func(own, def Scalar, key string, high float64) float64 {
		s, place := valueOrDefault(own, def, at, key)
		return r.number(s, place, high)
	}
	whole := func(own, def Scalar, key string, high int) int {
		s, place := valueOrDefault(own, def, at, key)
		return r.integer(s, place, high)
	}
	return Limits{
		RequestsPerSecond: number(own.RequestsPerSecond, def.RequestsPerSecond, "requestsPerSecond", maxRate),
		Burst:             number(own.Burst, def.Burst, "burst", maxRate),
		TokensPerSecond:   number(own.TokensPerSecond, def.TokensPerSecond, "tokensPerSecond", maxTokenRate),
		TokenBurst:        number(own.TokenBurst, def.TokenBurst, "tokenBurst", maxTokenRate),
		Concurrency:       whole(own.Concurrency, def.Concurrency, "concurrency", maxRate),
		MaxTokens:         whole(own.MaxTokens, def.MaxTokens, "maxTokens", maxAnswerTokens),
	}
}

// models returns the template's models that the workspace may use.
func (r *resolver) models(at *path) []Model {
	all := r.allModels()
	if len(r.workspace.Models) == 0 {
		return all
	}
	var out []Model
	for _, m := range all {
		if r.uses(m.Ref) {
			out = append(out, m)
		}
	}
	for i := range r.workspace.Models {
		r.checkUse(i, all, at.item(i))
	}
	return out
}

// allModels returns the template's models. Workspaces share them if no model
// refers to a parameter: separate copies of fifty models for a thousand
// workspaces take 6 MB.
func (r *resolver) allModels() []Model {
	if r.shared != nil {
		return r.shared
	}
	all := make([]Model, len(r.template.Models))
	for i := range all {
		all[i] = r.model(i)
	}
	if !slices.ContainsFunc(r.template.Models, ModelSpec.parametrised) {
		r.shared = all
	}
	return all
}

// uses reports whether the workspace names a model.
func (r *resolver) uses(ref fleet.ModelRef) bool {
	for i := range r.workspace.Models {
		if r.matches(i, ref) {
			return true
		}
	}
	return false
}

// matches reports whether the workspace's i-th ModelUse selects a model.
func (r *resolver) matches(i int, ref fleet.ModelRef) bool {
	use := r.workspace.Models[i]
	model, _ := use.Model.expand(r.parameter)
	adapter, _ := use.Adapter.expand(r.parameter)
	return model == ref.Model && (adapter == "" || adapter == ref.Adapter)
}

// checkUse reports the workspace's i-th ModelUse if it selects no model of the
// template.
func (r *resolver) checkUse(i int, all []Model, at *path) {
	use := r.workspace.Models[i]
	model := r.name(use.Model, at.field("model"), true)
	r.name(use.Adapter, at.field("adapter"), false)
	for _, m := range all {
		if r.matches(i, m.Ref) {
			return
		}
	}
	if model != "" {
		r.report(use.Model, at, fmt.Sprintf("no model of the template matches %q", model))
	}
}

// model resolves the template's i-th model.
func (r *resolver) model(i int) Model {
	var root *path
	at := root.field("models").item(i)
	spec := &r.template.Models[i]
	latency := at.field("latency")
	out := Model{
		Ref: fleet.ModelRef{
			Model:   r.name(spec.Model, at.field("model"), true),
			Adapter: r.name(spec.Adapter, at.field("adapter"), false),
			Version: r.name(spec.Version, at.field("version"), false),
		},
		MinReplicas:   r.integer(spec.MinReplicas, at.field("minReplicas"), maxReplicas),
		NonIdempotent: spec.NonIdempotent,
		Latency: Latency{
			FirstToken:    r.duration(spec.Latency.FirstToken, latency.field("firstToken"), maxLatency, false),
			BetweenTokens: r.duration(spec.Latency.BetweenTokens, latency.field("betweenTokens"), maxLatency, false),
		},
	}
	if spec.MinReplicas == "" {
		out.MinReplicas = defaultReplicas
	}
	return out
}

// services returns the services that the workspace may call.
func (r *resolver) services(at *path) []string {
	known := make([]string, len(r.template.Services))
	for i, s := range r.template.Services {
		known[i] = s.Name
	}
	if len(r.workspace.Services) == 0 {
		return known
	}
	for i, name := range r.workspace.Services {
		if !slices.Contains(known, name) {
			r.problems.add(at.item(i).String(), fmt.Sprintf("no service of the template is named %q", name))
		}
	}
	return r.workspace.Services
}

func (r *resolver) closing() Closing {
	var root *path
	spec, at := r.template.Closing, root.field("closing")
	return Closing{
		Template:  r.template.Name,
		Workspace: r.workspace.Name,
		At:        r.timestamp(spec.At, at.field("at")),
		Window:    r.duration(spec.Window, at.field("window"), maxWindow, true),
		Priority:  r.integer(spec.Priority, at.field("priority"), maxPriority),
		Weights:   r.weights(),
	}
}

// weights returns the two weights, scaled to the sum 1.
func (r *resolver) weights() Weights {
	var root *path
	spec, at := r.template.Weights, root.field("weights")
	if spec == (WeightsSpec{}) {
		return Weights{Recompute: 0.5, Cost: 0.5}
	}
	recompute := r.number(spec.Recompute, at.field("recompute"), maxWeight)
	cost := r.number(spec.Cost, at.field("cost"), maxWeight)
	if recompute+cost == 0 {
		r.report(spec.Recompute, at, "one of recompute and cost must be above 0")
		return Weights{}
	}
	return Weights{Recompute: recompute / (recompute + cost), Cost: cost / (recompute + cost)}
}

func (r *resolver) tokens(at *path) []Token {
	out := make([]Token, 0, len(r.workspace.Tokens))
	for i, spec := range r.workspace.Tokens {
		token, ok := r.token(spec, at.item(i))
		if ok {
			out = append(out, token)
		}
	}
	return out
}

func (r *resolver) token(spec TokenSpec, at *path) (Token, bool) {
	var out Token
	raw, err := hex.DecodeString(spec.SHA256)
	if err != nil || len(raw) != len(out.Hash) {
		r.problems.add(at.field("sha256").String(), "must be the 64 hexadecimal digits of a SHA-256")
		return out, false
	}
	copy(out.Hash[:], raw)
	if spec.Expires == "" {
		return out, true
	}
	out.Expires, err = time.Parse(time.RFC3339, spec.Expires)
	if err != nil {
		r.problems.add(at.field("expires").String(), "must be a time such as 2026-01-31T18:00:00Z")
	}
	return out, err == nil
}

// priority returns the priority of the template's closing: the highest of all
// workspaces, because it may depend on a parameter.
func (t *resolved) priority() int {
	highest := 0
	for i := range t.workspaces {
		highest = max(highest, t.workspaces[i].Closings[0].Priority)
	}
	return highest
}
