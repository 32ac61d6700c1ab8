package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/faultproxy"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// cutFleet is a fleet, some of whose daemons have a path to the endpoints of their own.
type cutFleet struct {
	*testFleet
	path faultproxy.Path
	cut  []*Node
}

func newCutFleet(t *testing.T, whole, cut int) *cutFleet {
	t.Helper()
	f := &cutFleet{testFleet: newFleet(t, whole)}
	f.addEndpoint("e2")
	for range cut {
		f.cut = append(f.cut, f.addWithPath(&f.path))
	}
	f.awaitReady()
	f.until("both endpoints are listed", func(n *Node) bool {
		all, _ := n.endpoints.list()
		return len(all) == 2
	})
	return f
}

// closeIdle closes a daemon's idle connections to endpoints, as if others used them.
func (f *cutFleet) closeIdle(n *Node) {
	all, _ := n.endpoints.list()
	for _, e := range all {
		n.pool.CloseIdle(e.Address)
	}
}

// pathStates are the ways in which a path is lost.
var pathStates = map[string]faultproxy.PathState{
	"hanging": faultproxy.PathHanging, "reset": faultproxy.PathReset, "refuses new": faultproxy.PathRefusesNew,
}

// Guards against daemons that refuse what they can't send themselves while others can.
func TestCallersAreServedWithoutAPathToTheEndpoints(t *testing.T) {
	for name, state := range pathStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t, 2, 2)
			for _, n := range f.nodes {
				assert.Equal(t, sendRequest(n).status, 200)
			}
			f.path.Set(state)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, n := range f.cut {
					f.closeIdle(n)
					if out := sendRequest(n); out.status != 200 {
						return poll.Continue("%s: %+v", n.settings.Daemon.Instance, out)
					}
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
			for range 20 {
				for _, n := range f.cut {
					f.closeIdle(n)
					out := sendRequest(n)
					assert.Equal(t, out.status, 200, "%+v", out.refusal)
					assert.Equal(t, out.body, "done")
				}
			}
			f.path.Set(faultproxy.PathOpen)
			f.until("the path is in order", func(n *Node) bool { return n.paths.directShare(time.Now(), "s") == 1 })
			for _, n := range f.cut {
				assert.Equal(t, sendRequest(n).status, 200)
				assert.Equal(t, n.relay.Active(), 0)
			}
		})
	}
}

// Guards against requests that are suspected of a crash since a daemon has lost its path.
func TestLostPathIsNoCrash(t *testing.T) {
	f := newCutFleet(t, 2, 1)
	f.hold.Store(int64(300 * time.Millisecond))
	var sent sync.WaitGroup
	for range 6 {
		sent.Go(func() { sendRequest(f.cut[0]) })
	}
	time.Sleep(100 * time.Millisecond)
	f.path.Set(faultproxy.PathReset)
	sent.Wait()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, f.cut[0].crashes.table.CrashCount(), 0)
}

// Guards against daemons without a path that refuse for longer than others after an outage of endpoints.
func TestDaemonWithoutAPathServesAsSoonAsOthersDo(t *testing.T) {
	var outage, path faultproxy.Path
	f := &cutFleet{testFleet: newFleet(t, 0)}
	f.addEndpoint("e2")
	whole := []*Node{f.addWithPath(&outage), f.addWithPath(&outage)}
	f.cut = []*Node{f.addWithPath(&path), f.addWithPath(&path)}
	f.awaitReady()
	f.until("both endpoints are listed", func(n *Node) bool {
		all, _ := n.endpoints.list()
		return len(all) == 2
	})
	path.Set(faultproxy.PathReset)
	f.sendFor(time.Second, f.nodes)
	outage.Set(faultproxy.PathReset)
	f.sendFor(2*time.Second, f.nodes)
	outage.Set(faultproxy.PathOpen)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range whole {
			if out := sendRequest(n); out.status != 200 {
				return poll.Continue("%+v", out.refusal)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	served, all := f.sendFor(time.Second, f.cut)
	t.Logf("%d of %d served", served, all)
	assert.Assert(t, float64(served) >= 0.9*float64(all), "%d of %d", served, all)
}

// sendFor sends requests to daemons in turn for a time, and returns how many were served.
func (f *cutFleet) sendFor(d time.Duration, to []*Node) (served, all int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, n := range to {
			f.closeIdle(n)
			if sendRequest(n).status == 200 {
				served++
			}
			all++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return served, all
}

// Guards against a living endpoint that is taken for crashed by a daemon without a path to it.
func TestPathLostToOneEndpointIsNoCrash(t *testing.T) {
	f := newCutFleet(t, 3, 0)
	all, _ := f.nodes[0].endpoints.list()
	cutOff := all[0].Address
	n := f.addNode(Platform{Store: f.store, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == cutOff {
			return f.path.Dial(ctx, address)
		}
		return upstream.DialTCP(ctx, address)
	}}, func(*Node) {})
	f.awaitReady()
	f.until("both endpoints and all daemons are known", func(n *Node) bool {
		listed, _ := n.endpoints.list()
		return len(listed) == 2 && len(n.members.layout().serving) == 4
	})
	f.hold.Store(int64(300 * time.Millisecond))
	var sent sync.WaitGroup
	for range 12 {
		sent.Go(func() { sendRequest(n) })
	}
	time.Sleep(100 * time.Millisecond)
	f.path.Set(faultproxy.PathReset)
	sent.Wait()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, n.crashes.table.CrashCount(), 0)
}
