package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/node"
	"github.com/cyclamenbeam/cyclamenbeam/platform"
)

// memoryLimitShare is the share of limits.memoryMB that is the runtime's soft memory
// limit, near which it collects garbage continuously. The rest is for the
// kernel's buffers and for data that is read and not yet accounted for.
const memoryLimitShare = 0.7

// gcPercent lets the heap grow to three times the live heap, which is some ten
// megabytes. Collecting less often costs less processor time.
const gcPercent = 200

// serveNode runs the daemon of an entry on the users' platform. text is the
// content of the settings file at path.
func (a *app) serveNode(ctx context.Context, path string, text []byte) error {
	s, err := node.ParseSettings(text)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	// The platform sends SIGHUP when the settings have changed. Without a
	// handler the signal would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	log := logging.NewJSON(a.stdout, s.Log.Level)
	return platform.New(s, log).Run(ctx, path, hup)
}
