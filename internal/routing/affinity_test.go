package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// reportFull gives each router a load report of a full engine.
func reportFull(id fleet.EndpointID, routers ...*Router) {
	for _, r := range routers {
		r.ReportLoad(start, id, engineapi.Load{TakenAtMillis: start.UnixMilli(), Running: 64, Queued: 20, Slots: 16})
	}
}

// Two daemons, which share only the list of endpoints, receive turns of the same
// conversation. If they chose different engines, each would recompute its
// history. They must also agree on the engine to spill to while the owner is
// overloaded.
func TestDaemonsAgreeOnOwnerAndOnSpill(t *testing.T) {
	for seed := range uint64(50) {
		a := testRouter(seed, Config{}, endpoints(18))
		b := testRouter(seed+1000, Config{}, endpoints(18))
		q := prompt(seed, 40)
		owner, err := a.Pick(start, q)
		assert.NilError(t, err)
		again, _ := b.Pick(start, q)
		assert.Equal(t, owner.Endpoint, again.Endpoint)
		reportFull(owner.Endpoint, a, b)
		spill, _ := a.Pick(start, q)
		assert.Assert(t, spill.Endpoint != owner.Endpoint)
		assert.Equal(t, spill.Reason, BySpill)
		again, _ = b.Pick(start, q)
		assert.Equal(t, spill.Endpoint, again.Endpoint)
	}
}

func TestGrowingConversationStaysOnItsEngine(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(18))
	whole := prompt(7, 300)
	first := fleet.EndpointID("")
	for blocks := 60; blocks <= 300; blocks += 30 {
		q := *whole
		q.Blocks, q.PromptTokens = whole.Blocks[:blocks], blocks*16
		c, err := r.Pick(start, &q)
		assert.NilError(t, err)
		r.Dispatched(start, c.Endpoint, &q, c)
		r.Finished(start, c.Endpoint, q.ID, Answered)
		if first != "" {
			assert.Equal(t, c.Endpoint, first)
			assert.Equal(t, c.PredictedCachedTokens, (blocks-30)*16)
		}
		first = c.Endpoint
	}
}

// All prompts of an application start with the same long instructions. If the
// affinity key covered only these, one engine would own every conversation.
func TestSharedInstructionsDoNotMakeOneOwner(t *testing.T) {
	r := testRouter(1, Config{Policy: PureAffinity}, endpoints(18))
	shared := simChain(1, 0, 40)
	for i := range 18 { // every engine holds the instructions
		for _, b := range shared {
			r.index.Store(uint32(i), b)
		}
	}
	owners := map[fleet.EndpointID]bool{}
	for seed := range uint64(60) {
		q := prompt(seed, 100)
		copy(q.Blocks, shared)
		c, err := r.Pick(start, q)
		assert.NilError(t, err)
		owners[c.Endpoint] = true
	}
	assert.Assert(t, len(owners) > 12, "%d owners", len(owners))
}

func TestCacheEventsCorrectTheIndex(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(18))
	q := prompt(3, 40)
	owner, _ := r.Pick(start, q)
	other := fleet.EndpointID("engine-0")
	if owner.Endpoint == other {
		other = "engine-1"
	}
	page := engineapi.CacheEvents{Next: 141}
	for i, hash := range q.Blocks {
		page.Events = append(page.Events, engineapi.CacheEvent{Seq: uint64(101 + i), Stored: true, Hash: hash})
	}
	r.ReportCache(start, other, page)
	c, _ := r.Pick(start, q)
	assert.Equal(t, c.Endpoint, other)
	assert.Equal(t, c.Reason, ByCache)
	r.ReportCache(start, other, engineapi.CacheEvents{Next: 1}) // restarted
	c, _ = r.Pick(start, q)
	assert.Equal(t, c.Endpoint, owner.Endpoint)
}

// One engine was idle at its last report and all others were half full. Until
// the next report, several seconds later, every daemon uses these values. If
// they chose by load alone, they would all send their short prompts to the idle
// engine.
func TestLaggingReportCausesNoHerd(t *testing.T) {
	const daemons, requests, engines = 8, 40, 18
	sent := map[fleet.EndpointID]int{}
	now := start.Add(5 * time.Second)
	for d := range uint64(daemons) {
		r := testRouter(d, Config{}, endpoints(engines))
		for i, e := range endpoints(engines) {
			load := engineapi.Load{TakenAtMillis: start.UnixMilli(), Running: 8, Slots: 16}
			if i == 0 {
				load.Running = 0
			}
			r.ReportLoad(now, e.ID, load)
		}
		for i := range uint64(requests) {
			q := prompt(d*requests+i, 0)
			q.PromptTokens = 10
			c, err := r.Pick(now, q)
			assert.NilError(t, err)
			r.Dispatched(now, c.Endpoint, q, c)
			sent[c.Endpoint]++
		}
	}
	fair := daemons * requests / engines
	assert.Assert(t, sent["engine-0"] < 4*fair, "%d of %d to the idle engine", sent["engine-0"], daemons*requests)
}

// All daemons use the same stale load. If they all refused at the same value, the
// engine's batch would oscillate between empty and full. The share of refusals
// must grow with the load instead.
func TestShareOfRefusalsGrowsWithLoad(t *testing.T) {
	refused := func(running int) (n int) {
		r := testRouter(1, Config{}, endpoints(1))
		r.ReportLoad(start, "engine-0", engineapi.Load{TakenAtMillis: start.UnixMilli(), Running: running, Slots: 100})
		for range 100 {
			c, err := r.Pick(start, prompt(1, 1))
			assert.NilError(t, err)
			if c.Overloaded {
				n++
			}
		}
		return n
	}
	assert.Equal(t, refused(50), 0)
	assert.Assert(t, refused(80) > 10 && refused(80) < 50)
	assert.Assert(t, refused(95) > 50 && refused(95) < 90)
	assert.Equal(t, refused(130), 100)
}

func TestEnginesWithMoreSlotsOwnMorePrompts(t *testing.T) {
	r := testRouter(1, Config{Policy: PureAffinity}, endpoints(2))
	r.ReportLoad(start, "engine-0", engineapi.Load{TakenAtMillis: start.UnixMilli(), Slots: 30})
	r.ReportLoad(start, "engine-1", engineapi.Load{TakenAtMillis: start.UnixMilli(), Slots: 10})
	owned := 0
	for seed := range uint64(400) {
		c, _ := r.Pick(start, prompt(seed, 20))
		if c.Endpoint == "engine-0" {
			owned++
		}
	}
	assert.Assert(t, owned > 270 && owned < 330, "%d of 400", owned)
}
