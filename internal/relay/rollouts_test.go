package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// Guards against a daemon that has received no update on roll-outs yet and sends
// requests to a version that may be on trial.
func TestWithoutARolloutUpdateTheOldestVersionIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState("a", quota.New(true, quota.Tolerance{}), retry.NewBudgets(retry.Config{Window: time.Second}, time.Now(), true), rand.New(rand.NewPCG(1, 2)))
	s.SetRollouts(rollout.Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second})
	var all []roster.Endpoint
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		id := fleet.EndpointID(rune('a' + i))
		all = append(all, roster.Endpoint{ID: id, Service: "s", Address: string(id), Version: version, Slots: 4, StartedAt: now.Add(time.Duration(i) * time.Second)})
	}
	s.SetEndpoints(now, all)
	for range 100 {
		q := &Request{}
		f := &inflight{request: q, balanceReq: q.balanceRequest("s")}
		f.service, f.route = "s", &route.Route{Name: "r"}
		c, refusal := s.pick(now, f)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.Endpoint.Version, "v1")
	}
}
