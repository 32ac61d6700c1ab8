package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var withRoles = Config{FleetSize: 340, LedgerShards: 4, LeaseShards: simLeases}

func newWriter(r Roles) *Budget {
	b := New(withRoles, start, rand.New(rand.NewPCG(1, 2)))
	r.Daemons = withRoles.FleetSize
	b.SetRoles(start, r)
	return b
}

// admitted counts the calls that an endless caller may make in some time.
func admitted(b *Budget, from time.Time, d time.Duration, c Class, k Kind) (n int) {
	for now := next(b, from, c, k); now.Before(from.Add(d)); now = next(b, now, c, k) {
		n++
	}
	return n
}

// Guards against writers and lease holders that exceed the rates, or lack their part, after a restart.
func TestRestartWithRolesStaysWithinTheRates(t *testing.T) {
	for _, n := range []int{9, 34, 340} {
		w := newSim(standby(0.6), n, 4)
		fleet := make([]*Budget, n)
		var intents agenda
		for i, d := range w.daemons {
			fleet[i] = d.budgets[Intent]
			if d == w.ranked(0, 0) {
				intents = append(intents, &caller{budget: fleet[i], class: Intent, kind: ObjectWrite, at: start})
			}
		}
		s := &store{took: 3 * time.Millisecond}
		s.run(greedy(fleet, start), start.Add(12*time.Second))
		writes := s.peak(ObjectWrite, start)
		t.Logf("%d daemons: at most %d reads and %d writes in a second", n, s.peak(ObjectRead, start), writes)
		assert.Assert(t, writes <= DefaultObjectWrites, "%d writes", writes)
		assert.Assert(t, s.peak(ObjectRead, start) <= DefaultObjectReads)
		before := len(s.allowed[ObjectWrite])
		s.run(intents, start.Add(22*time.Second))
		assert.Assert(t, len(s.allowed[ObjectWrite])-before >= 250, "a writer made %d writes in 10 s", len(s.allowed[ObjectWrite])-before)
	}
}

// Guards against 340 daemons that each write their own orders where writers can combine them.
func TestIntentsOfOneInstantGoTogether(t *testing.T) {
	s := newSim(standby(0.6), 340, 4)
	s.run(time.Minute)
	for _, d := range s.daemons {
		s.order(d)
	}
	s.run(4 * time.Second)
	t.Logf("%d writes in the first second", s.peak())
	assert.Equal(t, len(s.added), 340)
	assert.Equal(t, s.refused, 0)
	assert.Assert(t, s.peak() <= 40, "%d writes", s.peak())
}

// Guards against a wave of writes by all daemons where no writer can be reached.
func TestIntentsAwayFromTheirWritersAreSpread(t *testing.T) {
	var a agenda
	wave := start.Add(time.Minute)
	for i := range 340 {
		b := New(withRoles, start, rand.New(rand.NewPCG(7, uint64(i))))
		a = append(a, &caller{budget: b, class: Intent, kind: ObjectWrite, at: wave})
	}
	s := &store{}
	s.run(a, wave.Add(10*time.Second))
	t.Logf("at most %d writes in a second", s.peak(ObjectWrite, wave))
	assert.Assert(t, s.peak(ObjectWrite, wave) <= 340, "%d writes", s.peak(ObjectWrite, wave))
}

// Guards against a new writer that inherits what the old one may have used.
func TestPartGoesWithTheRole(t *testing.T) {
	b := newWriter(Roles{})
	later := start.Add(time.Minute)
	assert.Assert(t, admitted(b, later, 10*time.Second, Intent, ObjectWrite) <= 5)

	later = later.Add(time.Minute)
	b.SetRoles(later, Roles{LedgerShards: 1, Daemons: 340})
	assert.Assert(t, admitted(b, later, 20*time.Millisecond, Intent, ObjectWrite) <= 1, "saved up before the role")
	assert.Assert(t, admitted(b, later.Add(time.Second), 10*time.Second, Intent, ObjectWrite) >= 350)

	later = later.Add(time.Minute)
	b.SetRoles(later, Roles{Daemons: 340})
	assert.Assert(t, admitted(b, later, 10*time.Second, Intent, ObjectWrite) <= 5)
}

// Guards against partitioned regions whose writers use more than one part together.
func TestPartsOfASplitFleetComeToOne(t *testing.T) {
	together := 0
	for range 3 {
		b := newWriter(Roles{})
		b.SetRoles(start, Roles{LedgerShards: 4, Daemons: 340 / 3})
		together += admitted(b, start.Add(time.Minute), 10*time.Second, Intent, ObjectWrite)
	}
	whole := newWriter(Roles{LedgerShards: 4})
	one := admitted(whole, start.Add(time.Minute), 10*time.Second, Intent, ObjectWrite)
	t.Logf("%d writes in 10 s on three sides, %d on one", together, one)
	assert.Assert(t, together <= one+one/10)
}

// Guards against leases that are lost since a daemon's share is too small for its eight renewals.
func TestHolderOfManyLeasesRenewsThem(t *testing.T) {
	b := newWriter(Roles{LeaseShards: 8})
	worst := time.Duration(0)
	renewal := start.Add(time.Minute)
	for now := renewal; now.Before(start.Add(3 * time.Minute)); now = now.Add(time.Millisecond) {
		b.Admit(now, Configuration, ObjectWrite)
		b.Admit(now, Status, ObjectWrite)
		if now.After(renewal) && b.Admit(now, Lease, ObjectWrite).Action == Allowed {
			worst = max(worst, now.Sub(renewal))
			renewal = renewal.Add(simRenew / 8)
		}
	}
	t.Logf("a renewal waits %s at most", worst)
	assert.Assert(t, worst <= 10*time.Millisecond)
}

// Guards against a writer that conflicts each time, since it waits for a token after a conflict.
func TestLostIntentGoesAgainAtOnce(t *testing.T) {
	b := newWriter(Roles{LedgerShards: 1})
	now := start.Add(time.Minute)
	for b.Admit(now, Intent, ObjectWrite).Action == Allowed {
		b.Report(now, ObjectWrite, Outcome{Result: Answered})
	}
	now = next(b, now, Intent, ObjectWrite)
	b.Report(now, ObjectWrite, Outcome{Result: Lost})
	assert.Equal(t, b.Admit(now, Intent, ObjectWrite).Action, Allowed)
	b.Report(now, ObjectWrite, Outcome{Result: Lost})
	assert.Equal(t, b.Admit(now, Intent, ObjectWrite).Action, WaitUntil, "on credit twice")
}

// Guards against orders that are refused until all daemons know that their shard's writer is gone.
func TestOrdersOfADeadWriterAreTakenByItsStandby(t *testing.T) {
	s := play("writer-dies", standby(0.6))
	assert.Assert(t, len(s.added) > 2000)
	assert.Equal(t, s.refused, 0)
	assert.Assert(t, s.peak() <= DefaultObjectWrites, "%d writes", s.peak())
}

// Guards against writers in partitioned regions of which only one makes progress.
func TestSplitFleetTakesOrdersOnAllSides(t *testing.T) {
	s := play("three-regions-apart", standby(0.6))
	assert.Assert(t, len(s.added) > 2000)
	assert.Assert(t, s.refused <= len(s.added)/1000, "%d refused", s.refused)
	assert.Assert(t, s.peak() <= DefaultObjectWrites, "%d writes", s.peak())
}

// play runs a scene for six seconds of 500 orders a second.
func play(name string, w way) *sim {
	s := newSim(w, 340, 4)
	s.run(20 * time.Second)
	for _, sc := range scenes {
		if sc.name == name {
			sc.play(s)
		}
	}
	s.orders(500, 6*time.Second)
	s.run(10 * time.Second)
	return s
}

// Guards against more writes in any period than the greatest rates and savings allow.
func TestRolesNeverExceedTheirParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(withRoles, start, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		now, allowed := start, 0
		rate, saved := 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				b.SetRoles(now, Roles{
					LedgerShards: rapid.IntRange(0, 4).Draw(t, "ledger"),
					LeaseShards:  rapid.IntRange(0, simLeases).Draw(t, "leases"),
					Daemons:      rapid.IntRange(0, 340).Draw(t, "daemons"),
				})
			}
			l := &b.lanes[ObjectWrite]
			rate = max(rate, l.bucket.rate+l.parts[ledgerWriter].rate+l.parts[leaseHolder].rate)
			saved = max(saved, l.bucket.capacity+l.parts[ledgerWriter].capacity+l.parts[leaseHolder].capacity)
			d := b.Admit(now, Class(rapid.IntRange(0, int(Lease)).Draw(t, "class")), ObjectWrite)
			if d.Action == Allowed {
				allowed++
				b.Report(now, ObjectWrite, Outcome{Result: Result(rapid.IntRange(0, int(Lost)).Draw(t, "result"))})
				continue
			}
			assert.Assert(t, d.At.After(now), "asked to come back at once")
		}
		assert.Assert(t, float64(allowed) <= saved+rate*now.Sub(start).Seconds()+2)
	})
}

// Guards against a part that is reserved in a small fleet, where a share carries a writer.
func TestSmallFleetKeepsItsShares(t *testing.T) {
	small := withRoles
	small.FleetSize = 9
	b := New(small, start, rand.New(rand.NewPCG(1, 2)))
	assert.Assert(t, admitted(b, start.Add(time.Minute), 10*time.Second, Configuration, ObjectWrite) >= 150)
}

// Guards against an operator's change that waits for a period of a small share, 4 s at 340 daemons.
func TestChangeAfterQuietGoesSoon(t *testing.T) {
	for seed := range uint64(50) {
		b := New(withRoles, start, rand.New(rand.NewPCG(seed, 2)))
		now := start.Add(time.Minute)
		wait := next(b, now, Configuration, ObjectWrite).Sub(now)
		assert.Assert(t, wait <= longestSpread, "waits %s", wait)
	}
}

// Guards against a daemon that uses a seventh of the rates since it started with seven seeds.
func TestShareFollowsWhoIsSeen(t *testing.T) {
	b := New(Config{FleetSize: 7}, start, rand.New(rand.NewPCG(1, 2)))
	b.SetRoles(start, Roles{Daemons: 340})
	assert.Assert(t, admitted(b, start.Add(time.Minute), 10*time.Second, Lease, ObjectWrite) <= 11)
}
