package integration

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Exit statuses of commands that change something.
const (
	statusAccepted = 0
	statusRefused  = 1
	statusUnknown  = 3
)

// Guards against exit statuses that don't tell accepted, refused and unknown changes apart.
func TestExitStatusesOfChanges(t *testing.T) {
	t.Parallel()
	gate := newStoreGate(t)
	o := options()
	o.Entries = 1
	c := deploy(t, o, gate.before)
	stored, err := c.developer(0).Template(t.Context(), closing)
	assert.NilError(t, err)
	apply := func(firstToken string, expected uint64, operation string) int {
		return c.apply(t, stored.Template, firstToken, expected, operation)
	}
	first, second, third := newKey(), newKey(), newKey()
	assert.Equal(t, apply("1001ms", stored.Version, first), statusAccepted)
	assert.Equal(t, apply("1001ms", stored.Version, first), statusAccepted, "asked again")
	assert.Equal(t, apply("1002ms", stored.Version, second), statusRefused)

	now, err := c.developer(0).Template(t.Context(), closing)
	assert.NilError(t, err)
	gate.arm(gateLosesAnswer)
	assert.Equal(t, apply("1003ms", now.Version, third), statusUnknown)
	assert.Equal(t, apply("1003ms", now.Version, third), statusUnknown, "asked again while the store is away")
	assert.Equal(t, apply("1001ms", stored.Version, first), statusAccepted, "asked again while the store is away")
	gate.mend()
	status := statusUnknown
	waitFor(t, "the store to be asked again", func() bool {
		status = apply("1003ms", now.Version, third)
		return status != statusUnknown
	})
	assert.Equal(t, status, statusAccepted, "asked again")

	history, err := c.developer(0).History(t.Context(), closing)
	assert.NilError(t, err)
	var operations []string
	for _, e := range history[1:] { // after the deployment's own
		operations = append(operations, e.Entry.Operation)
	}
	assert.DeepEqual(t, operations, []string{first, third})
}

// apply runs "template apply" and returns its exit status.
func (c *cluster) apply(t *testing.T, wished *template.Template, firstToken string, expected uint64, operation string) int {
	t.Helper()
	wished.Parameters["firstToken"] = firstToken
	text, err := wished.JSON()
	assert.NilError(t, err)
	file := filepath.Join(c.dir, "wished-"+operation+".json")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	env := append(os.Environ(), "CYCLAMENBEAM_TOKEN="+deployment.DevOperatorToken)
	p, err := launch("apply", c.dir, env, "template", "apply",
		"--server", "http://"+c.layout.Entries[0].Listen.Operators, "--file", file,
		"--expected", strconv.FormatUint(expected, 10), "--why", "test", "--operation", operation)
	assert.NilError(t, err)
	t.Cleanup(p.end)
	status := p.wait()
	t.Logf("status %d: %s", status, p.tail())
	return status
}
