package request

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

var (
	self    = Member{Daemon: "self", DataCentre: "a", Serving: true}
	members = []Member{
		self, {Daemon: "near", DataCentre: "a", Serving: true},
		{Daemon: "far", DataCentre: "b", Serving: true}, {Daemon: "gone", DataCentre: "b"},
	}
)

func newLeavingHandover(inFlight int, costs ...int) *Handover {
	p := DefaultHandoverPolicy()
	p.MaxInFlight = inFlight
	h := NewHandover(self, p)
	h.SetMembers(members)
	for i, cost := range costs {
		h.Add(Candidate{Ref: ref(fmt.Sprint(i)), Cost: cost, Remaining: time.Minute}, Accept("self"))
	}
	h.Leave(t0.Add(30 * time.Second))
	return h
}

func TestSuccessorsOfOtherDataCentresComeFirst(t *testing.T) {
	assert.DeepEqual(t, Successors("r", self, members), []fleet.DaemonID{"far", "near"})
}

// A daemon may end earlier than announced, and what it has not handed over is
// recomputed. So the most expensive requests go first, short ones are left to
// finish until the end is near, and an earlier second notice moves that forward.
func TestHandoverStartsWithTheMostExpensive(t *testing.T) {
	h := newLeavingHandover(2, 10, 3000, 200)
	h.Add(Candidate{Ref: ref("short"), Cost: 9000, Remaining: time.Second}, Accept("self"))
	assert.DeepEqual(t, h.Tick(t0), []HandoverAction{Prepare{Ref: ref("1")}, Prepare{Ref: ref("2")}})
	send := h.Ready(t0, ref("1"), true)[0].(Send)
	assert.DeepEqual(t, send.Offer, Offer{Ref: ref("1"), Number: 1, From: "self", To: "far"})
	h.Finished(ref("2"))
	assert.DeepEqual(t, h.Tick(t0), []HandoverAction{Prepare{Ref: ref("0")}})
	h.Leave(t0.Add(4 * time.Second))
	h.Leave(t0.Add(time.Minute))
	actions := h.Replied(t0, Reply{Offer: send.Offer, Answer: Taken})
	assert.DeepEqual(t, actions, []HandoverAction{Release{Ref: ref("1"), To: Rank{Number: 1, Holder: "far"}}})
	assert.DeepEqual(t, h.Tick(t0), []HandoverAction{Prepare{Ref: ref("short"), Urgent: true}})
}

// Guards against two daemons holding a request: the successor has taken it, and the
// origin adds it to the hand-over again before its Lifecycle was released.
func TestReleasedRequestIsNotOfferedAgain(t *testing.T) {
	h := newLeavingHandover(1)
	c := Accept("self")
	candidate := Candidate{Ref: ref("0"), Cost: 1, Remaining: time.Minute}
	h.Add(candidate, c)
	h.Tick(t0)
	offer := h.Ready(t0, ref("0"), false)[0].(Send).Offer
	h.Replied(t0, Reply{Offer: offer, Answer: Taken})
	h.Add(candidate, c)
	assert.Equal(t, len(h.Tick(t0)), 0)
	assert.Equal(t, c.Offer("near"), uint64(0))
}

// Guards against a non-idempotent request that runs twice. The offer of a request
// that has not been dispatched is unanswered, then the successor restarts without
// a record of it. Its former run may have dispatched the request, so it must not be
// offered to another daemon.
func TestUndispatchedNonIdempotentIsNotOfferedTwice(t *testing.T) {
	h := newLeavingHandover(1, 1)
	h.Tick(t0)
	offer := h.Ready(t0, ref("0"), false)[0].(Send).Offer
	for at := time.Duration(0); at < 10*time.Second; at += 250 * time.Millisecond {
		for _, o := range h.Tick(t0.Add(at)) {
			assert.DeepEqual(t, o, Send{Offer: offer})
		}
	}
	restarted := NewOwnershipTable("far-2")
	reply, fresh := restarted.Take(t0, offer, t0.Add(time.Minute), true)
	assert.Assert(t, !fresh)
	assert.DeepEqual(t, h.Replied(t0, reply), []HandoverAction{GiveUp{Ref: ref("0")}})
	assert.Assert(t, h.Settled())
}

// Hands over 1,000 requests with log-normal costs, all taken at once. lost-share is
// the share of tokens to be recomputed if the daemon ended half-way; in order of
// arrival it would be a half.
func BenchmarkHandover(b *testing.B) {
	b.ReportAllocs()
	random := rand.New(rand.NewPCG(1, 1))
	costs, total := make([]int, 1000), 0
	for i := range costs {
		costs[i] = int(4000 * math.Exp(random.NormFloat64()))
		total += costs[i]
	}
	saved := 0
	for b.Loop() {
		saved = 0
		h := newLeavingHandover(64, costs...)
		for h.Open() > 0 {
			for _, o := range h.Tick(t0) {
				i := h.items[o.(Prepare).Ref]
				if h.Open() > len(costs)/2 {
					saved += i.candidate.Cost
				}
				send := h.Ready(t0, i.candidate.Ref, true)[0].(Send)
				h.Replied(t0, Reply{Offer: send.Offer, Answer: Taken})
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/request")
	b.ReportMetric(1-float64(saved)/float64(total), "lost-share")
}
