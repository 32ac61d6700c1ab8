package daemon

import (
	"os"
	"runtime/debug"
)

// collectorPercent is how much the heap may grow between two collections, in
// per cent of the live heap. Half of Go's default took a daemon's memory from 34
// to 29 MB at its peak at no processor time that could be measured; see
// docs/CAPACITY.md, also for why there is no memory limit: one near the live
// heap has the collector run all the time, on three cores.
const collectorPercent = 50

// tuneCollector sets the process's garbage collector, unless its environment
// does.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
