package exchange

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// A hub sends all daemons the same total of loads. Each must subtract its own part, or its
// own requests would count twice.
func TestOthersLoadsExcludeOwn(t *testing.T) {
	h := NewHub(reportInterval)
	a, b := newReport("a", 0, 2, 0), newReport("b", 0, 5, 0)
	a.Soft.Load[rendezvous.ShortKeyOf("only a's")] = balance.Load{Requests: 1, PendingPrefill: 640}
	h.Add(start, 0, a)
	h.Add(start, 0, b)
	assert.DeepEqual(t, h.Loads(start, "a").Others(), balance.Loads{testEndpoint: {Requests: 5}})
	assert.DeepEqual(t, h.Loads(start, "b").Others(), balance.Loads{
		testEndpoint: {Requests: 2}, rendezvous.ShortKeyOf("only a's"): {Requests: 1, PendingPrefill: 640},
	})
	assert.Equal(t, len(h.Loads(start, "new").Others()), 2)
}

func TestLoadsRoundTrip(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("a", 0, 2, 0))
	h.Add(start, 0, newReport("b", 0, 5, 0))
	reply := decodeReply(encodeReply(&Reply{Loads: h.Loads(start, "a")}))
	assert.DeepEqual(t, reply.Loads.Others(), balance.Loads{testEndpoint: {Requests: 5}})
	withoutLoads := decodeReply(encodeReply(&Reply{}))
	assert.Assert(t, withoutLoads.Loads == nil)
}

// Lists of different lengths must not crash a daemon.
func FuzzDecodeLoads(f *testing.F) {
	seed, err := proto.Marshal(encodeLoads(balance.Loads{testEndpoint: {Requests: 3, PendingPrefill: 128}}))
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0d, 1, 2, 3, 4, 0x10, 7})
	f.Fuzz(func(t *testing.T, text []byte) {
		var p exchangepb.Loads
		if proto.Unmarshal(text, &p) != nil {
			return
		}
		got := decodeLoads(&p)
		assert.Assert(t, len(got) <= len(p.Endpoints))
	})
}
