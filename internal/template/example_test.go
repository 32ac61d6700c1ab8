package template

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// monthEnd uses every field of a template.
const monthEnd = `
name: month-end
parameters:
  adapter: cane
  rate: "40"
models:
  - model: harvester-diagnosis
    adapter: ${adapter}
    version: 1.10
    minReplicas: 4
    latency: {firstToken: 1500ms, betweenTokens: 34ms}
  - model: part-numbers
    nonIdempotent: true
services:
  - name: parts
    nonIdempotent:
      - {method: POST, path: /orders}
      - {method: "*", path: /admin/**}
closing: {at: 2026-01-31T18:00:00Z, window: 4h, priority: 5}
weights: {recompute: 3, cost: 1}
defaults:
  limits: {requestsPerSecond: "${rate}", burst: 80, tokensPerSecond: 9000, tokenBurst: 20000, concurrency: 64, maxTokens: 2048}
  priority: 10
  weight: 2
workspaces:
  - name: taller-vivo
    parameters: {rate: 55.5}
    tokens:
      - {sha256: "%s", expires: 2027-01-01T00:00:00Z}
  - name: magnolia
    parameters: {adapter: piedmont}
    models: [{model: harvester-diagnosis}]
    services: [parts]
    limits: {burst: 5}
    priority: 20
`

// hashOf returns a token's hash as written in a template.
func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func exampleText() []byte { return fmt.Appendf(nil, monthEnd, hashOf("secret")) }

func example(t testing.TB) *Template {
	out, problems := Parse(exampleText())
	assert.Equal(t, len(problems), 0, "%v", problems)
	return out
}

// revision returns a template's revision, as received by a daemon.
func revision(t testing.TB, template *Template, version uint64) Revision {
	r, err := Record{Name: template.Name, Version: version, Template: template}.Revision()
	assert.NilError(t, err)
	return r
}

// small returns a template of one workspace and one model.
func small(name string) *Template {
	return &Template{
		Name:       name,
		Models:     []ModelSpec{{Model: "m"}},
		Closing:    ClosingSpec{At: "2026-01-31T18:00:00Z", Window: "4h"},
		Workspaces: []WorkspaceSpec{{Name: "w"}},
	}
}
