package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

func endpoints(versions ...string) []roster.Endpoint {
	var out []roster.Endpoint
	for _, v := range versions {
		out = append(out, roster.Endpoint{Service: "s", Version: v})
	}
	return out
}

// only returns the only version of the last horizon, empty if there is none.
func (v *Versions) only(at time.Duration, horizon time.Duration) string {
	version, ok := v.Only(start.Add(at), "s", horizon)
	if !ok {
		return ""
	}
	return version
}

// Guards against a daemon that has just started and takes the versions that it sees for all.
func TestOnlyVersionIsUnknownUntilTheHorizonHasPassed(t *testing.T) {
	v := NewVersions()
	assert.Equal(t, v.only(0, Retention), "")
	v.Listed(start, endpoints("v1", "v1"))
	assert.Equal(t, v.only(Retention-1, Retention), "")
	assert.Equal(t, v.only(Retention, Retention), "v1")
	assert.Equal(t, v.only(Retention, 2*Retention), "")
}

// Guards against a version whose streams still go on when its last endpoint is gone.
func TestGoneVersionCountsForTheHorizon(t *testing.T) {
	v := NewVersions()
	v.Listed(start, endpoints("v1", "v2"))
	gone := Retention
	v.Listed(start.Add(gone), endpoints("v2"))
	assert.Equal(t, v.only(gone+Retention, Retention), "")
	assert.Equal(t, v.only(gone+Retention+1, Retention), "v2")
	v.Listed(start.Add(gone+Retention+1), nil) // the last endpoint is gone
	assert.Equal(t, v.only(gone+Retention+2, Retention), "v2")
	assert.Equal(t, v.only(gone+3*Retention, Retention), "")
}

// Guards against endpoints that started in an outage of the registry and aren't listed yet.
func TestOnlyVersionIsUnknownUntilTheListHasSettled(t *testing.T) {
	v := NewVersions()
	v.Listed(start, endpoints("v1"))
	v.Interrupted(start.Add(Retention))
	assert.Equal(t, v.only(Retention+settling-1, Retention), "")
	assert.Equal(t, v.only(Retention+settling, Retention), "v1")
}

func TestHistoryOfAnotherDaemonReachesFurtherBack(t *testing.T) {
	old, fresh := NewVersions(), NewVersions()
	old.Listed(start, endpoints("v1"))
	at := maxHorizon
	old.Listed(start.Add(at), endpoints("v2"))
	now := start.Add(at + time.Second)
	fresh.Listed(now, endpoints("v2"))
	assert.Assert(t, fresh.Wants(now))
	fresh.Merge(now, History{})
	fresh.Merge(now, old.History(now))
	assert.Assert(t, !fresh.Wants(now))
	assert.Equal(t, fresh.only(at+time.Second, Retention), "")
	assert.Equal(t, fresh.only(at+Retention+time.Second, Retention), "v2")
}
