package template

import (
	"fmt"
	"slices"
	"strings"
)

// Check returns all problems of the template. A template without problems can
// be put in force.
func (t *Template) Check() []Problem {
	found := &problems{positions: t.positions}
	t.check(found)
	return found.sorted()
}

// check adds all problems to found and returns the template with parameters
// replaced, which is valid only if there are no problems.
func (t *Template) check(found *problems) resolved {
	checkName(t.Name, "name", found)
	t.checkCounts(found)
	t.checkServices(found)
	t.checkWorkspaces(found)
	t.checkModelsOnce(found)
	return t.resolve(found)
}

// checkName checks that a name consists of lower-case letters, digits, dots and
// hyphens: names are used in paths of the object API and in metric labels.
func checkName(name, at string, found *problems) {
	switch {
	case name == "":
		found.add(at, "is needed")
	case len(name) > maxNameBytes:
		found.add(at, fmt.Sprintf("has more than %d characters", maxNameBytes))
	case strings.Trim(name, nameCharacters) != "" || !validAtEnd(name[0]) || !validAtEnd(name[len(name)-1]):
		found.add(at, "must be lower-case letters, digits, '.' and '-', with a letter or digit at both ends")
	}
}

const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789.-"

func validAtEnd(c byte) bool { return c != '.' && c != '-' }

func (t *Template) checkCounts(found *problems) {
	count := func(at string, have, high int) {
		if have > high {
			found.add(at, fmt.Sprintf("%d entries, at most %d may stand here", have, high))
		}
	}
	count("models", len(t.Models), MaxModels)
	count("services", len(t.Services), MaxServices)
	count("workspaces", len(t.Workspaces), MaxWorkspaces)
	count("parameters", len(t.Parameters), MaxParameters)
	for i, w := range t.Workspaces {
		count(fmt.Sprintf("workspaces[%d].tokens", i), len(w.Tokens), MaxTokens)
		count(fmt.Sprintf("workspaces[%d].parameters", i), len(w.Parameters), MaxParameters)
	}
	if len(t.Workspaces) == 0 {
		found.add("workspaces", "at least one is needed")
	}
	if len(t.Models)+len(t.Services) == 0 {
		found.add("models", "at least one model or service is needed")
	}
}

func (t *Template) checkServices(found *problems) {
	names := map[string]bool{}
	for i, s := range t.Services {
		at := fmt.Sprintf("services[%d]", i)
		checkName(s.Name, at+".name", found)
		if names[s.Name] {
			found.add(at+".name", fmt.Sprintf("%q stands twice", s.Name))
		}
		names[s.Name] = true
		for j, c := range s.NonIdempotent {
			c.check(fmt.Sprintf("%s.nonIdempotent[%d]", at, j), found)
		}
	}
}

// methods are the valid values of CallSpec.Method.
var methods = []string{"*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (c CallSpec) check(at string, found *problems) {
	if !slices.Contains(methods, c.Method) {
		found.add(at+".method", "must be one of "+list(methods))
	}
	if _, fault := compilePattern(c.Path); fault != "" {
		found.add(at+".path", fault)
	}
}

func (t *Template) checkWorkspaces(found *problems) {
	names := map[string]bool{}
	tokens := map[string]bool{}
	for i, w := range t.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		name := string(w.Name)
		checkName(name, at+".name", found)
		if names[name] {
			found.add(at+".name", fmt.Sprintf("%q stands twice", name))
		}
		names[name] = true
		for j, token := range w.Tokens {
			hash := strings.ToLower(token.SHA256)
			if tokens[hash] {
				found.add(fmt.Sprintf("%s.tokens[%d].sha256", at, j), "stands twice; a token belongs to one workspace")
			}
			tokens[hash] = true
		}
	}
}

// checkModelsOnce reports models that are listed twice, comparing their fields
// before parameters are replaced.
func (t *Template) checkModelsOnce(found *problems) {
	seen := map[[3]Scalar]bool{}
	for i, m := range t.Models {
		key := [3]Scalar{m.Model, m.Adapter, m.Version}
		if seen[key] {
			found.add(fmt.Sprintf("models[%d]", i), "stands twice")
		}
		seen[key] = true
	}
}

// checkParameters reports parameters that no field refers to: otherwise a
// misspelt name would silently leave a workspace on the default.
func (t *Template) checkParameters(used map[string]bool, found *problems) {
	check := func(at string, parameters map[string]string) {
		for name, value := range parameters {
			place := at + "." + name
			switch {
			case !used[name]:
				found.add(place, "no field refers to this parameter")
			case len(value) > maxValueBytes:
				found.add(place, fmt.Sprintf("has more than %d bytes", maxValueBytes))
			case strings.Contains(value, "${"):
				found.add(place, "a parameter's value can't refer to another")
			}
		}
	}
	check("parameters", t.Parameters)
	for i := range t.Workspaces {
		check(fmt.Sprintf("workspaces[%d].parameters", i), t.Workspaces[i].Parameters)
	}
}
