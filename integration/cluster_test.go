package integration

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

// cluster is a deployment of real processes: the stand-ins in one, a daemon in
// each of the others.
type cluster struct {
	layout  *deployment.Layout
	dir     string
	standin *process
	entries []*process
}

// options are the sizes of a deployment that most tests need.
func options() deployment.Options {
	return deployment.Options{Entries: 3, Engines: 4, Services: 2, Speed: deployment.DefaultSpeed()}
}

// plan lays a deployment out and writes its settings after the edits.
func plan(t *testing.T, o deployment.Options, edits ...func(*deployment.Layout)) *cluster {
	t.Helper()
	layout := lay(t, o)
	for i := range layout.Entries {
		e := &layout.Entries[i]
		e.Entries.MaxAge = time.Second // callers forget soon, so a daemon leaves soon
		e.Control.StartSpread = 100 * time.Millisecond
		e.Log.Level = "info"
	}
	for _, edit := range edits {
		edit(layout)
	}
	c := &cluster{layout: layout, dir: t.TempDir()}
	assert.NilError(t, layout.Write(c.dir, deployment.DevTemplate()))
	return c
}

// deploy plans a deployment and starts all its processes.
func deploy(t *testing.T, o deployment.Options, edits ...func(*deployment.Layout)) *cluster {
	t.Helper()
	c := plan(t, o, edits...)
	c.startStandin(t)
	for i := range c.layout.Entries {
		c.entries = append(c.entries, c.startEntry(t, i))
	}
	return c
}

func (c *cluster) startStandin(t *testing.T) {
	t.Helper()
	c.standin = start(t, "standin", c.dir, "standin", "--settings", filepath.Join(c.dir, "standin.yaml"))
}

func (c *cluster) startEntry(t *testing.T, i int) *process {
	t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	return start(t, name, c.dir, "serve", "--settings", filepath.Join(c.dir, name+".yaml"))
}

// callers returns the callers' addresses of all entries.
func (c *cluster) callers() []string {
	var out []string
	for _, e := range c.layout.Entries {
		out = append(out, e.Listen.Callers)
	}
	return out
}

// platform is the base URL of the platform's stand-ins.
func (c *cluster) platform() string { return "http://" + c.layout.Standin.Platform }

// service is the base URL of one replica of the plain service.
func (c *cluster) service(i int) string { return "http://" + c.layout.Standin.Services[i].Address }

// engine is the base URL of an engine, past any proxy.
func (c *cluster) engine(i int) string { return "http://" + c.layout.Standin.Engines[i].Address }
