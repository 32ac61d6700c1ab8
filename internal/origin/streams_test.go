package origin

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a record that is used although its store came back from an older copy, its time
// is far off, or it is damaged, and against one that is refused for a clock that is slightly off.
func TestStoredOriginsAreChecked(t *testing.T) {
	all := []StreamOrigin{{Key: 1, Origin: Origin{"s", "v1"}}, {Key: 2, Unknown: true}}
	for _, test := range []struct {
		name   string
		change func(s *Streams)
		now    time.Duration
		era    uint64
		ok     bool
	}{
		{name: "just written", ok: true},
		{name: "a reader's clock a minute behind", now: -time.Minute, ok: true},
		{name: "a reader's clock a minute ahead", now: time.Minute, ok: true},
		{name: "a reader's clock far behind", now: -maxHorizon - time.Second},
		{name: "old", now: maxHorizon + time.Second},
		{name: "another era", era: 1},
		{name: "no time", change: func(s *Streams) { s.At = time.Time{} }},
		{name: "a key cut short", change: func(s *Streams) { s.Begun[0].Keys = s.Begun[0].Keys[1:] }},
		{name: "a revoked key cut short", change: func(s *Streams) { s.Unknown = s.Unknown[1:] }},
		{name: "no service", change: func(s *Streams) { s.Begun[0].Service = "" }},
		{name: "too many", change: func(s *Streams) { s.Unknown = make([]byte, maxStored*keyBytes+keyBytes) }},
	} {
		s := NewStreams(start, 0, all)
		if test.change != nil {
			test.change(s)
		}
		err := s.Check(start.Add(test.now), test.era)
		assert.Equal(t, err == nil, test.ok, "%s: %v", test.name, err)
	}
	assert.Assert(t, errors.Is(NewStreams(start, 0, all).Check(start.Add(-time.Hour), 0), ErrLater))
}

// Guards against origins that change by being stored, and against a record beyond the size of the
// store's values, or from which revocations are left out.
func TestNewestOriginsAndAllRevocationsAreStored(t *testing.T) {
	var all []StreamOrigin
	for i := range maxStored + 100 {
		all = append(all, StreamOrigin{Key: Key(i), Origin: Origin{"s", []string{"v1", "v2"}[i%2]}})
	}
	all = append(all, StreamOrigin{Key: 1 << 60, Unknown: true})
	text, err := json.Marshal(NewStreams(start, 3, all))
	assert.NilError(t, err)
	t.Logf("%d bytes for %d streams", len(text), maxStored)
	assert.Assert(t, len(text) < 1<<17, "%d bytes", len(text))
	s := &Streams{}
	assert.NilError(t, json.Unmarshal(text, s))
	assert.NilError(t, s.Check(start, 3))
	assert.Equal(t, s.Len(), maxStored)
	got := map[Key]StreamOrigin{}
	for _, o := range s.All() {
		got[o.Key] = o
	}
	assert.Assert(t, got[1<<60].Unknown)
	for i, o := range all[:maxStored-1] {
		o.Restored = true
		assert.Equal(t, got[Key(i)], o)
	}
}

// Guards against writes without need or change, more than the fleet's share, and a failed write that
// isn't repeated.
func TestOriginsAreStoredWhereNeeded(t *testing.T) {
	var s Schedule
	m := Moment{Needed: true, Daemons: 986, Stored: Stored{Changes: 1}}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	assert.Assert(t, !s.Begin(at(0), Moment{Stored: Stored{Changes: 1}}), "one version")
	assert.Assert(t, !s.Begin(at(0), Moment{Needed: true}), "no streams")
	assert.Assert(t, s.Begin(at(0), m))
	assert.Assert(t, !s.Begin(at(2000), m), "a write is in progress")
	assert.Assert(t, s.End(m, false), "not logged")
	assert.Assert(t, !s.Begin(at(1900), m), "the write failed a moment ago")
	assert.Assert(t, s.Begin(at(2000), m), "the write failed")
	assert.Assert(t, !s.End(m, false), "logged twice")
	s.Begin(at(5000), m)
	s.End(m, false)
	assert.Assert(t, s.Begin(at(8000), m), "the store is back")
	s.End(m, true)
	assert.Assert(t, !s.Begin(at(10000), m), "nothing has changed")
	m.Changes++
	assert.Assert(t, s.Begin(at(10000), m))
	s.End(m, true)
	m.Changes++
	assert.Assert(t, !s.Begin(at(10400), m), "within half a second")
	assert.Assert(t, s.Begin(at(10500), m))
	s.End(m, true)
	m.Era++
	assert.Assert(t, s.Begin(at(12000), m), "the store came back from an older copy")
}

// Guards against a restored origin that hides a revocation at another daemon.
func TestRestoredOriginIsSettledByAnother(t *testing.T) {
	table, o := NewTable(), Origin{"s", "v1"}
	table.PutRestored(start, 1, o, true)
	got, known := table.Get(start, 1)
	assert.Assert(t, known && got == o && !table.Settled(1))
	table.PutRestored(start, 1, o, false)
	assert.Assert(t, !table.Settled(1), "restored at two daemons")
	table.Put(start, 1, o)
	assert.Assert(t, table.Settled(1))
	table.PutRestored(start, 1, o, false)
	assert.Assert(t, table.Settled(1), "a copy that was restored later")
	table.Revoke(start, 1)
	table.PutRestored(start, 1, o, true)
	_, known = table.Get(start, 1)
	assert.Assert(t, !known && table.Contradicted(1))
	assert.Equal(t, len(table.Own(start)), 1)
	assert.Assert(t, table.Own(start)[0].Unknown)
}

// Guards against writers on which daemons disagree, and against more than the store's rate allows.
func TestWritersOfALargeFleet(t *testing.T) {
	for _, n := range []int{1, Writers, Writers + 1, 986} {
		p := newStorePlay(n, 0)
		writers := map[string]bool{}
		for _, d := range p.daemons {
			if _, self := d.homes.Writer(); self {
				writers[d.name] = true
			}
		}
		assert.Equal(t, len(writers), min(n, Writers))
		load := map[string]int{}
		for _, d := range p.daemons {
			if address, self := d.homes.Writer(); !self {
				assert.Assert(t, writers[address])
				load[address]++
				assert.Assert(t, load[address] < 40, "%d daemons at one writer", load[address])
			}
		}
	}
}

// Guards against records that grow with streams that have ended.
func TestEndedStreamsAreNotStored(t *testing.T) {
	table, o := NewTable(), Origin{"s", "v1"}
	for k := range Key(3) {
		table.PutOwn(start, k, o)
	}
	table.RevokeOwn(start, 1)
	table.Ended(start, 0)
	table.Ended(start, 1)
	assert.Equal(t, len(table.Own(start.Add(endedRetention))), 3)
	own := table.Own(start.Add(endedRetention + 1))
	assert.Equal(t, len(own), 2)
	for _, s := range own {
		assert.Assert(t, s.Key != 0)
	}
	_, known := table.Get(start.Add(endedRetention+1), 0)
	assert.Assert(t, known)
	table.PutOwn(start.Add(time.Second), 0, o) // taken up again
	assert.Equal(t, len(table.Own(start.Add(endedRetention+1))), 3)
}
