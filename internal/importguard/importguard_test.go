package importguard

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// decisionPackages are the packages below internal whose types take the current
// time and events, and return actions for their caller to perform. Sub-packages are
// checked as well.
var decisionPackages = []string{
	"admission", "backpressure", "balance", "directory", "ledger", "lease", "membership", "origin",
	"outside/budget", "quota", "reach", "reclaim", "rendezvous", "request", "retry", "rollout",
	"roster", "route", "routing", "scaling", "feed", "spread", "template", "usage",
}

// forbiddenImports are the import paths of I/O, concurrency, randomness, logging and
// metrics. One with a trailing slash stands for all packages below it.
var forbiddenImports = []string{
	"context", "io/fs", "log", "log/", "math/rand", "net", "net/", "os", "os/",
	"runtime", "sync", "sync/", "syscall", "testing",
	"github.com/sirupsen/logrus", "github.com/VictoriaMetrics/metrics",
	"github.com/dghubble/sling", "storj.io/drpc",
}

// clockCalls are the beginnings of calls of package time that read the clock or wait.
var clockCalls = []string{"time.Now(", "time.Since(", "time.Until(", "time.Sleep(", "time.After(", "time.AfterFunc(", "time.NewTimer(", "time.NewTicker(", "time.Tick("}

// A decision that reads the clock or does I/O depends on more than its arguments,
// and tests can't replay it. The check reads imports and, for calls and goroutines,
// the source text.
func TestDecisionsDoNoIO(t *testing.T) {
	files := 0
	for _, name := range decisionPackages {
		root := filepath.Join("..", filepath.FromSlash(name))
		err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			files++
			checkFile(t, path)
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, files > len(decisionPackages), "read only %d files", files)
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	source, err := os.ReadFile(path)
	assert.NilError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, spec := range file.Imports {
		imported := strings.Trim(spec.Path.Value, `"`)
		for _, pattern := range forbiddenImports {
			underPattern := strings.HasSuffix(pattern, "/") && strings.HasPrefix(imported, pattern)
			if imported == pattern || underPattern {
				t.Errorf("%s imports %s", path, imported)
			}
		}
	}
	for _, call := range clockCalls {
		if strings.Contains(string(source), call) {
			t.Errorf("%s calls %s)", path, call)
		}
	}
	if strings.Contains(string(source), "\tgo ") {
		t.Errorf("%s starts a goroutine", path)
	}
}
