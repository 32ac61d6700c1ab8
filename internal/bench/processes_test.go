package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

// The load of one daemon at the target's peak: 4,100 requests and 1.5 million
// tokens a second over 340 daemons, 34 ms between tokens.
const (
	loadRate   = 4100.0 / 340
	loadTokens = 1_500_000 / 4100
	entries    = 9
	settleTime = 15 * time.Second // to the steady state: an answer takes 12 s
	windowTime = 20 * time.Second
)

// collectors are the settings of Go's garbage collector that are compared, by
// their environment, in one run. The first daemons take them, and hold no lease.
var collectors = []struct{ name, environment string }{
	{"GOGC=100", "GOGC=100"},
	{"GOGC=50", "GOGC=50"},
	{"GOGC=25", "GOGC=25"},
	{"GOMEMLIMIT=24MiB", "GOMEMLIMIT=24MiB"},
}

// daemonProcess is a real daemon.
type daemonProcess struct {
	cmd       *exec.Cmd
	entry     string
	collector string
}

// BenchmarkDaemons starts nine real daemons and the stand-ins as processes,
// with today's engines or the target's, leaves them idle or loads one of each
// setting as the target's peak loads every daemon, and reads what the kernel
// and the daemons say of their cost. tcp-B/s holds 16 bytes for each wake-up of
// Go's runtime. It takes 45 s each.
func BenchmarkDaemons(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "cyclamenbeam")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/cyclamenbeam/cyclamenbeam/cmd/cyclamenbeam").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for _, engines := range []int{18, 170, 690} {
		for _, load := range []string{"idle", "peak"} {
			b.Run(fmt.Sprintf("%s/engines=%d", load, engines), func(b *testing.B) {
				for range b.N {
					measureDaemons(b, startProcesses(b, binary, engines, startTries), load == "peak")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// startTries is how often a start is tried: a port that was free when the
// settings were written may be taken when its process listens.
const startTries = 3

func startProcesses(b *testing.B, binary string, engines, tries int) []*daemonProcess {
	speed := deployment.DefaultSpeed()
	speed.TokenInterval = 18 * time.Millisecond // 28 ms in a batch of 27, below the target's 34 ms
	layout, err := deployment.Make(deployment.Options{Entries: entries, Engines: engines, Services: 4, Speed: speed})
	if err != nil {
		b.Fatal(err)
	}
	for i := range layout.Standin.Engines {
		layout.Standin.Engines[i].Slots = slots
	}
	for i := range collectors {
		layout.Entries[i].Placement.Enabled = false
	}
	dir := b.TempDir()
	text, err := unlimited(b).YAML()
	if err != nil {
		b.Fatal(err)
	}
	if err := layout.Write(dir, text); err != nil {
		b.Fatal(err)
	}
	if run(b, "", binary, "standin", "--settings", filepath.Join(dir, "standin.yaml")) == nil && tries > 1 {
		return startProcesses(b, binary, engines, tries-1)
	}
	var out []*daemonProcess
	for i, e := range layout.Entries {
		c := collectors[0]
		if i < len(collectors) {
			c = collectors[i]
		}
		cmd := run(b, c.environment, binary, "serve", "--settings", filepath.Join(dir, fmt.Sprintf("entry-%d.yaml", i+1)))
		if cmd == nil {
			b.Fatalf("entry %d did not start", i+1)
		}
		out = append(out, &daemonProcess{cmd: cmd, entry: e.Listen.Callers, collector: c.name})
	}
	return out
}

// run starts a process, waits until it is ready, and ends it with the
// benchmark. It returns nil where the process ended before.
func run(b *testing.B, environment, binary string, args ...string) *exec.Cmd {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), environment)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"ready"`) {
			return cmd
		}
	}
	return nil
}

func measureDaemons(b *testing.B, all []*daemonProcess, loaded bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	var sent, refused atomic.Int64
	if loaded {
		for i, d := range all[:len(collectors)] {
			callers.Go(func() { offer(ctx, b, newTarget(d.entry, deployment.DevToken), uint64(i), &sent, &refused) })
		}
	}
	time.Sleep(settleTime)
	before := make([]usage, len(all))
	for i, d := range all {
		before[i] = d.usage(b)
	}
	time.Sleep(windowTime)
	for i, d := range all {
		if now := d.usage(b); i < len(collectors) {
			d.report(b, d.collector, before[i], now)
		} else if before[i].places() {
			d.report(b, "placing", before[i], now)
		}
	}
	cancel()
	callers.Wait()
	if loaded {
		b.ReportMetric(100*float64(refused.Load())/float64(sent.Load()), "refused-%")
	}
}

// offer sends a daemon the target's load until ctx ends, and returns when all
// answers came. A request may be refused early, where every engine would be
// late.
func offer(ctx context.Context, b *testing.B, t target, seed uint64, sent, refused *atomic.Int64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-time.After(time.Duration(random.ExpFloat64() / loadRate * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		running.Go(func() {
			sent.Add(1)
			_, err := t.stream(n, loadTokens)
			var status statusError
			switch {
			case errors.As(err, &status) && status == http.StatusServiceUnavailable:
				refused.Add(1)
			case err != nil:
				b.Error(err)
			}
		})
	}
}

// usage is what a process has used so far.
type usage struct {
	at      time.Time
	cpu     float64 // seconds
	tcp     float64 // bytes read and written, the membership's datagrams not included
	rss     float64 // bytes
	anon    float64 // of them, what is not the program's own text
	metrics map[string]float64
}

// places reports whether the daemon places models for the whole fleet.
func (u usage) places() bool {
	for name := range u.metrics {
		if strings.Contains(name, `kind="weight-fetch"`) {
			return true
		}
	}
	return false
}

func (d *daemonProcess) usage(b *testing.B) usage {
	pid := strconv.Itoa(d.cmd.Process.Pid)
	u := usage{at: time.Now(), metrics: scrape(b, d.entry)}
	u.cpu = u.metrics["process_cpu_seconds_total"]
	status, io := procFile(b, pid, "status"), procFile(b, pid, "io")
	u.rss, u.anon = status["VmRSS"]*1024, status["RssAnon"]*1024
	u.tcp = io["rchar"] + io["wchar"]
	return u
}

// procFile reads the numbers of a file of lines "name: number".
func procFile(b *testing.B, pid, name string) map[string]float64 {
	text, err := os.ReadFile(filepath.Join("/proc", pid, name))
	if err != nil {
		b.Fatal(err)
	}
	out := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		key, rest, _ := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if v, err := strconv.ParseFloat(fields[0], 64); err == nil {
			out[key] = v
		}
	}
	return out
}

func scrape(b *testing.B, entry string) map[string]float64 {
	resp, err := http.Get("http://" + entry + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	out := make(map[string]float64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}

// report prints what a daemon used between two moments, and logs what it says
// that each duty did.
func (d *daemonProcess) report(b *testing.B, name string, from, to usage) {
	seconds := to.at.Sub(from.at).Seconds()
	b.ReportMetric(to.rss/1e6, "rss-MB/"+name)
	b.ReportMetric(to.anon/1e6, "anon-MB/"+name)
	b.ReportMetric(100*(to.cpu-from.cpu)/seconds, "core-%/"+name)
	b.ReportMetric((to.tcp-from.tcp)/seconds, "tcp-B/s/"+name)
	for metric, value := range to.metrics {
		rate := (value - from.metrics[metric]) / seconds
		switch family, _, _ := strings.Cut(metric, "{"); family {
		case "cyclamenbeam_control_cpu_seconds_total":
			b.Logf("%s %s: %.4f%% of a core", name, metric, 100*rate)
		case "cyclamenbeam_control_bytes_total", "cyclamenbeam_platform_calls_total":
			b.Logf("%s %s: %.2f/s", name, metric, rate)
		case "go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes", "go_goroutines", "cyclamenbeam_requests_running":
			b.Logf("%s %s: %.0f", name, metric, value)
		}
	}
}
