package template

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRoundTrips(t *testing.T) {
	first := example(t)
	json, err := first.JSON()
	assert.NilError(t, err)
	yaml, err := first.YAML()
	assert.NilError(t, err)
	for _, text := range [][]byte{json, yaml, bytes.ReplaceAll(json, []byte(","), []byte(",\n\t"))} {
		again, problems := Parse(text)
		assert.Equal(t, len(problems), 0, "%v in\n%s", problems, text)
		encoded, err := again.JSON()
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(json))
	}
	stored, err := FromJSON(json)
	assert.NilError(t, err)
	assert.Equal(t, len(stored.Check()), 0)
}

// YAML treats a version such as 1.10 as a number. Decoded as one it becomes
// 1.1, and engines would load another version than the operator requested.
func TestVersionsStayAsWritten(t *testing.T) {
	assert.Equal(t, string(example(t).Models[0].Version), "1.10")
}

func TestAllProblemsAreReportedWithPositions(t *testing.T) {
	text := strings.ReplaceAll(`name: Month_End
models:
  - model: m
    replicas: 3
    latency: {firstToken: soon}
services:
  - name: parts
    nonIdempotent: [{method: post, path: orders}]
closing:
  at: tomorrow
  at: 2026-01-31T18:00:00Z
  priority: 101
workspaces:
  - name: a
    limits: {concurrency: 1.5, burst: "${bursts}"}
    models: [{model: n}]
    parameters: {burst: 3}
    tokens: [{sha256: abc}]
  - name: a
    services: [stock]
`, "\t", "  ")
	want := []string{
		"1:1: name: must be lower-case letters, digits, '.' and '-', with a letter or digit at both ends",
		"4:5: models[0].replicas: unknown key; known are model, adapter, version, minReplicas, latency, nonIdempotent",
		`5:15: models[0].latency.firstToken: "soon" is not a duration such as 1500ms or 4h`,
		"8:22: services[0].nonIdempotent[0].method: must be one of *, DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT",
		"8:36: services[0].nonIdempotent[0].path: must start with / and have at most 512 bytes",
		`9:1: closing.window: "" is not a duration such as 1500ms or 4h`,
		"10:3: closing.at: stands twice",
		`10:3: closing.at: "tomorrow" is not a time such as 2026-01-31T18:00:00Z`,
		"12:3: closing.priority: 101 is not between 0 and 100",
		"15:14: workspaces[0].limits.concurrency: 1.5 is not a whole number",
		`15:32: workspaces[0].limits.burst: parameter "bursts" has no value (workspace a)`,
		`16:14: workspaces[0].models[0]: no model of the template matches "n"`,
		"17:18: workspaces[0].parameters.burst: no field refers to this parameter",
		"18:15: workspaces[0].tokens[0].sha256: must be the 64 hexadecimal digits of a SHA-256",
		`19:5: workspaces[1].name: "a" stands twice`,
		`20:16: workspaces[1].services[0]: no service of the template is named "stock"`,
	}
	_, problems := Parse([]byte(text))
	var got []string
	for _, p := range problems {
		got = append(got, p.String())
	}
	assert.DeepEqual(t, got, want)
}

func TestMalformedTextsHaveProblems(t *testing.T) {
	texts := map[string]string{
		"empty":     "",
		"syntax":    "name: [a",
		"documents": "name: a\n---\nname: b\n",
		"list":      "- a\n",
		"alias":     "name: &x a\nmodels: *x\n",
		"tag":       "name: !!str a\n",
		"long":      strings.Repeat("a", MaxTextBytes+1),
	}
	for name, text := range texts {
		_, problems := Parse([]byte(text))
		assert.Assert(t, len(problems) > 0, name)
	}
}

// An unquoted parameter within braces is a YAML syntax error that the parser's
// message doesn't explain, so a hint must be added.
func TestUnquotedParameterWithinBraces(t *testing.T) {
	_, problems := Parse([]byte("name: a\ndefaults: {priority: ${p}}\n"))
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Line, 2)
	assert.Assert(t, strings.Contains(problems[0].Message, "in quotes"), problems[0].Message)
}

// The YAML parser takes half a minute for 100 KB of brackets, during which a
// daemon that parsed such a text would do nothing else.
func TestDeepTextsNeverReachTheParser(t *testing.T) {
	for _, text := range []string{"[", "{a: ", "- ", "? "} {
		_, problems := Parse([]byte(strings.Repeat(text, 10_000)))
		assert.Equal(t, len(problems), 1)
		assert.Equal(t, problems[0].Message, "nested too deep", text)
	}
}

func TestProblemsAreBounded(t *testing.T) {
	invalid := small("many")
	for i := range MaxWorkspaces {
		invalid.Workspaces = append(invalid.Workspaces, WorkspaceSpec{Name: "w", Priority: Scalar(fmt.Sprint("x", i))})
	}
	assert.Equal(t, len(invalid.Check()), maxProblems)
}

func FuzzParse(f *testing.F) {
	f.Add(exampleText())
	json, err := example(f).JSON()
	assert.NilError(f, err)
	f.Add(json)
	for _, seed := range []string{"a: &b [*b]", "? {a: b}\n: c", "<<: {name: a}", "name: |\n  x\n", "{", "models:\n- - -", "closing: ~", "name: ${", "\xff", "%YAML 1.2\n---\nname: a"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		first, problems := Parse(text)
		if len(problems) > 0 {
			return
		}
		want, err := first.JSON()
		assert.NilError(t, err)
		yaml, err := first.YAML()
		assert.NilError(t, err)
		for _, form := range [][]byte{want, yaml} {
			again, problems := Parse(form)
			assert.Equal(t, len(problems), 0, "%v in\n%s", problems, form)
			got, err := again.JSON()
			assert.NilError(t, err)
			assert.Equal(t, string(got), string(want))
		}
	})
}
