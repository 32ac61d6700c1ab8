package template

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// resolver converts the scalars of a template to values for one workspace and
// reports those that are invalid.
type resolver struct {
	template  *Template
	workspace *WorkspaceSpec
	shared    []Model         // the template's models, if no model refers to a parameter
	used      map[string]bool // parameters that a scalar refers to
	problems  *problems
}

// parameter returns a parameter's value: the workspace's, else the template's.
func (r *resolver) parameter(name string) (string, bool) {
	r.used[name] = true
	if value, ok := r.workspace.Parameters[name]; ok {
		return value, true
	}
	value, ok := r.template.Parameters[name]
	return value, ok
}

// text returns a scalar with its parameters replaced.
func (r *resolver) text(s Scalar, at *path) (string, bool) {
	text, missing := s.expand(r.parameter)
	if missing != "" {
		r.report(s, at, fmt.Sprintf("parameter %q has no value", missing))
		return "", false
	}
	return text, true
}

// report reports a problem of a scalar. If the scalar refers to a parameter,
// the message names the workspace, because the value may be valid for others.
func (r *resolver) report(s Scalar, at *path, message string) {
	if s.parametrised() {
		message += fmt.Sprintf(" (workspace %s)", r.workspace.Name)
	}
	r.problems.add(at.String(), message)
}

// name returns a scalar that is a name.
func (r *resolver) name(s Scalar, at *path, required bool) string {
	text, ok := r.text(s, at)
	switch {
	case !ok:
		return ""
	case required && text == "":
		r.report(s, at, "is needed")
	case len(text) > maxModelNameBytes:
		r.report(s, at, fmt.Sprintf("has more than %d bytes", maxModelNameBytes))
	}
	return text
}

// number returns a scalar from 0 to high; 0 if it is empty.
func (r *resolver) number(s Scalar, at *path, high float64) float64 {
	text, ok := r.text(s, at)
	if !ok || text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) {
		r.report(s, at, fmt.Sprintf("%q is not a number", text))
		return 0
	}
	if value < 0 || value > high {
		r.report(s, at, fmt.Sprintf("%s is not between 0 and %g", text, high))
		return 0
	}
	return value
}

// integer is like number, for integers.
func (r *resolver) integer(s Scalar, at *path, high int) int {
	value := r.number(s, at, float64(high))
	if value != math.Trunc(value) {
		r.report(s, at, fmt.Sprintf("%g is not a whole number", value))
		return 0
	}
	return int(value)
}

// duration returns a scalar such as 1500ms, above 0 and at most high; 0 where
// it is empty and not required.
func (r *resolver) duration(s Scalar, at *path, high time.Duration, required bool) time.Duration {
	text, ok := r.text(s, at)
	if !ok || (text == "" && !required) {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.report(s, at, fmt.Sprintf("%q is not a duration such as 1500ms or 4h", text))
		return 0
	}
	if value <= 0 || value > high {
		r.report(s, at, fmt.Sprintf("%s is not above 0 and at most %s", text, high))
		return 0
	}
	return value
}

// timestamp returns a scalar that is a time in RFC 3339.
func (r *resolver) timestamp(s Scalar, at *path) time.Time {
	text, ok := r.text(s, at)
	if !ok {
		return time.Time{}
	}
	value, err := time.Parse(time.RFC3339, text)
	if err != nil {
		r.report(s, at, fmt.Sprintf("%q is not a time such as 2026-01-31T18:00:00Z", text))
		return time.Time{}
	}
	return value
}
