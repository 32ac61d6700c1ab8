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

// memoryShare is the part of the machine's memory that the runtime may fill
// before it collects without pause; the rest is for the kernel's buffers and
// what is read and not yet counted.
const memoryShare = 0.6

// gcPercent lets the heap grow to three times what is live: the live heap is
// some ten megabytes, and collecting less often costs less processor time.
const gcPercent = 200

// serveNode runs the daemon of an entry on the users' platform, whose settings'
// file at a path holds text.
func (a *app) serveNode(ctx context.Context, path string, text []byte) error {
	s, err := node.ParseSettings(text)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	// The platform says by SIGHUP that the settings changed. Not caught, it
	// would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	log := logging.NewJSON(a.stdout, s.Log.Level)
	return platform.New(s, log).Run(ctx, path, hup)
}
