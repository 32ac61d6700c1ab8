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

// Guards against streams that are refused for the horizon after a daemon's start, though others
// know the versions.
func TestHistoryOfAnotherDaemonReachesFurtherBack(t *testing.T) {
	old, fresh := NewVersions(), NewVersions()
	old.Listed(start, endpoints("v1"))
	at := maxHorizon
	old.Listed(start.Add(at), endpoints("v2"))
	now := start.Add(at + time.Second)
	fresh.Listed(now, endpoints("v2"))
	assert.Assert(t, fresh.Wants(now))
	fresh.Merge(now, History{})
	fresh.Merge(now, old.History(now, time.Time{}))
	assert.Assert(t, !fresh.Wants(now))
	assert.Equal(t, fresh.only(at+time.Second, Retention), "")
	assert.Equal(t, fresh.only(at+Retention+time.Second, Retention), "v2")
}

// Guards against a version that has gone before the reader's first list and that the sender still lists.
func TestHistoryNamesListedVersions(t *testing.T) {
	old, fresh := NewVersions(), NewVersions()
	old.Listed(start, endpoints("v1"))
	at := maxHorizon
	fresh.Listed(start.Add(at), endpoints("v2"))
	fresh.Merge(start.Add(at), old.History(start.Add(at), time.Time{}))
	assert.Equal(t, fresh.only(at+Retention, Retention), "")
	assert.Equal(t, fresh.only(at+Retention+1, Retention), "v2")
}

// Guards against a version that was listed between two lists and that another daemon alone has seen.
func TestMergeTakesVersionsAlsoFromAShorterHistory(t *testing.T) {
	long, short := NewVersions(), NewVersions()
	long.Listed(start, endpoints("v1"))
	at := Retention
	short.Listed(start.Add(at), endpoints("v1"))
	short.Seen(start.Add(at), Origin{"s", "v2"})
	long.Merge(start.Add(at+1), short.History(start.Add(at+1), time.Time{}))
	assert.Equal(t, long.only(at+2, Retention), "")
	assert.Equal(t, long.only(2*at+1, Retention), "v1")
}

// Guards against a faulty daemon's history that is too long, or has versions that never expire.
func TestInvalidHistoryIsIgnored(t *testing.T) {
	v := NewVersions()
	v.Listed(start, endpoints("v1"))
	v.Merge(start, History{Known: maxHorizon + 1})
	assert.Equal(t, v.only(0, Retention), "")
	v.Merge(start, History{Known: maxHorizon, Gone: []Gone{seen("v2", -time.Hour)}})
	assert.Equal(t, v.only(Retention, Retention), "")
	assert.Equal(t, v.only(Retention+1, Retention), "v1")
}

// Guards against a history that claims the time before an event after which versions may be missing in it.
func TestHistoryReachesBackToTheLastDoubt(t *testing.T) {
	for name, doubt := range map[string]func(v *Versions, at time.Time) time.Time{
		"the store came back from an older copy": func(v *Versions, at time.Time) time.Time { v.Era(at, 2); return time.Time{} },
		"the routes' services changed":           func(_ *Versions, at time.Time) time.Time { return at },
		"the list was interrupted": func(v *Versions, at time.Time) time.Time {
			v.Interrupted(at.Add(-settling))
			return time.Time{}
		},
	} {
		v := NewVersions()
		v.Listed(start, endpoints("v1"))
		v.Era(start, 1)
		at := start.Add(Retention)
		from := doubt(v, at)
		assert.Equal(t, v.History(at.Add(time.Second), from).Known, time.Second, name)
		assert.Equal(t, v.only(Retention+time.Second, Retention), "v1", name)
	}
}

// Guards against the first era that a daemon sees being taken for one that has begun.
func TestFirstEraIsNoDoubt(t *testing.T) {
	v := NewVersions()
	v.Era(start, 3)
	v.Listed(start, endpoints("v1"))
	v.Era(start.Add(1), 3)
	assert.Equal(t, v.History(start.Add(time.Second), time.Time{}).Known, time.Second)
}

// Guards against origins that aren't stored while two versions may have begun streams.
func TestSeveralVersionsOfTheHorizon(t *testing.T) {
	v := NewVersions()
	v.Listed(start, endpoints("v1"))
	assert.Assert(t, !v.Several(start, "s", Retention))
	v.Seen(start, Origin{"s", "v2"})
	assert.Assert(t, v.Several(start, "s", Retention), "an entry that the next list lacks")
	v.Listed(start.Add(time.Second), endpoints("v1", "v2"))
	v.Listed(start.Add(2*time.Second), endpoints("v2"))
	assert.Assert(t, v.Several(start.Add(2*time.Second+Retention), "s", Retention), "the old version has left")
	assert.Assert(t, !v.Several(start.Add(3*time.Second+Retention), "s", Retention))
	assert.Assert(t, !v.Several(start, "t", Retention), "another service")
}
