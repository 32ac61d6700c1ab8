package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/outsidetest"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

func daemonIDs(n int) []fleet.DaemonID {
	out := make([]fleet.DaemonID, n)
	for i := range out {
		out[i] = fleet.DaemonID(fmt.Sprintf("daemon-%d", i))
	}
	return out
}

// In a small fleet all daemons watch templates, in a large one six; an
// operator's wish about an endpoint reaches every daemon at once in both.
func TestWhoWatchesTemplates(t *testing.T) {
	for n, want := range map[int]int{1: 1, 9: 9, 12: 12, 13: template.Watchers, 340: template.Watchers} {
		ids, watching := daemonIDs(n), 0
		for _, id := range ids {
			kinds := watchedKinds(id, ids)
			assert.Equal(t, kinds[len(kinds)-1], drain.Kind)
			if kinds[0] == template.Kind {
				watching++
			}
		}
		assert.Equal(t, watching, want, "%d daemons", n)
	}
}

// readCounter counts what a store answers to reads.
type readCounter struct {
	next  http.Handler
	mu    sync.Mutex
	at    []time.Time
	bytes int
}

func (c *readCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		c.mu.Lock()
		c.at = append(c.at, time.Now())
		c.mu.Unlock()
		w = &countedAnswer{ResponseWriter: w, counter: c}
	}
	c.next.ServeHTTP(w, r)
}

type countedAnswer struct {
	http.ResponseWriter
	counter *readCounter
}

func (a *countedAnswer) Write(p []byte) (int, error) {
	a.counter.mu.Lock()
	defer a.counter.mu.Unlock()
	a.counter.bytes += len(p)
	return a.ResponseWriter.Write(p)
}

// restart forgets what was counted.
func (c *readCounter) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.bytes = nil, 0
}

// counted returns the reads, the most in one second and the bytes.
func (c *readCounter) counted() (reads, peak, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := 0
	for i, at := range c.at {
		for at.Sub(c.at[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return len(c.at), peak, c.bytes
}

// watchers is a fleet of configuration duties before one store. Digests reach
// the others within two seconds.
type watchers struct {
	counter *readCounter
	network *outsidetest.Network
	ids     []fleet.DaemonID
	duties  []*configurationDuty
}

func (w *watchers) objects(t *testing.T, daemons int) outside.Objects {
	clients, err := outside.New(outside.Options{
		Objects:   "http://objects.test",
		Budget:    budget.Config{FleetSize: daemons},
		Transport: w.network.Transport(t),
	})
	assert.NilError(t, err)
	t.Cleanup(clients.Close)
	return clients.Objects
}

func startWatchers(t *testing.T, n int, kinds func(self fleet.DaemonID, alive []fleet.DaemonID) []string) *watchers {
	w := &watchers{counter: &readCounter{next: objectstore.New(objectstore.Options{}).Handler()}, ids: daemonIDs(n)}
	w.network = outsidetest.Serve(t, w.counter)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, id := range w.ids {
		d := newConfigurationDuty(w.objects(t, n), 5*time.Second, newLifecycle(), log.WithField("part", "template"))
		d.kinds = func() []string { return kinds(id, w.ids) }
		d.onObjects = func([]objectapi.Object) {}
		told := template.Digest{}
		d.setDigest = func(digest template.Digest) {
			if digest != told {
				told = digest
				go w.tell(i, digest)
			}
		}
		d.fetch = func(_ context.Context, from fleet.DaemonID, have map[string]uint64) ([]template.Revision, bool, error) {
			for at, id := range w.ids {
				if id == from {
					newer, ok := w.duties[at].newer(have)
					return newer, ok, nil
				}
			}
			return nil, false, nil
		}
		w.duties = append(w.duties, d)
	}
	ctx, cancel := context.WithCancel(t.Context())
	for _, d := range w.duties {
		d.start(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, d := range w.duties {
			<-d.done
		}
	})
	return w
}

func (w *watchers) tell(from int, digest template.Digest) {
	time.Sleep(rand.N(2 * time.Second))
	for i, d := range w.duties {
		if i != from {
			d.heard(w.ids[from], digest)
		}
	}
}

// change writes a template with a trail of some changes and returns how long
// it took until it was in force everywhere.
func (w *watchers) change(t *testing.T, objects outside.Objects, current *template.Record) time.Duration {
	text := fmt.Sprintf("name: month-end\nclosing: {at: 2026-01-31T18:00:00Z, window: 4h}\nmodels: [{model: m, latency: {firstToken: %dms}}]\nworkspaces: [{name: w, models: [{model: m}], tokens: [{sha256: \"%064d\"}]}]\n", 1000+current.Version, 7)
	parsed, problems := template.Parse([]byte(text))
	assert.Equal(t, len(problems), 0, "%v", problems)
	c := template.Change{Name: "month-end", Expected: current.Version, Template: parsed, Who: "test", Operation: fmt.Sprint(current.Version)}
	plan := c.Plan(*current, time.Now())
	assert.Equal(t, plan.Outcome, template.Proceed, "%+v", plan)
	var o objectapi.Object
	var err error
	if current.Version == 0 {
		o, err = objects.Create(t.Context(), template.Kind, c.Name, plan.Write.Value)
	} else {
		o, err = objects.Update(t.Context(), template.Kind, c.Name, plan.Write.Value, current.Version)
	}
	assert.NilError(t, err)
	o.Kind, o.Name = template.Kind, c.Name
	*current, err = template.RecordOf(o)
	assert.NilError(t, err)
	start := time.Now()
	for !w.inForce(o.Version) {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (w *watchers) inForce(version uint64) bool {
	for _, d := range w.duties {
		if d.lag.version() < version {
			return false
		}
	}
	return true
}

// largeFleet is what the test of watches calls large; 340 takes some seconds.
var largeFleet = flag.Int("large-fleet", 40, "daemons of a large fleet")

// A day's changes of templates come one every 23 s. Were all daemons of a large
// fleet to watch, each change would bring a call of all of them to the store in
// one second, and its whole object to each.
func TestLargeFleetWatchesByAFew(t *testing.T) {
	const changes, pause = 4, 23 * time.Second
	ways := map[string]func(fleet.DaemonID, []fleet.DaemonID) []string{
		"all":    func(fleet.DaemonID, []fleet.DaemonID) []string { return allKinds },
		"by few": watchedKinds,
	}
	for _, n := range []int{9, *largeFleet} {
		for name, kinds := range ways {
			synctest.Test(t, func(t *testing.T) {
				w := startWatchers(t, n, kinds)
				writer := w.objects(t, 1).As(budget.Lease)
				var current template.Record
				w.change(t, writer, &current)
				time.Sleep(time.Minute)
				w.counter.restart()
				from, longest := time.Now(), time.Duration(0)
				for range changes {
					longest = max(longest, w.change(t, writer, &current))
					time.Sleep(pause)
				}
				reads, peak, bytes := w.counter.counted()
				passed := time.Since(from).Seconds()
				t.Logf("%d daemons, %s: %.1f reads a second, at most %d in one, %.0f bytes a second, in force after %.1f s at most",
					n, name, float64(reads)/passed, peak, float64(bytes)/passed, longest.Seconds())
				if n > watchAllUpTo && name == "by few" {
					assert.Assert(t, peak < n/2, "%d reads in a second", peak)
				}
				assert.Assert(t, longest < 15*time.Second)
			})
		}
	}
}
