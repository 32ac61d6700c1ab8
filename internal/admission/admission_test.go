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

// Guards against refusals that charge the workspace. Refused callers retry, so
// each retry would delay the next one further, and the workspace would get less
// than its limits.
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
	// At 1.1 s the debt is 190 tokens, a wait below MaxTokenWait, and the request
	// bucket still holds the token that the refusals did not take.
	assert.Equal(t, a.Offer(at(1.1), withDeadline(request("d", 1), 60)).Outcome, Queue)
}

// Guards against a queued request that starts while its workspace is in debt,
// and against refunding the same request twice.
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

// A stream is released twice: when the caller cancels and when the engine closes
// it. If each release just decremented a counter, the second one would free the
// slot of another request.
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

// A request's handler fails without a release. Its slot must become free, and a
// late release must not be settled after the expiry. A request whose lease is
// extended keeps its slot.
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

// A caller that lost the response offers the request again with the same id.
// Counted twice, it would hold two slots and be charged twice.
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

// Capacity is lost while requests are queued, so that more requests run than
// there are slots. A queued request that would miss its deadline must be refused
// at once: near the deadline it would be too late to retry at another entry. The
// refusal must refund the request rate.
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

// A slot becomes free just after a request's deadline and before the next check.
// The caller has given up, so a start would waste the slot.
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

// Many requests with distant deadlines must not exhaust the daemon's memory.
func TestQueueIsBounded(t *testing.T) {
	a := newAdmission(Limits{}, 1)
	reasons := map[Reason]int{}
	for i := range 2 * a.cfg.MaxQueuedEach {
		reasons[a.Offer(epoch, withDeadline(request(fmt.Sprint(i), 1), 1e6)).Reason]++
	}
	assert.Equal(t, a.PoolState("p").Queued, a.cfg.MaxQueuedEach)
	assert.Equal(t, reasons[QueueFull], a.cfg.MaxQueuedEach-1)
}

// Shares follow demand from daemon to daemon. If a growing share also granted its
// part of the burst, moving it back and forth would create tokens.
func TestMovingSharesCreatesNoTokens(t *testing.T) {
	l := Limits{TokensPerSecond: 100, TokenBurst: 1_000}
	a := newAdmission(l, 8)
	a.SetLimits(epoch, "w", l, 0.1)
	a.SetLimits(epoch, "w", l, 1)
	assert.Equal(t, a.workspaces["w"].tokens.balance, 100.0)
}

// Five hundred callers are refused at the same moment. With the same RetryAfter
// they would all retry at the same moment, so each gets a later one than those
// before it.
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

// A workspace that used less than its share sends a burst while another
// overloads the pool. Without credit for its unused share, half of the burst
// would queue behind the other's requests.
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

// Model names come from callers: invented names must not grow memory.
func TestEstimatesAreBounded(t *testing.T) {
	var e estimates
	for i := range 10 * maxEstimates {
		e.observe(fleet.ModelRef{Model: fmt.Sprint(i)}, 10)
	}
	assert.Equal(t, len(e.mean), maxEstimates)
}

// For any order of calls: the bounds hold, the counts match the decisions
// returned to callers, and no request stays queued past its deadline or while it
// could run.
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
