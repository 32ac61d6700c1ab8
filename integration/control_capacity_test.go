package integration

import (
	"bufio"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/cloud"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Guards against a workspace that isn't ready after a data centre is reclaimed under load.
func TestCapacityStandsTheLossOfADataCentre(t *testing.T) {
	t.Parallel()
	c := deploy(t, options(), withCapacity)
	c.wantReplicas(t, 6)
	c.waitForState(t, operator.StateAtRisk)
	bought := time.Now()
	c.waitForState(t, operator.StateReady)
	// Two are missing. The demand with its headroom must survive the loss of
	// one of four data centres: one instance in each.
	c.waitForBought(t, 4)
	t.Logf("4 engines serve %s after the workspace was at risk", time.Since(bought).Round(time.Second))

	w := work(t, c)
	lost := c.layout.Standin.Engines[3].DataCentre
	reclaimed := time.Now()
	post(t, c.platform()+cloudapi.ReclaimPath, cloudapi.Reclaim{DataCentre: lost, Millis: seenNotice.Milliseconds()})
	waitForDuty(t, "the loss to be replaced", func() bool {
		assert.Equal(t, c.state(t), operator.StateReady)
		return c.serving(t) == 6
	})
	t.Logf("replaced after %s", time.Since(reclaimed).Round(time.Second))
	w.stop()
	assert.Equal(t, w.failed.Load(), int64(0))
	c.checkTokens(t)
}

// Guards against capacity that stays missing, or is given back with requests in progress.
func TestCapacityOnDemandAndGivingBack(t *testing.T) {
	t.Parallel()
	c := deploy(t, options(), withCapacity)
	post(t, c.platform()+cloudapi.FaultsPath, cloudapi.Faults{RefuseStarts: true})
	c.wantReplicas(t, 6)
	c.waitForState(t, operator.StateAtRisk)
	c.waitForBought(t, 2)
	c.waitForState(t, operator.StateReady)
	for _, i := range c.bought(t) {
		assert.Assert(t, i.OnDemand, "%+v", i)
	}
	w := work(t, c)
	answered := w.answered.Load()
	waitFor(t, "the bought engines to be used", func() bool { return w.answered.Load() > answered+laterAnswers })
	c.wantReplicas(t, 2)
	waitForDuty(t, "the surplus to be given back", func() bool { return len(c.bought(t)) == 0 })
	w.stop()
	assert.Equal(t, w.failed.Load(), int64(0))
	for _, p := range c.entries {
		assert.Equal(t, p.total("cyclamenbeam_attempt_failures_total"), 0.0, "attempts that were cut off at %s", p.name)
	}
	assert.Equal(t, c.state(t), operator.StateReady)
}

// seenNotice is longer than the time between two looks at the cloud, as real
// notices are.
const seenNotice = 8 * time.Second

// withCapacity lets all entries buy, in times that suit a test.
func withCapacity(l *deployment.Layout) {
	for i := range l.Entries {
		l.Entries[i].Capacity = settings.Capacity{
			Enabled:   true,
			Classes:   []settings.Class{{Name: cloud.SmallClass, TokensPerSecond: 800}},
			StartTime: 30 * time.Second,
			Patience:  2 * time.Second,
			KeepFor:   2 * time.Second,
		}
	}
}

// wantReplicas amends the template's first model.
func (c *cluster) wantReplicas(t *testing.T, n int) {
	t.Helper()
	c.amend(t, 0, "test", func(s *template.Template) { s.Models[0].MinReplicas = scalar(n) })
}

func scalar(n int) template.Scalar { return template.Scalar(strconv.Itoa(n)) }

// state returns the state that the workspace has reached, as the first entry
// sees it.
func (c *cluster) state(t *testing.T) string {
	t.Helper()
	list, err := c.developer(0).Workspaces(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	return list[0].State
}

func (c *cluster) waitForState(t *testing.T, state string) {
	t.Helper()
	waitForDuty(t, "the workspace to be "+state, func() bool { return c.state(t) == state })
}

// bought returns the instances that were bought and have not ended.
func (c *cluster) bought(t *testing.T) []cloudapi.Instance {
	t.Helper()
	all := get[[]cloudapi.Instance](t, c.platform()+cloudapi.InstancesPath)
	return slices.DeleteFunc(all, func(i cloudapi.Instance) bool { return i.ClientToken == "" })
}

// serving returns how many bought engines hold a model and are not leaving.
func (c *cluster) serving(t *testing.T) int {
	t.Helper()
	list, err := c.developer(0).Endpoints(t.Context())
	assert.NilError(t, err)
	n := 0
	for _, i := range c.bought(t) {
		serves := func(e operator.EndpointStatus) bool {
			return e.Instance == i.ID && e.State == fleet.Live && len(e.Models) > 0
		}
		if slices.ContainsFunc(list, serves) {
			n++
		}
	}
	return n
}

// waitForBought waits until so many bought engines serve, and checks that no
// more were bought.
func (c *cluster) waitForBought(t *testing.T, n int) {
	t.Helper()
	waitForDuty(t, "bought engines to serve", func() bool { return c.serving(t) == n })
	assert.Equal(t, len(c.bought(t)), n)
	c.checkTokens(t)
}

// checkTokens checks that no client token bought twice.
func (c *cluster) checkTokens(t *testing.T) {
	t.Helper()
	seen := make(map[string]bool)
	for _, i := range c.bought(t) {
		assert.Assert(t, !seen[i.ClientToken], "bought twice: %+v", i)
		seen[i.ClientToken] = true
	}
}

// total sums an entry's metrics of a name over all labels, -1 where they can't
// be read.
func (p *process) total(name string) float64 {
	resp, err := control.Get("http://" + p.addresses(deployment.RoleOperator)[0] + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	sum := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		labels, value, found := strings.Cut(lines.Text(), "} ")
		if v, err := strconv.ParseFloat(value, 64); found && err == nil && strings.HasPrefix(labels, name+"{") {
			sum += v
		}
	}
	return sum
}
