package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// nine is the size of a fleet of today.
func nine() deployment.Options {
	o := options()
	o.Entries = 9
	return o
}

// Guards against a change that only one daemon knows when the store goes away.
func TestChangeSpreadsWithoutTheStore(t *testing.T) {
	t.Parallel()
	gate := newStoreGate(t)
	c := deploy(t, nine(), gate.before)
	first := c.amend(t, 0, "store up", withFirstToken(1001))
	waitForDuty(t, "the change to be everywhere", func() bool { return inForceAt(c.entries, first) })

	gate.arm(gateFailsAfter)
	second := c.amend(t, 3, "the store's last answer", withFirstToken(1002))
	waitForDuty(t, "the change to be everywhere without the store", func() bool { return inForceAt(c.entries, second) })

	waitForDuty(t, "the status to say so", func() bool {
		s, err := c.developer(0).TemplateStatus(t.Context(), closing)
		assert.NilError(t, err)
		return s.InForce && s.Version == second
	})

	const restarted = 8
	c.entries[restarted].send(t, syscall.SIGKILL)
	c.entries[restarted].wait()
	others := c.entries[:restarted]
	for _, p := range others {
		p.send(t, syscall.SIGSTOP)
	}
	p := c.launchEntry(t, restarted)
	waitForDuty(t, "the new daemon to answer", func() bool { return c.status(restarted) != 0 })
	assert.Equal(t, c.status(restarted), http.StatusServiceUnavailable)
	for _, p := range others {
		p.send(t, syscall.SIGCONT)
	}
	waitForDuty(t, "the new daemon to serve", func() bool {
		status := c.status(restarted)
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "status %d", status)
		return status == http.StatusOK
	})
	assert.Assert(t, p.waitReady())
	assert.Equal(t, p.inForce(), second)

	gate.mend()
	var third uint64
	waitForDuty(t, "the store to be written again", func() bool {
		r, err := c.change(0, "store back", withFirstToken(1003))
		third = r.Version
		return err == nil && r.Outcome == template.Accepted
	})
	waitForDuty(t, "the change to be everywhere", func() bool { return inForceAt(c.entries, third) })
}

// withFirstToken returns an edit that makes a version unlike the others.
func withFirstToken(millis int) func(*template.Template) {
	return func(t *template.Template) { t.Parameters["firstToken"] = fmt.Sprintf("%dms", millis) }
}

// launchEntry starts an entry and does not wait for it.
func (c *cluster) launchEntry(t testing.TB, i int) *process {
	t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	p, err := launch(name, c.dir, os.Environ(), "serve", "--settings", filepath.Join(c.dir, name+".yaml"))
	assert.NilError(t, err)
	t.Cleanup(p.end)
	c.entries[i] = p
	return p
}

// status returns the status of a short completion at an entry, 0 where the
// entry can't be reached.
func (c *cluster) status(i int) int {
	body, err := json.Marshal(chatBody{Model: model, Messages: question(1), MaxTokens: 1})
	if err != nil {
		return 0
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.callers()[i]+caller.CompletionsPath, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+deployment.DevToken)
	resp, err := control.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
