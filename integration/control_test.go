package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

const (
	// closing is the name of the deployment's template.
	closing = "harvest-closing"
	// dutyTimeout bounds waits for duties that wait out a lease first, or for
	// an instance to start, on a busy machine.
	dutyTimeout = 3 * time.Minute
)

// waitForDuty is waitFor for what a control duty brings about.
func waitForDuty(t testing.TB, what string, holds func() bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}
	poll.WaitOn(t, check, poll.WithTimeout(dutyTimeout), poll.WithDelay(100*time.Millisecond))
}

// operatorOf returns a client of an entry's operators' API.
func (c *cluster) operatorOf(entry int, token string) *operator.Client {
	return operator.NewClient("http://"+c.layout.Entries[entry].Listen.Operators, token, nil)
}

// developer is operatorOf for the deployment's own operator.
func (c *cluster) developer(entry int) *operator.Client {
	return c.operatorOf(entry, deployment.DevOperatorToken)
}

// amend changes the stored template through an entry and returns the version
// that the change made.
func (c *cluster) amend(t testing.TB, entry int, why string, edit func(*template.Template)) uint64 {
	t.Helper()
	result, err := c.change(entry, why, edit)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, template.Accepted, "%+v", result)
	return result.Version
}

// change asks for a change to what is stored.
func (c *cluster) change(entry int, why string, edit func(*template.Template)) (operator.ChangeResult, error) {
	client := c.developer(entry)
	stored, err := client.Template(context.Background(), closing)
	if err != nil {
		return operator.ChangeResult{}, err
	}
	edit(stored.Template)
	return applyOnce(client, stored.Version, stored.Template, why, newKey())
}

// applyOnce asks for one change.
func applyOnce(client *operator.Client, expected uint64, t *template.Template, why, operation string) (operator.ChangeResult, error) {
	text, err := t.JSON()
	if err != nil {
		return operator.ChangeResult{}, err
	}
	a := operator.Apply{Expected: expected, Template: text, Why: why, Operation: operation}
	return client.Apply(context.Background(), t.Name, a)
}

// inForce returns the newest template version in force at an entry, 0 where it
// can't be asked.
func (p *process) inForce() uint64 { return uint64(max(0, p.metric("cyclamenbeam_template_version"))) }

// inForceAt reports whether a version, or a higher one, is in force at all of
// the entries.
func inForceAt(entries []*process, version uint64) bool {
	for _, p := range entries {
		if p.inForce() < version {
			return false
		}
	}
	return true
}
