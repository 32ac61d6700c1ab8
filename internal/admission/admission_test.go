package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func newAdmission(l Limits, slots int) *Admission {
	a := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	a.SetLimits(epoch, "w", l, 1)
	a.SetCapacity("p", slots)
	return a
}

func request(id string, prompt int) Request {
	return Request{
		ID:           fleet.RequestID(id),
		Workspace:    "w",
		Pool:         "p",
		Model:        fleet.ModelRef{Model: "m"},
		PromptTokens: prompt,
		MaxTokens:    100,
	}
}

// A refused caller comes back, so each refusal that charged something would
// push the next one further away: the workspace ends below its limits.
func TestRefusalConsumesNoQuota(t *testing.T) {
	a := newAdmission(Limits{RequestsPerSecond: 1, RequestBurst: 2, TokensPerSecond: 100, TokenBurst: 100, MaxTokens: 100}, 8)
	assert.Equal(t, a.Offer(epoch, request("a", 300)).Outcome, Admit) // 300 tokens of debt
	for range 100 {
		d := a.Offer(epoch, withDeadline(request("b", 100), 60))
		assert.Equal(t, d.Reason, TokenRate)
		assert.Assert(t, d.RetryAfter > 0)
	}
	tooLarge := request("c", 1)
	tooLarge.MaxTokens = 101
	assert.DeepEqual(t, a.Offer(epoch, tooLarge), Decision{Outcome: Refuse, Reason: TooLarge})
	// At 1.1 s the debt is 190 tokens, a wait within the bound; the request
	// rate still has the one that the refusals did not take.
	assert.Equal(t, a.Offer(at(1.1), withDeadline(request("d", 1), 60)).Outcome, Queue)
}

// The debt of a queued request is paid by waiting: it starts when the balance
// is back at zero, not before, and no debt outgrows MaxTokenWait at the offer.
func TestTokenDebtDelaysStartAndUsageIsSettledOnce(t *testing.T) {
	a := newAdmission(Limits{TokensPerSecond: 100, TokenBurst: 100}, 8)
	assert.Equal(t, a.Offer(epoch, request("a", 100)).Outcome, Admit) // estimate 200, debt 100
	assert.DeepEqual(t, a.Offer(epoch, withDeadline(request("b", 100), 60)), Decision{Outcome: Queue, Reason: TokenRate})
	assert.Equal(t, len(a.Tick(at(0.9))), 0)
	assert.DeepEqual(t, a.NextTick(), at(1))
	assert.DeepEqual(t, a.Tick(at(1)), []Action{{Request: "b", Start: true}})
	// b is charged 200; it used 30, so 170 come back, once.
	assert.Assert(t, a.Release(at(1), "b", Usage{PromptTokens: 20, CompletionTokens: 10}))
	assert.Assert(t, !a.Release(at(1), "b", Usage{PromptTokens: 20, CompletionTokens: 10}))
	assert.Equal(t, a.workspaces["w"].tokens.balance, -30.0)
}

func withDeadline(a Request, s float64) Request {
	a.Deadline = at(s)
	return a
}

// A caller's stream ends twice: once as it is cancelled and once as the engine
// closes. Were slots counted down, the second would free another request's.
func TestSecondReleaseFreesNoOtherSlot(t *testing.T) {
	a := newAdmission(Limits{Concurrency: 2}, 8)
	a.Offer(epoch, request("a", 1))
	a.Offer(epoch, request("b", 1))
	assert.Equal(t, a.Offer(epoch, withDeadline(request("c", 1), 600)).Reason, Concurrency)
	assert.Equal(t, len(a.Tick(epoch)), 0)
	a.Release(epoch, "a", Usage{})
	a.Release(epoch, "a", Usage{})
	a.Offer(epoch, withDeadline(request("d", 1), 600))
	assert.DeepEqual(t, a.Tick(epoch), []Action{{Request: "c", Start: true}})
}

// A request's handler dies without releasing. Its slot must come back; its
// late release must not settle what expiry has closed. One that is extended
// keeps its slot.
func TestExpiredLeaseFreesItsSlot(t *testing.T) {
	a := newAdmission(Limits{Concurrency: 2}, 8)
	a.Offer(epoch, request("dead", 1))
	a.Offer(epoch, request("long", 1))
	assert.Assert(t, a.Extend(at(20), "long"))
	assert.Equal(t, a.Offer(at(29), withDeadline(request("next", 1), 600)).Outcome, Queue)
	assert.DeepEqual(t, a.Tick(at(30)), []Action{{Request: "next", Start: true}})
	assert.Assert(t, !a.Extend(at(30), "dead"))
	assert.Assert(t, !a.Release(at(30), "dead", Usage{}))
	assert.Equal(t, a.PoolState("p").Running, 2)
}

// A caller that lost the answer offers again with the same id. Counted twice,
// it would hold two slots and be charged twice.
func TestRepeatedOfferIsIdempotent(t *testing.T) {
	a := newAdmission(Limits{Concurrency: 1, TokensPerSecond: 100, TokenBurst: 1_000}, 8)
	for range 3 {
		assert.Equal(t, a.Offer(epoch, request("a", 100)).Outcome, Admit)
		assert.Equal(t, a.Offer(epoch, withDeadline(request("b", 100), 600)).Outcome, Queue)
	}
	assert.Equal(t, a.PoolState("p").Running, 1)
	assert.Equal(t, a.PoolState("p").Queued, 1)
	assert.Equal(t, a.workspaces["w"].tokens.balance, 800.0)
}

// Capacity vanishes while requests wait, and more run than slots are left.
// Callers learn at once that they will not make it; told near the deadline, no
// other entry could help them. What was refused gives its rate token back.
func TestLostCapacityRefusesQueuedRequests(t *testing.T) {
	a := newAdmission(Limits{RequestsPerSecond: 1e-9, RequestBurst: 41}, 40)
	for i := range 40 {
		a.Offer(epoch, request(fmt.Sprint(i), 1))
	}
	assert.Equal(t, a.Offer(epoch, withDeadline(request("x", 1), 2)).Outcome, Queue)
	assert.Equal(t, len(a.Tick(epoch)), 0)
	a.SetCapacity("p", 20)
	acts := a.Tick(at(0.01))
	assert.Equal(t, len(acts), 1)
	assert.Equal(t, acts[0].Reason, Overload)
	assert.Assert(t, !acts[0].Start && acts[0].RetryAfter > 0)
	d := a.Offer(at(0.01), request("y", 1))
	assert.Equal(t, d.Outcome, Refuse)
	assert.Equal(t, d.Reason, Overload)
}

// A slot frees just after a request's deadline, before the next check. Its
// caller has given up; starting it would spend the slot on nobody.
func TestLateRequestIsNotStarted(t *testing.T) {
	a := newAdmission(Limits{}, 400)
	for i := range 400 {
		a.Offer(epoch, request(fmt.Sprint(i), 1))
	}
	a.Tick(epoch)
	assert.Equal(t, a.Offer(at(0.1), withDeadline(request("late", 1), 1)).Outcome, Queue)
	assert.Equal(t, len(a.Tick(at(0.9))), 0)
	a.Release(at(1.02), "0", Usage{PromptTokens: 1, CompletionTokens: 100})
	acts := a.Tick(at(1.02))
	assert.Equal(t, len(acts), 1)
	assert.Assert(t, !acts[0].Start)
}

// A flood of requests with far deadlines must not fill the daemon's memory.
func TestQueueIsBounded(t *testing.T) {
	a := newAdmission(Limits{}, 1)
	reasons := map[Reason]int{}
	for i := range 2 * a.cfg.MaxQueuedEach {
		reasons[a.Offer(epoch, withDeadline(request(fmt.Sprint(i), 1), 1e6)).Reason]++
	}
	assert.Equal(t, a.PoolState("p").Queued, a.cfg.MaxQueuedEach)
	assert.Equal(t, reasons[QueueFull], a.cfg.MaxQueuedEach-1)
}

// Demand moves between daemons and shares with it. If a share that grows
// brought its part of the burst along, moving back and forth would mint tokens.
func TestMovingSharesCreatesNoTokens(t *testing.T) {
	l := Limits{TokensPerSecond: 100, TokenBurst: 1_000}
	a := newAdmission(l, 8)
	a.SetLimits(epoch, "w", l, 0.1)
	a.SetLimits(epoch, "w", l, 1)
	assert.Equal(t, a.workspaces["w"].tokens.balance, 100.0)
}

// Five hundred callers are refused in one instant. Told the same time, they
// would be back in one instant; each is told a later one than those before it.
func TestRetryAfterSpreadsRefusedCallers(t *testing.T) {
	a := newAdmission(Limits{RequestsPerSecond: 100, RequestBurst: 1}, 1_000)
	a.Offer(epoch, request("first", 1))
	late := 0
	for i := range 500 {
		d := a.Offer(epoch, request(fmt.Sprint(i), 1))
		assert.Equal(t, d.Reason, RequestRate)
		if d.RetryAfter > 2*time.Second {
			late++
		}
	}
	assert.Assert(t, late > 250, "%d", late)
}

// A workspace that used little sends a burst while another floods the pool.
// Without credit for what it left unused, half of the burst would queue behind
// the flood.
func TestUnusedShareAllowsBurst(t *testing.T) {
	a := newAdmission(Limits{}, 10)
	for i := range 200 {
		r := withDeadline(request(fmt.Sprint(i), 1), 600)
		r.Workspace = "flood"
		a.Offer(epoch, r)
	}
	for i := range 4 {
		a.Offer(at(1), withDeadline(request(fmt.Sprint("quiet", i), 1), 600))
	}
	for i := range 4 {
		a.Release(at(2), fleet.RequestID(fmt.Sprint(i)), Usage{PromptTokens: 1, CompletionTokens: 100})
	}
	for i, act := range a.Tick(at(2)) {
		assert.Equal(t, act.Request, fleet.RequestID(fmt.Sprint("quiet", i)))
	}
}

// Model names come from callers; made-up ones must not grow memory.
func TestEstimatesAreBounded(t *testing.T) {
	var e estimates
	for i := range 10 * maxEstimates {
		e.observe(fleet.ModelRef{Model: fmt.Sprint(i)}, 10)
	}
	assert.Equal(t, len(e.mean), maxEstimates)
}

// Whatever comes in whatever order: bounds hold, the counts agree with what
// callers were told, and no request waits past its deadline or while it could run.
func TestLimitsHoldAndNoRequestIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{RequestsPerSecond: 20, RequestBurst: 10, TokensPerSecond: 4_000, TokenBurst: 2_000, Concurrency: 4}
		a := newAdmission(l, 6)
		a.cfg.Default = l
		waiting := map[fleet.RequestID]time.Time{}
		var running []fleet.RequestID
		now, ids := epoch, 0
		tick := func() {
			for _, act := range a.Tick(now) {
				_, waits := waiting[act.Request]
				assert.Assert(t, waits)
				delete(waiting, act.Request)
				if act.Start {
					running = append(running, act.Request)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				ids++
				r := request(fmt.Sprint(ids), rapid.IntRange(0, 2_000).Draw(t, "prompt"))
				r.Workspace = fleet.WorkspaceID(rapid.SampledFrom([]string{"w", "v", "u"}).Draw(t, "workspace"))
				r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5_000).Draw(t, "deadline")) * time.Millisecond)
				switch a.Offer(now, r).Outcome {
				case Admit:
					running = append(running, r.ID)
				case Queue:
					waiting[r.ID] = r.Deadline
				}
			},
			"release": func(t *rapid.T) {
				if len(running) > 0 {
					assert.Assert(t, a.Release(now, running[0], Usage{PromptTokens: 100, CompletionTokens: 50}))
					running = running[1:]
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
				for _, id := range running {
					assert.Assert(t, a.Extend(now, id))
				}
			},
			"": func(t *rapid.T) {
				tick()
				s := a.PoolState("p")
				assert.Assert(t, s.Running <= 6)
				assert.Equal(t, s.Running, len(running))
				assert.Equal(t, s.Queued, len(waiting))
				for _, w := range a.workspaces {
					assert.Assert(t, w.running <= 4)
				}
				for _, deadline := range waiting {
					assert.Assert(t, now.Sub(deadline) <= checkInterval)
				}
			},
		})
		now = now.Add(time.Minute)
		tick()
		assert.Equal(t, len(waiting), 0)
		if a.PoolState("p").Running == 0 {
			assert.Assert(t, a.NextTick().IsZero())
		}
	})
}
