package bench

import (
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

// sample is what was measured on one of the two ways.
type sample struct {
	times   []time.Duration
	mallocs uint64
	cpu     time.Duration
}

// spend adds what f costs this process: both ends, the engine, and the entry
// where f goes through it.
func (s *sample) spend(f func()) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	f()
	s.cpu += cpuTime() - cpu
	runtime.ReadMemStats(&after)
	s.mallocs += after.Mallocs - before.Mallocs
}

func (s *sample) quantile(q float64) time.Duration {
	slices.Sort(s.times)
	return s.times[int(q*float64(len(s.times)-1))]
}

// reportTimes prints both ways' median and 99th percentile and their ratios.
func reportTimes(b *testing.B, what string, direct, entry *sample) {
	for _, q := range []struct {
		name string
		q    float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		d, e := direct.quantile(q.q), entry.quantile(q.q)
		b.ReportMetric(float64(d.Nanoseconds())/1e3, what+"-direct-"+q.name+"-µs")
		b.ReportMetric(float64(e.Nanoseconds())/1e3, what+"-entry-"+q.name+"-µs")
		b.ReportMetric(float64(e)/float64(d), what+"-ratio-"+q.name)
	}
}

// reportCost prints what the entry adds to the process's cost of a unit.
func reportCost(b *testing.B, unit string, units int, direct, entry *sample) {
	n := float64(units)
	b.ReportMetric(float64(direct.mallocs)/n, "allocs-direct/"+unit)
	b.ReportMetric(float64(entry.mallocs)/n, "allocs-entry/"+unit)
	b.ReportMetric(float64(entry.cpu-direct.cpu)/n, "added-cpu-ns/"+unit)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
