package reclaim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

var (
	t0    = time.Unix(1_000_000, 0)
	model = fleet.ModelRef{Model: "m"}
)

const kvBytesPerToken = 128 << 10 // bytes a token

func stream(id string, on fleet.EndpointID, tokens int, remaining time.Duration) Stream {
	return Stream{
		Ref: request.Ref{Workspace: "w", ID: fleet.RequestID(id)}, Endpoint: on, Model: model,
		Prompt: tokens, Remaining: remaining, KVBytes: int64(tokens) * kvBytesPerToken,
	}
}

func target(id fleet.EndpointID, dc fleet.DataCentre, slots int) Target {
	return Target{Endpoint: id, DataCentre: dc, Models: []fleet.ModelRef{model}, FreeSlots: slots, FreeTokens: slots * 100_000}
}

func notice(on fleet.EndpointID, in time.Duration) Notice {
	return Notice{Endpoint: on, DataCentre: "a", LeaveAt: t0.Add(in), LinkRate: 1 << 30}
}

func byID(moves []Move) map[string]Move {
	out := make(map[string]Move)
	for _, m := range moves {
		out[string(m.Ref.ID)] = m
	}
	return out
}

// The link can export some 80,000 tokens in ten seconds. Streams that end in time
// stay, those that save the most tokens are exported, and the others are
// recomputed as late as possible. A non-idempotent request must always stay,
// since it can't be dispatched again.
func TestPlanExportsWhatSavesMostTokens(t *testing.T) {
	p := NewPlanner(DefaultPolicy())
	order := stream("order", "e1", 500, time.Minute)
	order.NonIdempotent = true
	streams := []Stream{
		stream("ends", "e1", 90_000, 2*time.Second),
		stream("large", "e1", 40_000, time.Minute),
		stream("small", "e1", 5_000, time.Minute),
		stream("huge", "e1", 90_000, time.Minute),
		stream("tiny", "e1", 10, time.Minute),
		order,
	}
	streams[3].KVBytes *= 8 // a model with a large KV cache
	got := byID(p.Plan(t0, []Notice{notice("e1", 10*time.Second)}, streams, []Target{target("e2", "b", 10)}))
	assert.Equal(t, got["ends"].Method, Finish)
	assert.Equal(t, got["order"].Method, Finish)
	assert.Equal(t, got["large"].Method, ExportKV)
	assert.Equal(t, got["small"].Method, ExportKV)
	assert.Equal(t, got["huge"].Method, Recompute)
	assert.Equal(t, got["tiny"].Method, Recompute)
	assert.Equal(t, got["huge"].At, t0.Add(9*time.Second))
	assert.Equal(t, got["large"].To, fleet.EndpointID("e2"))
}

// The instance list and the endpoint may both send the same notice, repeatedly.
// Nothing must be planned twice. A notice for the target of a move, or an earlier
// end of a notice, must change only the moves that it affects and that have not
// started.
func TestRepeatedAndOverlappingNotices(t *testing.T) {
	p := NewPlanner(DefaultPolicy())
	streams := []Stream{stream("r1", "e1", 20_000, time.Minute), stream("r2", "e1", 20_000, time.Minute), stream("r3", "e1", 20_000, time.Minute)}
	targets := []Target{target("e2", "b", 10)}
	first := p.Plan(t0, []Notice{notice("e1", 20*time.Second)}, streams, targets)
	assert.Equal(t, len(first), 3)
	again := []Notice{notice("e1", 20*time.Second), notice("e1", time.Minute)}
	assert.Equal(t, len(p.Plan(t0, again, streams, targets)), 0)

	later := t0.Add(time.Second) // the first export is running
	targets = append(targets, target("e3", "c", 10))
	moved := byID(p.Plan(later, []Notice{notice("e2", 20*time.Second)}, streams, targets))
	assert.Equal(t, len(moved), 2)
	assert.Equal(t, moved["r2"].To, fleet.EndpointID("e3"))
	assert.Assert(t, moved["r2"].At.After(t0.Add(2*time.Second)), "shares the link with the first")

	shortened := byID(p.Plan(later, []Notice{notice("e1", 4*time.Second)}, streams, targets))
	assert.Equal(t, len(shortened), 2)
	assert.Equal(t, shortened["r2"].Method, Recompute)

	streams[0].Endpoint = "e2" // it has moved, and e2 leaves too
	onward := p.Plan(later, nil, streams[:1], targets)
	assert.Equal(t, len(onward), 1)
	assert.Equal(t, onward[0].To, fleet.EndpointID("e3"))
}

// A data centre leaves engine by engine. Its streams must move to another one,
// although its last engine has the most free slots. Slots that were reserved for
// one notice must not be used for the next; a stream for which there is no slot
// is left to the router.
func TestDataCentreLeavesEngineByEngine(t *testing.T) {
	p := NewPlanner(DefaultPolicy())
	streams := []Stream{stream("r2", "e2", 1000, time.Hour)}
	for i := range 4 {
		streams = append(streams, stream(fmt.Sprint("r1-", i), "e1", 1000, time.Hour))
	}
	targets := []Target{target("e3", "a", 16), target("e4", "b", 4)}
	for _, m := range p.Plan(t0, []Notice{notice("e1", time.Minute)}, streams, targets) {
		assert.Equal(t, m.To, fleet.EndpointID("e4"))
	}
	second := p.Plan(t0, []Notice{notice("e2", time.Minute), notice("e3", time.Minute)}, streams, targets)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].To, fleet.EndpointID(""))
	assert.Equal(t, second[0].Method, Recompute)
}

// Forty daemons plan at the same time from the same load reports, each for a few
// streams. If they chose the same target, its queue would delay their callers:
// together they must spread the streams over the targets by free capacity.
func TestDaemonsSpreadOverTargets(t *testing.T) {
	var targets []Target
	for i := range 10 {
		targets = append(targets, target(fleet.EndpointID(fmt.Sprint("t", i)), "b", 16))
	}
	load := map[fleet.EndpointID]int{}
	for daemon := range 40 {
		p := NewPlanner(DefaultPolicy())
		var streams []Stream
		for i := range 4 {
			streams = append(streams, stream(fmt.Sprintf("d%d-%d", daemon, i), "e1", 1000, time.Hour))
		}
		for _, m := range p.Plan(t0, []Notice{notice("e1", time.Minute)}, streams, targets) {
			load[m.To]++
		}
	}
	for id, n := range load {
		assert.Assert(t, n <= 32, "%d of 160 streams on %s", n, id) // twice the even share
	}
}

// For random notices, streams and targets: no target gets more streams than it
// has slots or is itself under notice, no more than MaxExports exports from one
// endpoint run at once, they end in time, and a repeated plan changes nothing.
func TestPlanStaysWithinCapacityAndTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		p := NewPlanner(policy)
		var notices []Notice
		var streams []Stream
		var targets []Target
		engines := rapid.IntRange(2, 12).Draw(t, "engines")
		wave := rapid.SampledFrom([]string{"all of a", "any"}).Draw(t, "wave")
		slots := map[fleet.EndpointID]int{}
		for i := range engines {
			id, dc := fleet.EndpointID(fmt.Sprint("e", i)), fleet.DataCentre([]string{"a", "b", "c"}[i%3])
			if (wave == "any" && rapid.Bool().Draw(t, "noticed")) || (wave != "any" && dc == "a") {
				n := notice(id, time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds"))*time.Second)
				n.DataCentre = dc
				notices = append(notices, n)
			}
			slots[id] = rapid.IntRange(0, 4).Draw(t, "slots")
			targets = append(targets, target(id, dc, slots[id]))
			for j := range rapid.IntRange(0, 6).Draw(t, "streams") {
				tokens := rapid.IntRange(1, 50_000).Draw(t, "tokens")
				s := stream(fmt.Sprintf("%s-%d", id, j), id, tokens, time.Duration(rapid.IntRange(0, 90).Draw(t, "left"))*time.Second)
				s.NonIdempotent = rapid.IntRange(0, 5).Draw(t, "fixed") == 0
				streams = append(streams, s)
			}
		}
		moves := p.Plan(t0, notices, streams, targets)
		assert.Equal(t, len(p.Plan(t0, notices, streams, targets)), 0)
		for _, m := range moves {
			assert.Assert(t, m.To == "" || !p.UnderNotice(m.To))
			assert.Assert(t, wave == "any" || m.To == "" || m.From != m.To)
			slots[m.To]--
			assert.Assert(t, m.To == "" || slots[m.To] >= 0, "%s has more streams than slots", m.To)
		}
		checkExports(t, p, policy, moves, streams)
	})
}

func checkExports(t *rapid.T, p *Planner, policy Policy, moves []Move, streams []Stream) {
	nonIdempotent := map[request.Ref]bool{}
	for _, s := range streams {
		nonIdempotent[s.Ref] = s.NonIdempotent
	}
	for _, m := range moves {
		if m.Method != ExportKV {
			assert.Assert(t, m.Method == Finish || !nonIdempotent[m.Ref])
			continue
		}
		ends := p.planned[m.Ref].exportEnd
		assert.Assert(t, !ends.After(p.notices[m.From].LeaveAt.Add(-policy.Margin)), "an export ends late")
		running := 0
		for _, o := range moves {
			if o.Method == ExportKV && o.From == m.From && !o.At.After(m.At) && p.planned[o.Ref].exportEnd.After(m.At) {
				running++
			}
		}
		assert.Assert(t, running <= policy.MaxExports, "%d exports at once", running)
	}
}
