// Package integration tests whole deployments of real processes: the binary's
// command line runs in processes of its own, callers come over TCP, and faults
// are signals, the stand-ins' switches and a proxy between processes.
//
// A run is scaled to fit CI. With CYCLAMENBEAM_FULL=1 it has the full size.
package integration

import (
	"io"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cli"
)

// binary is the name under which the test binary is the product.
const binary = "cyclamenbeam"

// guardVariable makes a process end with its standard input.
const guardVariable = "CYCLAMENBEAM_TEST_GUARD"

// TestMain lets the test binary stand for the product's, so that nothing has
// to be built and the race detector watches all processes.
func TestMain(m *testing.M) {
	// A race ends its process at once, and with a status that no test takes for
	// a clean stop; and the detector's second of waiting at each exit is left out.
	_ = os.Setenv("GORACE", "halt_on_error=1 atexit_sleep_ms=0")
	testscript.Main(m, map[string]func(){binary: runBinary})
}

func runBinary() {
	if os.Getenv(guardVariable) != "" {
		go endWithParent()
	}
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}

// endWithParent ends this process when the test does. A test that panics or is
// killed can't clean up; its processes would go on for ever.
func endWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(orphanStatus)
}

// orphanStatus is the exit status of a process whose test is gone.
const orphanStatus = 99

// scaled returns the size of a test: small in CI, whole when asked for.
func scaled(small, whole int) int {
	if os.Getenv("CYCLAMENBEAM_FULL") != "" {
		return whole
	}
	return small
}
