package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)).Round(time.Millisecond))
}

func key(n int) Key { return KeyOf("w", "POST", "/x", fmt.Append(nil, n)) }

func incarnation(n int) Incarnation { return IncarnationOf("e", time.UnixMilli(int64(n))) }

// crash returns a crash of endpoint n with suspects that were sent 50 ms before.
func crash(n int, seconds float64, requests ...int) Crash {
	c := Crash{Endpoint: incarnation(n), At: at(seconds)}
	for _, r := range requests {
		c.AddSuspect(Suspect{Request: key(r), Sent: at(seconds - 0.05)})
	}
	return c
}

func identity(request int) func() *Identity {
	return func() *Identity { return &Identity{Request: key(request)} }
}

func held(t *Table, now float64, request int) bool { return t.Held(at(now), identity(request)) > 0 }

// ran records that endpoint e has run a request that was sent to it at sent.
func ran(t *Table, now, sent float64, e, request int) {
	t.Responded(at(now), at(sent), incarnation(e))
	t.Ran(at(now), at(now), identity(request))
}

// A request crashes one endpoint after another, at times while other requests run
// there. It must be held after the third crash. The others, each present at one or
// two crashes, must not.
func TestRequestSuspectedInThreeCrashesIsHeld(t *testing.T) {
	table := NewTable(1)
	table.Add(at(1), crash(1, 1, 0, 7, 8))
	table.Add(at(2), crash(2, 2, 0, 7))
	assert.Assert(t, !held(table, 2, 0))
	change := table.Add(at(3), crash(3, 3, 9, 0))
	assert.DeepEqual(t, change.Held, []Key{key(0)})
	assert.Assert(t, held(table, 3, 0))
	for _, r := range []int{7, 8, 9} {
		assert.Assert(t, !held(table, 3, r), "%d", r)
	}
}

// The caller retries at once, so that the crashes are some ten milliseconds apart
// and look like ones with a common cause.
func TestImmediatelyRetriedRequestIsHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		end := 1 + 0.03*float64(i)
		c := Crash{Endpoint: incarnation(i), At: at(end)}
		c.AddSuspect(Suspect{Request: key(0), Sent: at(end - 0.02)})
		table.Add(at(end), c)
	}
	assert.Assert(t, held(table, 1.1, 0))
}

// A harmless request runs each time together with the one that crashes the
// endpoints. They can't be distinguished, so neither must be held until one of them
// is the only suspect of a crash.
func TestRequestsThatAlwaysRunTogetherAreNotHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 4 {
		table.Add(at(float64(i)), crash(i, float64(i), 0, 7))
	}
	assert.Assert(t, !held(table, 4, 0) && !held(table, 4, 7))
	table.Add(at(5), crash(5, 5, 0))
	assert.Assert(t, held(table, 5, 0))
	assert.Assert(t, !held(table, 5, 7))
}

// Endpoints are repeatedly killed together, and a harmless request is retried each
// time on one of them.
func TestRequestOnEndpointsKilledTogetherIsNotHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 5 {
		now := float64(i)
		table.Add(at(now), crash(10*i, now, 7), crash(10*i+1, now+0.01), crash(10*i+2, now+0.1, 8+i))
	}
	assert.Equal(t, table.HeldCount(), 0)
}

// Many callers send the same request, so that it runs on each of the endpoints that
// are killed together.
func TestCommonRequestIsNotHeldAfterOneCorrelatedFailure(t *testing.T) {
	table := NewTable(1)
	for i := range 6 {
		table.Add(at(1), crash(i, 1+0.02*float64(i), 7))
	}
	assert.Equal(t, table.HeldCount(), 0)
}

// Endpoints announce that they leave, and the announcement arrives after their
// exits. These must no longer count, even if another daemon reports them again.
func TestExitsOfLeavingEndpointsDoNotCount(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), crash(i, now, 7))
	}
	assert.Assert(t, held(table, 3, 7))
	change := table.Void(at(3), &Crash{Endpoint: incarnation(1), At: at(1)})
	assert.DeepEqual(t, change.Released, []Key{key(7)})
	table.Add(at(3), crash(1, 1, 7)) // from a daemon without the announcement
	assert.Assert(t, !held(table, 3, 7))
}

// A network failure makes some daemons report that an endpoint exited, while
// another daemon still gets responses from it.
func TestRespondingEndpointHasNotCrashed(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), crash(i, now, 7))
		ran(table, now+0.3, now+0.1, i, 99)
	}
	assert.Equal(t, table.HeldCount(), 0)
}

// A response to a request sent before the crash does not show that the endpoint is
// running, nor does a response after the endpoint had time to restart.
func TestStaleResponseDoesNotVoidCrash(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), crash(i, now, 0))
		ran(table, now+0.01, now-0.1, i, 99)
		ran(table, now+4, now+3.9, i, 99)
	}
	assert.Assert(t, held(table, 3, 0))
}

// A harmless request is a suspect of two crashes, then an endpoint starts to
// respond to it, and later it is present at a third crash.
func TestRequestThatRanIsCleared(t *testing.T) {
	table := NewTable(1)
	table.Add(at(1), crash(1, 1, 7))
	table.Add(at(2), crash(2, 2, 7))
	ran(table, 2.5, 2.4, 9, 7)
	table.Add(at(3), crash(3, 3, 7))
	assert.Assert(t, !held(table, 3, 7))
}

// A request is held and its caller keeps retrying. It must be released when the
// first of its crashes is past the retention, and held again after one more crash.
func TestHeldRequestIsReleasedAfterRetention(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		table.Add(at(float64(i)), crash(i, float64(i), 0))
	}
	left := table.Held(at(3), identity(0))
	assert.Equal(t, left, retention-3*time.Second)
	later := retention.Seconds()
	table.Tick(at(later))
	assert.Assert(t, !held(table, later, 0))
	table.Add(at(later), crash(4, later, 0))
	assert.Assert(t, held(table, later, 0))
}

// Many different requests crash endpoints. The table must stay bounded, in memory,
// on the wire and in the store, and hold the newest ones.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(1)
	now := 0.0
	for r := range 600 {
		for i := range 3 {
			now += 0.2
			table.Add(at(now), crash(3*r+i, now, r))
		}
	}
	assert.Assert(t, table.CrashCount() <= maxCrashes)
	assert.Assert(t, table.HeldCount() > maxCrashes/minCrashes-3, "%d", table.HeldCount())
	assert.Assert(t, held(table, now, 599) && !held(table, now, 0))
	batch, to := table.Since(Position{})
	assert.Equal(t, len(batch), maxBatch)
	assert.Assert(t, to.Seq < table.Position().Seq)
	kept, err := json.Marshal(table.Snapshot())
	assert.NilError(t, err)
	assert.Assert(t, len(kept) < 100_000, "%d", len(kept))
}

// Two daemons exchange their changes, some of them repeated or late. Both tables
// must reach the same state, and the exchange must come to an end.
func TestTablesConverge(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	a.Add(at(1), crash(1, 1, 0, 7), crash(2, 2, 0))
	b.Add(at(1), crash(1, 1, 0, 8), crash(3, 3, 0))
	ran(b, 3, 2.9, 9, 8)
	var fromA, fromB Position
	for range 3 {
		var batch []Crash
		batch, fromA = a.Since(fromA)
		b.Add(at(4), batch...)
		batch, fromB = b.Since(fromB)
		a.Add(at(4), batch...)
	}
	left, _ := a.Since(fromA)
	assert.Equal(t, len(left), 0)
	for _, table := range []*Table{a, b} {
		assert.Assert(t, held(table, 4, 0) && !held(table, 4, 7) && !held(table, 4, 8))
	}
}

// All daemons are killed. One that starts again must hold the same requests, based
// on the crashes in the store.
func TestStoredCrashesRestoreHolds(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		table.Add(at(float64(i)), crash(i, float64(i), 0, 7+i))
	}
	text, err := json.Marshal(table.Snapshot())
	assert.NilError(t, err)
	var kept []Crash
	assert.NilError(t, json.Unmarshal(text, &kept))
	fresh := NewTable(2)
	fresh.Add(at(9), kept...)
	assert.Assert(t, held(fresh, 9, 0))
	assert.Equal(t, fresh.HeldCount(), 1)
}

// A daemon with a wrong clock reports crashes an hour in the future or the past.
func TestCrashesWithImplausibleTimesAreIgnored(t *testing.T) {
	table := NewTable(1)
	table.Add(at(0), crash(1, 3600, 0), crash(2, -3600, 0))
	assert.Equal(t, table.CrashCount(), 0)
}

// An endpoint crashes three times, and its start times are not reported, so all
// crashes have the same incarnation. They must be distinguished by time, while
// two daemons' reports of the same crash must be merged.
func TestCrashesOfOneIncarnationAreSeparatedByTime(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := 5 * float64(i)
		table.Add(at(now), crash(1, now, 0))
		table.Add(at(now), crash(1, now+0.2, 0)) // another daemon's report
	}
	assert.Equal(t, table.CrashCount(), 3)
	assert.Assert(t, held(table, 11, 0))
}

// Requests that differ in workspace, method, target or body must have different
// keys, and a key's text must be parsed to the same key.
func TestKeysDifferAndRoundTrip(t *testing.T) {
	one := KeyOf("w", "POST", "/x", []byte("b"))
	for _, other := range []Key{
		KeyOf("v", "POST", "/x", []byte("b")), KeyOf("w", "PUT", "/x", []byte("b")),
		KeyOf("w", "POST", "/y", []byte("b")), KeyOf("w", "POST", "/x", []byte("c")),
	} {
		assert.Assert(t, one != other)
	}
	var read Key
	text, err := one.MarshalText()
	assert.NilError(t, err)
	assert.NilError(t, read.UnmarshalText(text))
	assert.Equal(t, read, one)
	assert.Assert(t, read.UnmarshalText([]byte("x")) != nil)
}

// BenchmarkHeld measures the cost of the check for each request, with and without
// held requests.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{0, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := fullTable(n)
			body := make([]byte, 2000)
			now := at(1)
			b.ReportAllocs()
			for b.Loop() {
				table.Held(now, func() *Identity { return &Identity{Request: KeyOf("w", "POST", "/x", body)} })
			}
		})
	}
}

// BenchmarkAdd measures the cost of one more crash in a table in which every crash
// has a suspect.
func BenchmarkAdd(b *testing.B) {
	table := fullTable(300)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		table.Add(at(200), crash(10_000+i, 200, i))
	}
}

func fullTable(requests int) *Table {
	table := NewTable(1)
	for r := range requests {
		for i := range 3 {
			now := 0.2 * float64(3*r+i)
			table.Add(at(now), crash(3*r+i, now, r))
		}
	}
	return table
}

// A crash is exchanged between daemons that estimate the offset of their clocks
// anew each time. The small differences must not count as changes, or the daemons
// would send it to each other until the end of its retention.
func TestSmallTimeDifferencesAreNotChanges(t *testing.T) {
	table := NewTable(1)
	table.Add(at(1), crash(1, 1, 0))
	before := table.Position()
	again := crash(1, 1, 0)
	again.Shift(-900 * time.Microsecond)
	table.Add(at(1), again)
	assert.Equal(t, table.Position(), before)
	again.Shift(-20 * time.Millisecond) // another daemon observed it earlier
	table.Add(at(1), again)
	assert.Assert(t, table.Position() != before)
}

// Daemons know different starts of an endpoint when it crashes, just after a restart. Their reports
// are of one crash; a crash after the next restart is another.
func TestCrashIsOneWhereDaemonsKnowDifferentStarts(t *testing.T) {
	table := NewTable(1)
	report := func(n int, seconds float64, request int) {
		c := crash(n, seconds, request)
		c.Hash = EndpointHash("e")
		table.Add(at(seconds), c)
	}
	report(1, 1, 0)
	report(2, 1.02, 7)
	assert.Equal(t, table.CrashCount(), 1)
	assert.Equal(t, len(table.crashes[0].Suspects), 2)
	report(2, 2.3, 0)
	assert.Equal(t, table.CrashCount(), 2)
}
