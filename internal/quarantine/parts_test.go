package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func part(n int) Key { return PartOf(PartScope("s", "route", "m"), uint64(n)) }

// prompt returns the identity of request n of a workspace, with parts in order.
func prompt(workspace, n int, parts ...int) *Identity {
	id := &Identity{Request: KeyOf(fleet.WorkspaceID(fmt.Sprint(workspace)), "POST", "/x", fmt.Append(nil, n)), Scope: part(0).Scope}
	for _, p := range parts {
		id.Parts = append(id.Parts, uint64(p))
	}
	return id
}

// under returns a crash of endpoint n with requests that were sent 50 ms before.
func under(n int, seconds float64, requests ...*Identity) Crash {
	c := Crash{Endpoint: incarnation(n), At: at(seconds)}
	for _, id := range requests {
		c.AddRequest(id, at(seconds-0.05))
	}
	return c
}

// crashUnder adds crashes under one request each, a second apart from a time on, numbered from first.
func crashUnder(t *Table, first int, from float64, n int, request func(i int) *Identity) {
	for i := range n {
		now := from + float64(i)
		t.Add(at(now), under(first+i, now, request(i)))
	}
}

func heldPrompt(t *Table, now float64, id *Identity) bool {
	t.Tick(at(now))
	return t.Held(at(now), func() *Identity { return id }) > 0
}

// wrote records that an endpoint wrote a whole response to a request after a time.
func wrote(t *Table, after float64, id *Identity) {
	t.Ran(at(after+0.5), at(after+0.1), func() *Identity { return id })
}

// Guards against requests that share one part, and crash endpoints unrecognised.
func TestPartLeftOverInThreeCrashesIsHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), under(i, now, prompt(1, 10+i, 1, 7), prompt(2, 50+i, 1, 20+i)))
		wrote(table, now, prompt(1, 90+i, 1, 8))
		assert.Equal(t, heldPrompt(table, now+0.6, prompt(1, 99, 1, 7)), i == 2)
	}
	assert.Assert(t, !heldPrompt(table, 3, prompt(1, 99, 1, 8)), "same caller and first part")
	assert.Assert(t, !heldPrompt(table, 3, prompt(1, 99, 1, 20)))
	assert.Assert(t, table.Held(at(3), func() *Identity { return prompt(1, 99, 1, 7) }) > retention-2*time.Second)
	assert.Equal(t, table.Evidence(part(7)).Crashes, 3)
	assert.Equal(t, table.Evidence(part(7)).Excluded, 1)
}

// Guards against a popular part that is held for three unrelated crashes within a second.
func TestPopularPartIsNotHeldBeforeEvidenceCanArrive(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := 0.3 * float64(i)
		table.Add(at(now), under(i, now, prompt(1, i, 1)))
	}
	assert.Assert(t, !heldPrompt(table, 1.7, prompt(1, 99, 1)))
	wrote(table, 1, prompt(2, 50, 1))
	assert.Assert(t, !heldPrompt(table, 3, prompt(1, 99, 1)))
}

// Guards against a part that is never held, since nothing else of its route is served.
func TestPartWithoutEvidenceIsHeldInTheEnd(t *testing.T) {
	for served, crashes := range map[int]int{0: minUnproven, popular: minUnprovenPopular} {
		table := NewTable(1)
		for range served {
			table.Served(part(1))
		}
		for i := range crashes {
			now := 0.4 * float64(i)
			assert.Assert(t, !heldPrompt(table, now, prompt(1, 99, 1)), "%d crashes", i)
			table.Add(at(now), under(i, now, prompt(1, i, 1)))
		}
		assert.Assert(t, heldPrompt(table, 0.4*float64(crashes)+0.5, prompt(1, 99, 1)))
	}
}

// All endpoints of a service are killed at the same moment, and down for seconds.
func TestEndpointsKilledTogetherAreNoEvidence(t *testing.T) {
	table := NewTable(1)
	for i := range 10 {
		table.Add(at(0.01*float64(i)), under(i, 0.01*float64(i), prompt(1, i, 1)))
	}
	assert.Assert(t, !heldPrompt(table, 9, prompt(1, 99, 1)))
}

// Guards against an innocent part that is held with the cause it came with.
func TestPartsThatComeTogetherAreToldApartByWhatHasOneOfThem(t *testing.T) {
	together := func() *Table {
		table := NewTable(1)
		crashUnder(table, 0, 0, 3, func(i int) *Identity { return prompt(1, i, 4, 1, 2) })
		wrote(table, 2, prompt(1, 30, 4))
		assert.Assert(t, heldPrompt(table, 3.1, prompt(1, 99, 1, 2)))
		assert.Assert(t, !heldPrompt(table, 3.1, prompt(1, 99, 1, 3)))
		assert.Assert(t, !heldPrompt(table, 3.1, prompt(1, 99, 5, 2)))
		return table
	}
	for innocent, guilty := range map[int]int{1: 2, 2: 1} {
		table := together()
		wrote(table, 4, prompt(1, 50, innocent, 7))
		assert.Assert(t, heldPrompt(table, 5, prompt(1, 99, guilty, 8)), "%d was served", innocent)
		assert.Assert(t, !heldPrompt(table, 5, prompt(1, 99, innocent, 8)), "%d was served", innocent)
	}
	table := together()
	crashUnder(table, 3, 4, minUnproven, func(i int) *Identity { return prompt(1, 40+i, 1, 20+i) })
	assert.Assert(t, heldPrompt(table, 10.1, prompt(1, 99, 1, 8)), "the first part alone crashes endpoints as well")
}

// Guards against parts of all prompts that are held while all endpoints are down.
func TestPopularPartsAreNotHeldWhileNothingIsServed(t *testing.T) {
	table := NewTable(1)
	for i := range 8 {
		now := 0.4 * float64(i)
		table.Add(at(now), under(i, now, prompt(1, i, 1, 7, 2), prompt(1, 50+i, 1, 2)))
	}
	assert.Assert(t, heldPrompt(table, 3.5, prompt(1, 99, 1, 7, 2)))
	assert.Assert(t, !heldPrompt(table, 3.5, prompt(1, 99, 1, 2)))
	wrote(table, 4, prompt(1, 90, 1, 2))
	assert.Assert(t, heldPrompt(table, 5, prompt(1, 99, 7)))
}

// Guards against a part that stays held for long without any evidence.
func TestPartWithoutEvidenceIsTriedEarly(t *testing.T) {
	table := NewTable(1)
	table.SetTrials(func(Key, int64) bool { return true })
	crashUnder(table, 0, -4, 8, func(i int) *Identity { return prompt(1, i, 1) })
	assert.Assert(t, heldPrompt(table, 5.9, prompt(1, 99, 1)))
	tried := -1.0
	for now := 6.0; now < 14 && tried < 0; now += 0.1 {
		if !heldPrompt(table, now, prompt(1, 99, 1)) {
			tried = now
		}
	}
	assert.Assert(t, tried > 0)
	assert.Assert(t, heldPrompt(table, tried+0.1, prompt(1, 98, 1)), "one at a time")
	wrote(table, tried, prompt(1, 99, 1))
	assert.Assert(t, !heldPrompt(table, tried+1, prompt(1, 98, 1)))
}

// Each early trial that crashes an endpoint must make the next one wait longer.
func TestEarlyTrialsBackOff(t *testing.T) {
	table := NewTable(1)
	table.SetTrials(func(Key, int64) bool { return true })
	crashUnder(table, 0, -4, 7, func(i int) *Identity { return prompt(1, i, 1) })
	trials := 0
	for now := 2.5; now < 600; now += 0.5 {
		if !heldPrompt(table, now, prompt(1, 99, 1)) {
			trials++
			table.Add(at(now), under(10+trials, now, prompt(1, 100+trials, 1)))
		}
	}
	assert.Assert(t, trials >= 2 && trials <= 5, "%d trials in ten minutes", trials)
}

// One request crashes endpoints, not the parts of its prompt.
func TestPartsOfARequestThatCrashesEndpointsAreNotHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 4 {
		table.Add(at(float64(i)), under(i, float64(i), prompt(1, 0, 1, 7)))
	}
	assert.Assert(t, heldPrompt(table, 9, prompt(1, 0, 1, 7)))
	assert.Assert(t, !heldPrompt(table, 9, prompt(1, 99, 1, 7)))
}

// Guards against three more crashes after a request with the part was held by itself.
func TestPartIsHeldAfterARequestWithItWasHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		table.Add(at(float64(i)), under(i, float64(i), prompt(1, 0, 1, 7)))
		wrote(table, float64(i), prompt(1, 50+i, 1, 8))
	}
	assert.Assert(t, !heldPrompt(table, 3, prompt(1, 99, 1, 7)))
	table.Add(at(4), under(4, 4, prompt(1, 40, 1, 7)))
	assert.Assert(t, heldPrompt(table, 4, prompt(1, 99, 1, 7)))
}

// Guards against a request that goes on crashing endpoints, since a held part explains its crashes.
func TestRequestIsHeldAfterAPartInTheSameCrashesWasHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 6 {
		now := float64(i)
		crash := under(2*i, now, prompt(1, 50+i, 1, 7))
		if i >= 4 {
			crash.AddRequest(prompt(1, 0, 1), at(now-0.05))
		}
		table.Add(at(now), crash)
		wrote(table, now, prompt(1, 90+i, 1))
	}
	assert.Assert(t, heldPrompt(table, 7, prompt(1, 99, 1, 7)))
	table.Add(at(8), under(20, 8, prompt(1, 0, 1)))
	assert.Assert(t, heldPrompt(table, 8.1, prompt(1, 0, 1)))
	assert.Assert(t, !heldPrompt(table, 8.1, prompt(1, 98, 1)))
}

// Guards against a sound request that is held for crashes that a held part explains.
func TestRequestInCrashesUnderAHeldPartIsNotHeld(t *testing.T) {
	table := NewTable(1)
	crashUnder(table, 0, 0, 3, func(i int) *Identity { return prompt(1, i, 4, 7) })
	wrote(table, 2, prompt(1, 30, 4))
	assert.Assert(t, heldPrompt(table, 3, prompt(1, 99, 7)))
	for i := range 6 {
		table.Add(at(float64(4+i)), under(10+i, float64(4+i), prompt(1, 50+i, 4, 7), prompt(1, 40, 4)))
		assert.Assert(t, !heldPrompt(table, float64(4+i), prompt(1, 40, 4)))
	}
}

// Guards against a sound request that is held for crashes after which it was served.
func TestServedRequestIsClearedOfCrashesUnderAHeldPart(t *testing.T) {
	table := NewTable(1)
	crashUnder(table, 0, 0, 3, func(i int) *Identity { return prompt(1, i, 4, 7) })
	wrote(table, 2, prompt(1, 30, 4))
	assert.Assert(t, heldPrompt(table, 3, prompt(1, 99, 7)))
	sound := prompt(1, 40, 4)
	table.Add(at(4), under(10, 4, prompt(1, 50, 4, 7), sound))
	wrote(table, 4, sound)
	table.Add(at(5), under(11, 5, prompt(1, 51, 4, 7), sound))
	table.Add(at(6), under(12, 6, sound))
	assert.Assert(t, !heldPrompt(table, 6, sound))
}

// Guards against a part of another route that is held for the crashes of a part with evidence.
func TestPartWithEvidenceComesBeforeOneWithout(t *testing.T) {
	table := NewTable(1)
	for i := range 8 {
		now := 0.4 * float64(i)
		crash := under(i, now, prompt(1, 10+i, 1, 7))
		if i > 0 {
			other := prompt(2, 50+i, 2)
			other.Scope = PartScope("s", "other", "m")
			crash.AddRequest(other, at(now-0.05))
		}
		table.Add(at(now), crash)
		wrote(table, now, prompt(1, 30+i, 1))
	}
	other := prompt(2, 99, 2)
	other.Scope = PartScope("s", "other", "m")
	assert.Assert(t, heldPrompt(table, 3.5, prompt(1, 99, 1, 7)))
	assert.Assert(t, !heldPrompt(table, 3.5, other))
}

// Guards against a route that is held for a part of another one, while nothing is served.
func TestPartOfSomePromptsComesBeforeOneOfAllOfItsRoute(t *testing.T) {
	table := NewTable(1)
	other := func(n int) *Identity {
		id := prompt(2, n, 4, 5, 6)
		id.Scope = PartScope("s", "other", "m")
		return id
	}
	for i := range 7 {
		now := 0.5 * float64(i)
		table.Add(at(now), under(i, now, prompt(1, 10+i, 1, 7), prompt(1, 30+i, 1), other(50+i)))
	}
	assert.Assert(t, heldPrompt(table, 3.7, prompt(1, 99, 1, 7)))
	assert.Assert(t, !heldPrompt(table, 3.7, other(99)))
}

// Guards against a request whose crashes come at the same moments as those under a part.
func TestRequestIsFoundBesideCrashesUnderAPart(t *testing.T) {
	table := NewTable(1)
	for i := range 3 {
		now := float64(i)
		table.Add(at(now), under(2*i, now, prompt(1, 0)), under(2*i+1, now+0.05, prompt(1, 10+i, 4, 7)))
		wrote(table, now, prompt(1, 50+i, 4))
	}
	table.Tick(at(3.5))
	assert.Assert(t, heldPrompt(table, 3.5, prompt(1, 0)))
	assert.Assert(t, heldPrompt(table, 3.5, prompt(1, 99, 4, 7)))
}

// Guards against parts of a request that crashes endpoints, held before the request is found.
func TestPartsOfARepeatedRequestAreNotHeldBeforeIt(t *testing.T) {
	table := NewTable(1)
	for i := range 7 {
		now := float64(i)
		table.Add(at(now), under(2*i, now, prompt(1, 0, 1, 2)), under(2*i+1, now+0.05, prompt(1, 10+i, 3, 4)))
	}
	assert.Assert(t, !heldPrompt(table, 9, prompt(1, 99, 1, 2)))
	assert.Assert(t, heldPrompt(table, 9, prompt(1, 0, 1, 2)))
	assert.Assert(t, heldPrompt(table, 9, prompt(1, 99, 3, 4)))
}

// Guards against a workspace that gets another one's requests held by naming their parts.
func TestHoldBindsTheWorkspacesUnderWhichEndpointsCrashed(t *testing.T) {
	table := NewTable(1)
	crashUnder(table, 0, 0, 3, func(i int) *Identity { return prompt(1, i, 4, 7) })
	wrote(table, 2, prompt(1, 30, 4))
	assert.Assert(t, heldPrompt(table, 3, prompt(1, 99, 7)))
	assert.Assert(t, !heldPrompt(table, 3, prompt(2, 99, 7)))
	table.Add(at(4), under(4, 4, prompt(2, 40, 4, 7)))
	assert.Assert(t, heldPrompt(table, 4, prompt(3, 99, 7)))
}

// A flood comes from several callers, no one of which crashes three endpoints.
func TestCrashesUnderAPartAreCountedOverWorkspaces(t *testing.T) {
	table := NewTable(1)
	crashUnder(table, 0, 0, 3, func(i int) *Identity { return prompt(i, i, 4, 7) })
	wrote(table, 2, prompt(1, 30, 4))
	assert.Assert(t, heldPrompt(table, 3, prompt(9, 99, 7)))
}

// A part crashes endpoints on one route and is served on another.
func TestPartIsHeldOnItsRouteOnly(t *testing.T) {
	table := NewTable(1)
	other := prompt(1, 99, 7)
	other.Scope = PartScope("s", "other", "m")
	for i := range 3 {
		table.Add(at(float64(i)), under(i, float64(i), prompt(1, i, 4, 7)))
		wrote(table, float64(i), other)
		wrote(table, float64(i), prompt(1, 30+i, 4))
	}
	assert.Assert(t, heldPrompt(table, 3, prompt(1, 99, 7)))
	assert.Assert(t, !heldPrompt(table, 3, other))
}

// Guards against causes that hide each other.
func TestSeveralCausesAtOnceAreFound(t *testing.T) {
	table := NewTable(1)
	for i := range 6 {
		now := float64(i)
		table.Add(at(now), under(3*i, now, prompt(1, i, 1, 7), prompt(3, 60+i, 3)))
		table.Add(at(now), under(3*i+1, now+0.3, prompt(2, 20+i, 2, 8), prompt(3, 70+i, 3)))
		table.Add(at(now), under(3*i+2, now+0.6, prompt(3, 0, 3, 9), prompt(1, 80+i, 1)))
		wrote(table, now+0.6, prompt(1, 90, 1))
		wrote(table, now+0.6, prompt(2, 91, 2))
		wrote(table, now+0.6, prompt(3, 92, 3))
	}
	assert.Assert(t, heldPrompt(table, 9, prompt(1, 99, 1, 7)))
	assert.Assert(t, heldPrompt(table, 9, prompt(2, 99, 2, 8)))
	assert.Assert(t, heldPrompt(table, 9, prompt(3, 0, 3, 9)))
	for _, p := range []int{1, 2, 3, 9} {
		assert.Assert(t, !heldPrompt(table, 9, prompt(3, 99, p)), "%d", p)
	}
}

// Guards against two floods so dense that no crash is isolated.
func TestTwoFrequentCausesAreFound(t *testing.T) {
	table := NewTable(1)
	for i := range 60 {
		now := 0.05 * float64(i)
		c := Crash{Endpoint: incarnation(i), At: at(now)}
		c.AddRequest(prompt(1, i, 4, 7+i%2), at(now-0.02))
		table.Add(at(now), c)
		wrote(table, now, prompt(1, 100+i, 4))
	}
	assert.Assert(t, heldPrompt(table, 3, prompt(1, 99, 7)) && heldPrompt(table, 3, prompt(1, 99, 8)))
}

// Guards against a popular part that is held since endpoints are killed together.
func TestPartOnEndpointsKilledTogetherIsNotHeld(t *testing.T) {
	table := NewTable(1)
	for i := range 8 {
		now := 4 * float64(i)
		for e := range 5 {
			table.Add(at(now), under(10*i+e, now+0.01*float64(e), prompt(1, 10*i+e, 1)))
		}
		assert.Assert(t, !heldPrompt(table, now+1, prompt(1, 99, 1)))
		wrote(table, now+1, prompt(2, 50+i, 1))
		assert.Assert(t, !heldPrompt(table, now+3.9, prompt(1, 99, 1)))
	}
}

// heldTables returns the tables of two daemons that hold a part, with the trial's turn at the
// second one.
func heldTables() (a, b *Table) {
	a, b = NewTable(1), NewTable(2)
	a.SetTrials(func(Key, int64) bool { return false })
	b.SetTrials(func(Key, int64) bool { return true })
	for _, t := range []*Table{a, b} {
		crashUnder(t, 0, 0, 3, func(i int) *Identity { return prompt(1, i, 4, 7) })
		wrote(t, 2, prompt(1, 30, 4))
		t.Tick(at(3))
	}
	return a, b
}

// trialAt returns the first beginning of a trial's interval after the retention, in seconds.
func trialAt() float64 {
	return at(retention.Seconds() + 3).Truncate(trialInterval).Add(trialInterval).Sub(start).Seconds()
}

// Guards against a trial at each daemon once the hold is over.
func TestOneRequestIsTriedAfterTheHold(t *testing.T) {
	a, b := heldTables()
	now := trialAt()
	assert.Assert(t, heldPrompt(a, now, prompt(1, 99, 7)))
	assert.Assert(t, !heldPrompt(b, now, prompt(1, 99, 7)))
	assert.Assert(t, heldPrompt(b, now+0.01, prompt(1, 98, 7)))
	left := b.Held(at(now+0.01), func() *Identity { return prompt(1, 98, 7) })
	assert.Assert(t, left <= trialInterval)
	assert.Assert(t, !heldPrompt(b, now+trialInterval.Seconds(), prompt(1, 97, 7)), "the next interval")

	a.Add(at(now), under(9, now, prompt(1, 99, 4, 7)))
	left = a.Held(at(now), func() *Identity { return prompt(1, 98, 7) })
	assert.Equal(t, left, retention, "the trial crashed an endpoint")

	wrote(b, now, prompt(1, 99, 7))
	assert.Assert(t, !heldPrompt(b, now+1, prompt(1, 98, 7)), "the trial was served")
}

// Guards against a trial whose success only one daemon learns of.
func TestTrialThatIsServedReleasesThePartEverywhere(t *testing.T) {
	a, b := heldTables()
	now := trialAt()
	_, known := b.Since(Position{})
	assert.Assert(t, !heldPrompt(b, now, prompt(1, 99, 7)))
	wrote(b, now, prompt(1, 99, 7))
	told, _ := b.Since(known)
	change := a.Add(at(now+1), told...)
	assert.DeepEqual(t, change.Released, []Key{part(7)})
}

// All daemons start again after the retention, before a trial: the part is still held.
func TestPartIsHeldUntilItsTrialAfterARestart(t *testing.T) {
	a, _ := heldTables()
	now := trialAt()
	a.Tick(at(now))
	text, err := json.Marshal(a.Snapshot())
	assert.NilError(t, err)
	var kept []Crash
	assert.NilError(t, json.Unmarshal(text, &kept))
	fresh := NewTable(3)
	fresh.Add(at(now), kept...)
	assert.Assert(t, heldPrompt(fresh, now, prompt(1, 99, 7)))
	fresh.Tick(at(maxHold.Seconds() + 3))
	assert.Equal(t, fresh.CrashCount(), 0)
}

// Guards against headers that name thousands of parts.
func TestPartsAreBounded(t *testing.T) {
	table := NewTable(1)
	for i := range 300 {
		id := prompt(1, i)
		for p := range 5000 {
			id.Parts = append(id.Parts, uint64(5000*i+p))
		}
		table.Add(at(float64(i)), under(i, float64(i), id))
	}
	all, _ := table.Since(Position{})
	for _, c := range all {
		assert.Assert(t, c.partCount() <= maxParts)
	}
	text, err := json.Marshal(table.Snapshot())
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1<<19, "%d bytes of the store's 1 MiB", len(text))
}

// Dozens of parts are cleared of a crash. Daemons that know the crash get these alone.
func TestClearedPartsAreSentAlone(t *testing.T) {
	table := NewTable(1)
	table.Add(at(1), under(1, 1, prompt(1, 1, 1, 2, 3)))
	_, known := table.Since(Position{})
	wrote(table, 1, prompt(1, 2, 1))
	first, then := table.Since(known)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(first[0].Prompts)+len(first[0].Suspects), 0)
	assert.DeepEqual(t, first[0].ClearedParts, []Key{part(1)})
	wrote(table, 1, prompt(1, 3, 2))
	second, _ := table.Since(then)
	assert.DeepEqual(t, second[0].ClearedParts, []Key{part(2)})

	late := NewTable(2)
	late.Add(at(2), second...) // out of order, and before the crash itself
	late.Add(at(2), first...)
	all, _ := table.Since(Position{})
	late.Add(at(2), all...)
	assert.Equal(t, late.CrashCount(), 1)
	assert.Assert(t, late.crashes[0].hasPart(part(3)) && !late.crashes[0].hasPart(part(1)))
}

// The keys of parts must be read as they are written, and differ from those of requests.
func TestPartKeysRoundTrip(t *testing.T) {
	var read Key
	text, err := part(0x5c1e).MarshalText()
	assert.NilError(t, err)
	assert.NilError(t, read.UnmarshalText(text))
	assert.Equal(t, read, part(0x5c1e))
	assert.Assert(t, part(7) != PartOf(PartScope("s", "route", "other"), 7))
}

// BenchmarkHeldPart measures the cost of the check for each request while a part is held.
func BenchmarkHeldPart(b *testing.B) {
	table, _ := heldTables()
	id := prompt(1, 99, 1, 2, 3, 4)
	now := at(4)
	b.ReportAllocs()
	for b.Loop() {
		table.Held(now, func() *Identity { return id })
	}
}
