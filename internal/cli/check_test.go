package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

const validSettings = `instance: entry-1
dataCentre: cane-1
region: cane
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
platform: {objects: "http://127.0.0.1:4", instances: "http://127.0.0.1:4", cloud: "http://127.0.0.1:4", weights: "http://127.0.0.1:4"}
`

// writeFile writes a file into a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCheckNamesMistakesOfAllFiles(t *testing.T) {
	good := writeFile(t, "good.yaml", validSettings)
	faulty := writeFile(t, "faulty.yaml", validSettings+"limits: {retain: 0s}\nspeed: 1\n")
	tls := writeFile(t, "tls.yaml", validSettings+"tls:\n  callers: {certificate: /nonexistent/a.pem, key: /nonexistent/a.key}\n")
	closing := writeFile(t, "closing.yaml", string(deployment.DevTemplate())+"budget: 3\n")
	var out, errs bytes.Buffer
	status := Execute([]string{"check", "--settings", good, "--settings", faulty, "--settings", tls, "--template", closing, "--standin", "/nonexistent/s.yaml"}, &out, &errs)
	assert.Equal(t, status, exitFailed)
	assert.Equal(t, out.String(), good+": good settings\n")
	lines := strings.Split(strings.TrimSpace(errs.String()), "\n")
	for i, want := range []string{
		faulty + ":6:18: limits.retain: must be a duration above zero",
		faulty + ":7:1: speed: unknown key",
		tls + ":7:3: tls.callers: certs: open /nonexistent/a.pem: no such file",
		closing + ":36:1: budget: unknown key",
		"/nonexistent/s.yaml: no such file",
		"error: command: 4 of 5 files can't be used",
	} {
		assert.Assert(t, i < len(lines) && strings.HasPrefix(lines[i], want), "%d: want %s in\n%s", i, want, errs.String())
	}
	assert.Equal(t, len(lines), 6, errs.String())
}

func TestBadUsageExitsWithUsageStatus(t *testing.T) {
	for _, args := range [][]string{{"check"}, {"nonsense"}, {"template"}, {"template", "lst"}, {"template", "get"}, {"check", "--sped", "1"}, {"audit", "--output", "xml"}} {
		assert.Equal(t, Execute(args, &bytes.Buffer{}, &bytes.Buffer{}), exitUsage, "%s", args)
	}
}
