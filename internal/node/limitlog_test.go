package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// Guards against a log line each second while a limit is short, or none the second time.
func TestLimitSpentByPriorityIsLoggedOnceEachTime(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	l := newLimitLog(&Node{log: log})
	short := map[fleet.WorkspaceID]quota.RouteShares{"w": {"r": 0.25}}
	for _, all := range []map[fleet.WorkspaceID]quota.RouteShares{nil, short, short, nil, nil, short} {
		l.update(all)
	}
	assert.Equal(t, strings.Count(out.String(), "limit spent by priority"), 2, out.String())
	assert.Equal(t, strings.Count(out.String(), "limit no longer short"), 1, out.String())
	assert.Assert(t, strings.Contains(out.String(), "0.25"), out.String())
}

// Guards against refusals that are counted by the workspace's priority instead of the route's.
func TestRequestsOverTheLimitAreCountedByPriority(t *testing.T) {
	n := New(&Settings{}, Platform{}, logrus.New())
	n.metrics.ended(&relay.Outcome{Reason: relay.OverLimit, Priority: 5, RoutePriority: 2})
	n.metrics.ended(&relay.Outcome{Reason: relay.NoEndpoint, Priority: 1})
	var out bytes.Buffer
	n.metrics.set.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `cyclamenbeam_requests_over_limit_total{priority="2"} 1`), out.String())
	assert.Equal(t, strings.Count(out.String(), "cyclamenbeam_requests_over_limit_total"), 1)
	assert.Assert(t, strings.Contains(out.String(), "cyclamenbeam_limit_shares 0"), out.String())
}
