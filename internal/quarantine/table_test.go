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

// crash is the end of endpoint n at a time under requests sent 50 ms before.
func crash(n int, seconds float64, requests ...int) Crash {
	c := Crash{Endpoint: incarnation(n), At: at(seconds)}
	for _, r := range requests {
		c.AddSuspect(Suspect{Request: key(r), Sent: at(seconds - 0.05)})
	}
	return c
}

func held(t *Table, now float64, request int) bool {
	return t.Held(at(now), func() Key { return key(request) }) > 0
}

// A request ends one endpoint after the other, at times while others run there.
// It is held after the third; the others, of which each was there once or twice,
// aren't.
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

// Its caller sends it again at once, so that the ends are some ten milliseconds
// apart.
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

// An innocent request is repeated each time beside the one that ends the
// endpoints. They can't be told apart and neither is held, until one of them
// comes alone.
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

// Endpoints are killed together, three times in a row, and a request was repeated
// each time onto one of them.
func TestRequestOnEndpointsKilledTogetherIsNotHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 5 {
		now := float64(i)
		table.Add(at(now), crash(10*i, now, 7), crash(10*i+1, now+0.01), crash(10*i+2, now+0.1, 8+i))
	}
	assert.Equal(t, table.HeldCount(), 0)
}

// Many callers send the same request, so that each endpoint that is killed has
// it.
func TestCommonRequestIsNotHeldAfterOneCorrelatedFailure(t *testing.T) {
	table := NewTable(1)
	for i := range 6 {
		table.Add(at(1), crash(i, 1+0.02*float64(i), 7))
	}
	assert.Equal(t, table.HeldCount(), 0)
}

// The endpoints had said that they leave; the word comes after their end.
func TestExitsOfLeavingEndpointsDoNotCount(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), crash(i, now, 7))
	}
	assert.Assert(t, held(table, 3, 7))
	change := table.Void(at(3), incarnation(1), at(1))
	assert.DeepEqual(t, change.Released, []Key{key(7)})
	table.Add(at(3), crash(1, 1, 7)) // told again by who hasn't heard the word
	assert.Assert(t, !held(table, 3, 7))
}

// Connections to an endpoint are refused to some daemons that are cut off from
// it; another one gets answers.
func TestRespondingEndpointHasNotCrashed(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), crash(i, now, 7))
		table.Ran(at(now+0.3), at(now+0.1), incarnation(i), func() Key { return key(99) })
	}
	assert.Equal(t, table.HeldCount(), 0)
}

// An answer that was on its way when the endpoint ended proves nothing, nor does
// one of an endpoint that has started again since.
func TestStaleResponseDoesNotVoidCrash(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), crash(i, now, 0))
		table.Ran(at(now+0.01), at(now-0.1), incarnation(i), func() Key { return key(99) })
		table.Ran(at(now+4), at(now+3.9), incarnation(i), func() Key { return key(99) })
	}
	assert.Assert(t, held(table, 3, 0))
}

// A request ran beside the cause twice, was run to its first piece, and is under a
// third crash later.
func TestRequestThatRanIsCleared(t *testing.T) {
	table := NewTable(1)
	table.Add(at(1), crash(1, 1, 7))
	table.Add(at(2), crash(2, 2, 7))
	table.Ran(at(2.5), at(2.4), incarnation(9), func() Key { return key(7) })
	table.Add(at(3), crash(3, 3, 7))
	assert.Assert(t, !held(table, 3, 7))
}

// A request is held and goes on coming. It is let through again when the first of
// its crashes is forgotten, and held again after one more.
func TestHeldRequestIsReleasedAfterRetention(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		table.Add(at(float64(i)), crash(i, float64(i), 0))
	}
	left := table.Held(at(3), func() Key { return key(0) })
	assert.Equal(t, left, retention-3*time.Second)
	later := retention.Seconds()
	table.Tick(at(later))
	assert.Assert(t, !held(table, later, 0))
	table.Add(at(later), crash(4, later, 0))
	assert.Assert(t, held(table, later, 0))
}

// A flood of requests that each crash endpoints. What is remembered is bounded,
// and the newest are held.
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

// What two daemons tell each other ends in the same state, whatever is told twice
// or late, and nothing is told for ever.
func TestTablesConverge(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	a.Add(at(1), crash(1, 1, 0, 7), crash(2, 2, 0))
	b.Add(at(1), crash(1, 1, 0, 8), crash(3, 3, 0))
	b.Ran(at(3), at(2.9), incarnation(9), func() Key { return key(8) })
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

// The whole fleet is killed. Who starts again holds what is kept in the store.
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

// A daemon whose clock is off tells of a crash in an hour.
func TestCrashesWithImplausibleTimesAreIgnored(t *testing.T) {
	table := NewTable(1)
	table.Add(at(0), crash(1, 3600, 0), crash(2, -3600, 0))
	assert.Equal(t, table.CrashCount(), 0)
}

// An endpoint ends three times under a request, and when it started is not told:
// its ends are apart in time alone.
func TestCrashesOfOneIncarnationAreSeparatedByTime(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := 5 * float64(i)
		table.Add(at(now), crash(1, now, 0))
		table.Add(at(now), crash(1, now+0.2, 0)) // as another daemon saw it
	}
	assert.Equal(t, table.CrashCount(), 3)
	assert.Assert(t, held(table, 11, 0))
}

// The same body of another workspace, to another target or by another method is
// another request.
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

// What a request costs while nothing is held, and while requests are.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{0, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := fullTable(n)
			body := make([]byte, 2000)
			now := at(1)
			b.ReportAllocs()
			for b.Loop() {
				table.Held(now, func() Key { return KeyOf("w", "POST", "/x", body) })
			}
		})
	}
}

// What one more crash costs where all that is remembered says something.
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

// The same crash is told back and forth between daemons whose clocks are compared
// anew each time. What it differs by then must not count as news, or it is told
// for as long as it is remembered.
func TestSmallTimeDifferencesAreNotChanges(t *testing.T) {
	table := NewTable(1)
	table.Add(at(1), crash(1, 1, 0))
	before := table.Position()
	again := crash(1, 1, 0)
	again.Shift(-900 * time.Microsecond)
	table.Add(at(1), again)
	assert.Equal(t, table.Position(), before)
	again.Shift(-20 * time.Millisecond) // another daemon saw it earlier
	table.Add(at(1), again)
	assert.Assert(t, table.Position() != before)
}
