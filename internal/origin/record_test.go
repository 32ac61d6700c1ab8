package origin

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

const contact = 3 * time.Second

// record is one that was written a second before start, up to revision 100 of era 4.
func record(seen ...Gone) Record {
	return Record{At: start.Add(-time.Second), Revision: objects.RevisionIn(4, 100), Routes: 7, Config: ConfigRecord{objects.RevisionIn(4, 90), 3}, Known: maxHorizon, Seen: seen}
}

func reader() *Reader {
	return &Reader{FleetTime: start, Listed: objects.RevisionIn(4, 110), Routes: 7, Config: 3, Contact: contact}
}

// changesUpTo returns changes of entries alone that reach a reader's first list.
func changesUpTo(by *Reader, entries ...Change) *Changes {
	return &Changes{Entries: entries, EntriesUpTo: by.Listed, ConfigsUpTo: by.Listed}
}

func seen(version string, ago time.Duration) Gone { return Gone{Origin{"s", version}, ago} }

// restore returns the only version at a daemon that lists endpoints of some versions, reads a
// record and the changes since, and is asked some time after.
func restore(t *testing.T, r Record, by *Reader, changes []Change, after, horizon time.Duration, listed ...string) string {
	t.Helper()
	v := NewVersions()
	v.Listed(start, endpoints(listed...))
	got, err := r.Conclude(by, changesUpTo(by, changes...))
	assert.NilError(t, err)
	v.Merge(start, got.History)
	return v.only(after, horizon)
}

// Guards against streams that wait, though the record shows that one version alone has served.
func TestRecordOfOneVersionIsUsedAtOnce(t *testing.T) {
	assert.Equal(t, restore(t, record(seen("v1", 0)), reader(), nil, 0, Retention, "v1"), "v1")
	assert.Equal(t, restore(t, record(seen("v1", 0)), reader(), nil, 0, maxHorizon, "v1"), "v1")
	r := record(seen("v1", 0))
	got, err := r.Conclude(reader(), changesUpTo(reader()))
	assert.NilError(t, err)
	assert.Assert(t, got.Settled)
}

// Guards against a version that served before the kill or during it and that is left out.
func TestVersionsOfRecordAndChangesCountForTheHorizon(t *testing.T) {
	v2 := Change{Origin: Origin{"s", "v2"}}
	deleted := Change{Origin: Origin{"s", "v2"}, Deleted: true}
	for _, test := range []struct {
		name    string
		seen    []Gone
		changes []Change
		listed  []string
	}{
		{"removed before the record", []Gone{seen("v1", 0), seen("v2", 5*time.Second)}, nil, []string{"v1"}},
		{"removed since the record, the deletion alone in the history", []Gone{seen("v1", 0), seen("v2", 0)}, []Change{{Deleted: true, Unreadable: true}}, []string{"v1"}},
		{"a release since the record", []Gone{seen("v1", 0)}, []Change{v2}, []string{"v1", "v2"}},
		{"a release that has replaced all", []Gone{seen("v1", 0)}, []Change{v2}, []string{"v2"}},
		{"an endpoint that started at another version and changed back", []Gone{seen("v1", 0)}, []Change{v2, {Origin: Origin{"s", "v1"}}}, []string{"v1"}},
		{"registered and removed since the record", []Gone{seen("v1", 0)}, []Change{v2, deleted}, []string{"v1"}},
		{"two from the start", []Gone{seen("v1", 0), seen("v2", 0)}, nil, []string{"v1", "v2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, restore(t, record(test.seen...), reader(), test.changes, 0, Retention, test.listed...), "")
		})
	}
	gone := record(seen("v1", 0), seen("v2", 5*time.Second))
	assert.Equal(t, restore(t, gone, reader(), nil, 15*time.Second, Retention, "v1"), "")
	assert.Equal(t, restore(t, gone, reader(), nil, 15*time.Second+1, Retention, "v1"), "v1")
}

// Guards against a service's version that is guessed where the service had no entries.
func TestServiceWithoutEntries(t *testing.T) {
	assert.Equal(t, restore(t, record(), reader(), nil, 0, Retention), "")
	other := Gone{Origin{"other", "v1"}, 0}
	assert.Equal(t, restore(t, record(other), reader(), nil, 0, Retention), "")
	assert.Equal(t, restore(t, record(seen("v1", time.Second)), reader(), nil, 0, Retention), "v1")
}

// Guards against a reach that counts the time since the record, by a clock that may be wrong.
func TestReachAndAgesDependOnNoClock(t *testing.T) {
	r := record(seen("v1", 0), seen("v2", Retention-time.Second))
	r.Known = 2 * Retention
	for _, age := range []time.Duration{0, time.Second, time.Minute} {
		r.At = start.Add(-age)
		assert.Equal(t, restore(t, r, reader(), nil, 0, Retention, "v1"), "")
		assert.Equal(t, restore(t, r, reader(), nil, time.Second+1, Retention, "v1"), "v1")
		assert.Equal(t, restore(t, r, reader(), nil, Retention-1, 3*Retention, "v1"), "")
	}
}

// Guards against endpoints that started in an outage of the store and aren't listed yet.
func TestOldRecordSettlesNothing(t *testing.T) {
	r := record(seen("v1", 0))
	r.At = start.Add(-contact - 1)
	got, err := r.Conclude(reader(), changesUpTo(reader()))
	assert.NilError(t, err)
	assert.Assert(t, !got.Settled)
}

// Guards against a version concluded from a record that is invalid or may lack versions.
func TestRecordIsRefused(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(r *Record, by *Reader)
		changes []Change
		upTo    uint64
		configs []ConfigChange
		// configsUpTo is the list's revision if it is 0.
		configsUpTo uint64
		want        string
	}{
		{name: "of another era", change: func(r *Record, _ *Reader) { r.Revision = objects.RevisionIn(3, 100) }, want: "era 3"},
		{name: "of an era that has ended", change: func(_ *Record, by *Reader) { by.Listed = objects.RevisionIn(5, 110) }, want: "era 5"},
		{name: "changes of another era", upTo: objects.RevisionIn(5, 120), want: "changes"},
		{name: "changes that end before the list", upTo: objects.RevisionIn(4, 109), want: "changes"},
		{name: "changes that end before the record", change: func(r *Record, _ *Reader) { r.Revision = objects.RevisionIn(4, 200) }, want: "changes"},
		{name: "later than the fleet's time", change: func(r *Record, _ *Reader) { r.At = start.Add(1) }, want: "later"},
		{name: "older than the longest horizon", change: func(r *Record, _ *Reader) { r.At = start.Add(-maxHorizon - 1) }, want: "old"},
		{name: "other services of the routes", change: func(_ *Record, by *Reader) { by.Routes++ }, want: "routes"},
		{name: "an entry that can't be decoded", changes: []Change{{Unreadable: true}}, want: "decoded"},
		{name: "a route that moved to another service and back", configs: []ConfigChange{{Version: 4, Routes: 8}, {Version: 5, Routes: 7}}, want: "version 4"},
		{name: "a configuration that can't be decoded", configs: []ConfigChange{{Unreadable: true}}, want: "decoded"},
		{name: "configurations that end before the list", configsUpTo: objects.RevisionIn(4, 109), want: "configuration"},
		{name: "configurations of another era", configsUpTo: objects.RevisionIn(5, 120), want: "configuration"},
		{name: "configurations that end before the reader's first", change: func(_ *Record, by *Reader) { by.Config = 5 }, configs: []ConfigChange{{Version: 4, Routes: 7}}, want: "version 5"},
		{name: "a configuration of another era", change: func(r *Record, _ *Reader) { r.Config.Revision = objects.RevisionIn(3, 90) }, want: "era 3"},
		{name: "an earlier release's record, without the configuration's revision", change: func(r *Record, _ *Reader) { r.Config = ConfigRecord{} }, want: "revision"},
		{name: "no list", change: func(_ *Record, by *Reader) { by.Listed = 0 }, want: "list"},
		{name: "no revision", change: func(r *Record, _ *Reader) { r.Revision = 0 }, want: "invalid"},
		{name: "no time", change: func(r *Record, _ *Reader) { r.At = time.Time{} }, want: "invalid"},
		{name: "no reach", change: func(r *Record, _ *Reader) { r.Known = 0 }, want: "invalid"},
		{name: "a reach that no writer has", change: func(r *Record, _ *Reader) { r.Known = maxHorizon + 1 }, want: "invalid"},
		{name: "an age below 0", change: func(r *Record, _ *Reader) { r.Seen[0].Ago = -1 }, want: "invalid"},
		{name: "a version of no service", change: func(r *Record, _ *Reader) { r.Seen[0].Service = "" }, want: "invalid"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, by := record(seen("v1", 0)), reader()
			if test.change != nil {
				test.change(&r, by)
			}
			if test.upTo == 0 {
				test.upTo = by.Listed
			}
			since := changesUpTo(by, test.changes...)
			since.EntriesUpTo, since.Configs = test.upTo, test.configs
			if test.configsUpTo != 0 {
				since.ConfigsUpTo = test.configsUpTo
			}
			got, err := r.Conclude(by, since)
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, got.Known, time.Duration(0))
		})
	}
}

// Guards against a record that is refused for configurations that leave the routes' services as
// they were.
func TestRecordIsUsedAfterOtherChangesOfTheConfiguration(t *testing.T) {
	r, by := record(seen("v1", 0)), reader()
	by.Config = 5
	since := changesUpTo(by)
	since.Configs = []ConfigChange{{Version: 4, Routes: 7}, {Version: 5, Routes: 7}, {Version: 6, Routes: 7}}
	got, err := r.Conclude(by, since)
	assert.NilError(t, err)
	assert.Equal(t, got.Known, r.Known)
}

// Guards against a record of nothing that replaces the knowledge of an earlier one.
func TestNoRecordWithoutAHistoryOrARevision(t *testing.T) {
	_, ok := NewRecord(History{}, start, 5, 7, ConfigRecord{5, 1})
	assert.Assert(t, !ok)
	_, ok = NewRecord(History{Known: time.Second}, start, 0, 7, ConfigRecord{5, 1})
	assert.Assert(t, !ok)
	_, ok = NewRecord(History{Known: time.Second}, start, 5, 7, ConfigRecord{})
	assert.Assert(t, !ok)
	_, ok = NewRecord(History{Known: time.Second}, start, 5, 7, ConfigRecord{5, 1})
	assert.Assert(t, ok)
}

// Guards against a field that is lost in the store, so that a version isn't counted.
func TestRecordIsStoredWhole(t *testing.T) {
	r := record(seen("v1", 0), seen("v2", time.Second))
	text, err := json.Marshal(r)
	assert.NilError(t, err)
	var got Record
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.DeepEqual(t, got, r)
}
