package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// process is one run of a daemon.
type process struct {
	state    *State
	newest   uint64 // the newest version that this process received
	lastUsed uint64 // the version that decided its last request
}

func newProcess() *process {
	rng := rand.New(rand.NewPCG(1, 2))
	return &process{state: NewState("a", quota.New(false, quota.Tolerance{}), retry.NewBudgets(retry.Config{Window: time.Second}, time.Now(), true), rng)}
}

// configure gives a version to a daemon, as the store or another daemon would.
func (p *process) configure(version uint64) {
	p.state.Configure(time.Unix(1000, 0), route.New(route.Table{Version: version}))
	p.newest = max(p.newest, version)
}

// decidingVersion returns the version that decides a request, 0 if none does.
func (p *process) decidingVersion(t *rapid.T) uint64 {
	a, refusal := p.state.admit(time.Unix(1000, 0), &Request{Host: "h", Path: "/"})
	if a.table == nil {
		assert.Equal(t, refusal.Reason, NoConfiguration)
		return 0
	}
	return a.table.Version
}

// An operator publishes versions in uneven steps. Daemons receive them from the
// store, with delayed and stale answers among them, and from each other; some are
// killed and start with nothing. Within one process each request must be decided by
// the newest version received, so that no older one comes back into force; a daemon
// that has received none must refuse as not run.
func TestConfigurationNeverReturnsToAnOlderVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := [4]*process{}
		for i := range daemons {
			daemons[i] = newProcess()
		}
		versions := []uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0: // a new version is acknowledged
				last := uint64(0)
				if n := len(versions); n > 0 {
					last = versions[n-1]
				}
				versions = append(versions, last+rapid.Uint64Range(1, 5).Draw(t, "step"))
			case 1, 2: // the store answers, perhaps late
				if len(versions) > 0 {
					p.configure(rapid.SampledFrom(versions).Draw(t, "version"))
				}
			case 3: // another daemon sends its newest version
				if v := rapid.SampledFrom(daemons[:]).Draw(t, "sender").newest; v > 0 {
					p.configure(v)
				}
			case 4:
				*p = *newProcess()
			case 5:
				got := p.decidingVersion(t)
				assert.Equal(t, got, p.newest)
				assert.Assert(t, got >= p.lastUsed)
				p.lastUsed = got
			}
		}
	})
}
