package request

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

var (
	self   = Member{Daemon: "self", DataCentre: "a", Serving: true}
	others = []Member{
		self, {Daemon: "near", DataCentre: "a", Serving: true},
		{Daemon: "far", DataCentre: "b", Serving: true}, {Daemon: "gone", DataCentre: "b"},
	}
)

func leaving(inFlight int, costs ...int) *Handover {
	p := DefaultHandoverPolicy()
	p.InFlight = inFlight
	h := NewHandover(self, p)
	h.SetMembers(others)
	for i, cost := range costs {
		h.Add(Candidate{Ref: ref(fmt.Sprint(i)), Cost: cost, Remaining: time.Minute}, Accept("self"))
	}
	h.Leave(t0.Add(30 * time.Second))
	return h
}

func TestSuccessorsOfOtherDataCentresComeFirst(t *testing.T) {
	assert.DeepEqual(t, Successors("r", self, others), []fleet.DaemonID{"far", "near"})
}

// A daemon dies earlier than announced: what it has not handed over is
// recomputed. So the most expensive goes first, short ones are left to finish
// until the end is near, and a second notice that is earlier brings that forward.
func TestHandoverOrder(t *testing.T) {
	h := leaving(2, 10, 3000, 200)
	h.Add(Candidate{Ref: ref("short"), Cost: 9000, Remaining: time.Second}, Accept("self"))
	assert.DeepEqual(t, h.Tick(t0), []Order{Prepare{Ref: ref("1")}, Prepare{Ref: ref("2")}})
	send := h.Ready(t0, ref("1"), true)[0].(Send)
	assert.DeepEqual(t, send.Offer, Offer{Ref: ref("1"), Number: 1, From: "self", To: "far"})
	h.Finished(ref("2"))
	assert.DeepEqual(t, h.Tick(t0), []Order{Prepare{Ref: ref("0")}})
	h.Leave(t0.Add(4 * time.Second))
	h.Leave(t0.Add(time.Minute))
	orders := h.Replied(t0, Reply{Offer: send.Offer, Answer: Taken})
	assert.DeepEqual(t, orders, []Order{Release{Ref: ref("1"), To: Rank{Number: 1, Holder: "far"}}})
	assert.DeepEqual(t, h.Tick(t0), []Order{Prepare{Ref: ref("short"), Urgent: true}})
}

// The dealer would get two orders: the offer of an order that has not been
// dispatched is not answered, then the successor restarts and knows nothing of
// it. Its former run may have dispatched. The request must not go to another.
func TestUndispatchedOrderIsNotOfferedTwice(t *testing.T) {
	h := leaving(1, 1)
	h.Tick(t0)
	offer := h.Ready(t0, ref("0"), false)[0].(Send).Offer
	for at := time.Duration(0); at < 10*time.Second; at += 250 * time.Millisecond {
		for _, o := range h.Tick(t0.Add(at)) {
			assert.DeepEqual(t, o, Send{Offer: offer})
		}
	}
	restarted := NewHoldings("far-2")
	reply, fresh := restarted.Take(t0, offer, t0.Add(time.Minute), true)
	assert.Assert(t, !fresh)
	assert.DeepEqual(t, h.Replied(t0, reply), []Order{GiveUp{Ref: ref("0")}})
	assert.Assert(t, h.Settled())
}

// One hand-over of 1,000 requests, all taken at once.
func BenchmarkHandover(b *testing.B) {
	b.ReportAllocs()
	costs := make([]int, 1000)
	for i := range costs {
		costs[i] = i * 7919 % 1000
	}
	for b.Loop() {
		h := leaving(64, costs...)
		for h.Open() > 0 {
			for _, o := range h.Tick(t0) {
				send := h.Ready(t0, o.(Prepare).Ref, true)[0].(Send)
				h.Replied(t0, Reply{Offer: send.Offer, Answer: Taken})
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/request")
}
