package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

var testNow = time.Unix(1000, 0)

// versionedEndpoints returns endpoints of a version that started at a time.
func versionedEndpoints(version string, n int, born time.Time) []roster.Endpoint {
	out := make([]roster.Endpoint, n)
	for i := range out {
		id := version + "-" + string(rune('a'+i))
		out[i] = roster.Endpoint{ID: fleet.EndpointID(id), Service: "s", Address: id, Version: version, Slots: 4, StartedAt: born}
	}
	return out
}

// pickedVersions returns the versions and endpoints that many requests are sent to.
func pickedVersions(b *Balancer, side rollout.Side) (versions map[string]bool, endpoints map[fleet.EndpointID]bool) {
	versions, endpoints = map[string]bool{}, map[fleet.EndpointID]bool{}
	for range 200 {
		c, ok := b.Pick(testNow, &Request{Service: "s", Side: side})
		if ok {
			versions[c.Endpoint.Version] = true
			endpoints[c.Endpoint.ID] = true
		}
	}
	return versions, endpoints
}

func TestSidesOfARollout(t *testing.T) {
	b := New("z", rand.New(rand.NewPCG(1, 2)))
	b.SetEndpoints(start, append(versionedEndpoints("v1", 8, testNow), versionedEndpoints("v2", 8, testNow.Add(time.Minute))...))
	b.SetSplit(&rollout.Split{Service: "s", Key: rollout.Key{Target: "v2"}, Spread: 3, Rotation: 1})
	versions, _ := pickedVersions(b, rollout.Old)
	assert.DeepEqual(t, versions, map[string]bool{"v1": true})
	versions, endpoints := pickedVersions(b, rollout.New)
	assert.DeepEqual(t, versions, map[string]bool{"v2": true})
	assert.Equal(t, len(endpoints), 3)
	old, target := b.Versions("s")
	assert.Equal(t, old, 8)
	assert.Equal(t, target, 8)
	b.SetSplit(&rollout.Split{Service: "s", Key: rollout.Key{Target: "v2"}, Spread: 3, Rotation: 2})
	_, next := pickedVersions(b, rollout.New)
	assert.Assert(t, len(next) == 3)
	for id := range endpoints {
		if !next[id] {
			return
		}
	}
	t.Fatal("the next rotation has the same endpoints")
}

func TestEstablishedVersionIsChosenWithoutARollout(t *testing.T) {
	b := New("z", rand.New(rand.NewPCG(1, 2)))
	old := versionedEndpoints("v1", 3, testNow)
	b.SetEndpoints(start, append(versionedEndpoints("v2", 3, testNow.Add(time.Minute)), old...))
	versions, _ := pickedVersions(b, rollout.Old)
	assert.DeepEqual(t, versions, map[string]bool{"v1": true})

	for i := range old {
		old[i].StartedAt = testNow.Add(time.Hour) // all endpoints of v1 restarted
	}
	b.SetEndpoints(start, append(versionedEndpoints("v2", 3, testNow.Add(time.Minute)), old...))
	versions, _ = pickedVersions(b, rollout.Old)
	assert.DeepEqual(t, versions, map[string]bool{"v1": true})

	for i := range old {
		old[i].Draining = true
	}
	b.SetEndpoints(start, append(versionedEndpoints("v2", 3, testNow.Add(time.Minute)), old...))
	versions, _ = pickedVersions(b, rollout.Old)
	assert.DeepEqual(t, versions, map[string]bool{"v2": true})
}
