package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func failTwoDials(r *Router, now time.Time, id fleet.EndpointID) Action {
	r.DialFailed(now, id)
	return r.DialFailed(now, id)
}

// Open connections to an endpoint stall for ever while new ones work, as when a
// device between the two ends loses their state. The endpoint is healthy: it
// must be probed and still receive requests.
func TestStalledConnectionProbesWithoutEjecting(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(1))
	assert.Equal(t, r.Stalled(start, "engine-0").Kind, Probe)
	assert.Equal(t, r.Stalled(start, "engine-0").Kind, NoAction)
	_, err := r.Pick(start, prompt(1, 4))
	assert.NilError(t, err)
	assert.Equal(t, r.ProbeOK(start, "engine-0").Kind, NoAction)
	assert.Equal(t, r.Stalled(start, "engine-0").Kind, Probe)
}

func TestSuccessfulProbeRestoresEjectedEndpoint(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(2))
	assert.Equal(t, failTwoDials(r, start, "engine-0").Kind, Eject)
	for seed := range uint64(20) {
		c, err := r.Pick(start, prompt(seed, 20))
		assert.NilError(t, err)
		assert.Equal(t, c.Endpoint, fleet.EndpointID("engine-1"))
	}
	due := r.Probes(start.Add(time.Second), nil)
	assert.Equal(t, len(due), 1)
	assert.Equal(t, due[0].Endpoint, fleet.EndpointID("engine-0"))
	assert.Equal(t, r.ProbeOK(start, "engine-0").Kind, Restore)
	assert.Equal(t, len(r.Probes(start.Add(time.Hour), nil)), 0)
}

// This daemon loses its network path to most engines. If it ejected all that
// fail, the last ones would receive the whole load and fail too. At most half may
// be ejected, also when healthy ones leave afterwards.
func TestAtMostHalfOfSetIsEjected(t *testing.T) {
	list := endpoints(10)
	r := testRouter(1, Config{}, list)
	ejected := 0
	for _, e := range list[:9] {
		if failTwoDials(r, start, e.ID).Kind == Eject {
			ejected++
		}
	}
	assert.Equal(t, ejected, 5)
	for _, e := range list[6:] {
		r.Notice(start, e.ID, time.Time{})
	}
	r.refresh()
	s := r.sets[setKey{model: testModel}]
	assert.Equal(t, s.present, 6)
	assert.Equal(t, s.ejected, 3)
	assert.Equal(t, len(s.members), 3)
}

// New connections fail because this daemon has no free ports, while the
// endpoint's streams make progress. The endpoint must not be ejected.
func TestProgressingEndpointIsNotEjected(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(4))
	r.Progress(start, "engine-0")
	assert.Equal(t, failTwoDials(r, start.Add(time.Second), "engine-0").Kind, NoAction)
	assert.Equal(t, r.DialFailed(start.Add(time.Minute), "engine-0").Kind, Eject)
}

func TestEndpointWithFailedDialIsNotChosen(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(8))
	q := prompt(1, 40)
	owner, _ := r.Pick(start, q)
	r.DialFailed(start, owner.Endpoint)
	c, _ := r.Pick(start, q)
	assert.Assert(t, c.Endpoint != owner.Endpoint)
}
