package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that all go through the same few daemons.
func TestForwardedRequestsAreSpreadAtAnySize(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		for _, half := range []string{"every second one", "whole data centres"} {
			t.Run(fmt.Sprintf("%d daemons, cut off: %s", daemons, half), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(daemons), 1))
				isCut := func(i int) bool {
					if half == "every second one" {
						return i%2 == 0
					}
					return i%4 < 2 // of four data centres
				}
				taken := map[string]int{}
				running := make([]int, daemons)
				choosers := make([]*Chooser, daemons)
				cut := 0
				for i := range choosers {
					choosers[i] = NewChooser(rand.New(rand.NewPCG(uint64(i), 2)))
					if isCut(i) {
						cut++
					}
				}
				const rounds, perRound = 8, 10 // reports, and requests between two of them
				for round := range rounds {
					now := start.Add(time.Duration(round) * time.Second)
					reported := append([]int{}, running...)
					clear(running)
					for i, c := range choosers {
						if !isCut(i) {
							continue
						}
						c.SetKnown(now, Offer(rng, peersOf(daemons, i, reported, isCut)))
						for range perRound {
							address, ok := c.Choose(now, "s", 0, nil, false)
							assert.Assert(t, ok)
							at := 0
							_, err := fmt.Sscanf(address, "d%d", &at)
							assert.NilError(t, err)
							assert.Assert(t, !isCut(at), "through %s, which has lost its path", address)
							taken[address]++
							running[at]++
							c.Done(now, address, true)
						}
					}
				}
				most := 0
				for _, n := range taken {
					most = max(most, n)
				}
				own := rounds * perRound // requests of its own callers, at the same rate
				share := float64(cut) / float64(daemons-cut)
				t.Logf("most forwarded to a daemon: %.2f of its own requests, %.2f on average", float64(most)/float64(own), share)
				assert.Assert(t, float64(most) <= 2*share*float64(own), "%d of %d", most, own)
			})
		}
	}
}

func peersOf(daemons, self int, running []int, isCut func(int) bool) []Peer {
	var out []Peer
	for _, i := range rand.New(rand.NewPCG(uint64(self), uint64(len(running)))).Perm(daemons) {
		if i == self || len(out) == MaxPeers {
			continue
		}
		p := Peer{Address: fmt.Sprint("d", i), Running: running[i]}
		if isCut(i) {
			p.Unreachable = []string{"s"}
		}
		out = append(out, p)
	}
	return out
}

func TestDaemonThatDoesNotAnswerIsAvoided(t *testing.T) {
	c := NewChooser(rand.New(rand.NewPCG(1, 1)))
	c.SetKnown(start, []Peer{{Address: "d1"}})
	address, ok := c.Choose(start, "s", 0, nil, false)
	assert.Assert(t, ok)
	_, ok = c.Choose(start, "s", 0, []string{address}, false)
	assert.Assert(t, !ok)
	c.Done(start, address, false)
	_, ok = c.Choose(start, "s", 0, nil, false)
	assert.Assert(t, !ok)
	_, ok = c.Choose(start.Add(avoidance), "s", 0, nil, false)
	assert.Assert(t, ok)
	_, ok = c.Choose(start.Add(2*offerTTL), "s", 0, nil, false)
	assert.Assert(t, !ok) // the offer is too old
}

func TestRequestsGoDirectWhereTheyCan(t *testing.T) {
	c := NewChooser(rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, c.GoDirect(1, 0))
	assert.Assert(t, c.GoDirect(1, directAttempts-1))
	assert.Assert(t, !c.GoDirect(1, directAttempts)) // a part of the endpoints can't be reached
	assert.Assert(t, !c.GoDirect(0, 0))
	direct := 0
	for range 1000 {
		if c.GoDirect(0.3, 0) {
			direct++
		}
	}
	assert.Assert(t, direct > 200 && direct < 400, "%d", direct)
}

func TestOfferPrefersTheRegion(t *testing.T) {
	peers := []Peer{{Address: "far", Remote: true}, {Address: "near", Running: 100}}
	assert.Equal(t, Offer(rand.New(rand.NewPCG(1, 1)), peers)[0].Address, "near")
}

// Guards against a stream that goes on through a daemon which doesn't keep to its version.
func TestPinnedRequestGoesThroughDaemonsThatKeepVersions(t *testing.T) {
	c := NewChooser(rand.New(rand.NewPCG(1, 2)))
	c.SetKnown(start, []Peer{{Address: "old"}, {Address: "new", KeepsVersions: true}})
	for range 20 {
		address, ok := c.Choose(start, "s", 0, nil, true)
		assert.Assert(t, ok && address == "new")
	}
	_, ok := c.Choose(start, "s", 0, []string{"new"}, true)
	assert.Assert(t, !ok)
	address, ok := c.Choose(start, "s", 0, []string{"new"}, false)
	assert.Assert(t, ok && address == "old")
}

// Guards against callers who wait for other daemons' reports once endpoints are back.
func TestRequestGoesThroughAnotherWhereAllHaveLostThePath(t *testing.T) {
	c := NewChooser(rand.New(rand.NewPCG(1, 2)))
	c.SetKnown(start, []Peer{
		{Address: "cut off", Unreachable: []string{"r", "s"}},
		{Address: "one", Unreachable: []string{"s"}},
		{Address: "other", Unreachable: []string{"s"}},
	})
	_, ok := c.Choose(start, "s", 0, nil, false)
	assert.Assert(t, !ok)
	first, ok := c.Choose(start, "s", 1, nil, false)
	assert.Assert(t, ok && first != "cut off", "%q", first)
	second, ok := c.Choose(start, "s", 1, nil, false)
	assert.Assert(t, ok && second != "cut off" && second != first, "%q", second)

	c.FoundOpen(start, "s", second)
	for range 20 {
		address, ok := c.Choose(start, "s", 0, nil, false)
		assert.Assert(t, ok && address == second, "%q", address)
	}
	_, ok = c.Choose(start.Add(openMemory), "s", 0, nil, false)
	assert.Assert(t, !ok)
}

// Guards against requests that all visit other daemons in vain while a service is down.
func TestDownServiceIsLookedForNowAndThen(t *testing.T) {
	c := NewChooser(rand.New(rand.NewPCG(1, 2)))
	c.SetKnown(start, []Peer{{Address: "d1", Unreachable: []string{"s"}}, {Address: "d2", Unreachable: []string{"s"}}})
	visits := 0
	for i := range 1000 { // for a second
		if _, ok := c.Choose(start.Add(time.Duration(i)*time.Millisecond), "s", 1, nil, false); ok {
			visits++
		}
	}
	assert.Equal(t, visits, 2*int(time.Second/visitPause))
}

// Guards against callers who are refused on, in a fleet of any size, once endpoints are back.
func TestServiceThatWasDownIsFoundAgainAtAnySize(t *testing.T) {
	const (
		step  = 50 * time.Millisecond // between two requests of a daemon's callers
		down  = 20                    // steps until the endpoints are back
		steps = 40
	)
	for _, daemons := range []int{9, 78, 340, 986} {
		rng := rand.New(rand.NewPCG(uint64(daemons), 3))
		isCut := func(i int) bool { return i%2 == 0 }
		running := make([]int, daemons)
		visits := map[string]int{}
		served, all := 0, 0
		for i := range daemons {
			if !isCut(i) {
				continue
			}
			peers := peersOf(daemons, i, running, isCut)
			for j := range peers {
				if len(peers[j].Unreachable) > 0 {
					peers[j].Unreachable = []string{"r", "s"}
					continue
				}
				peers[j].Unreachable = []string{"s"}
			}
			c := NewChooser(rand.New(rand.NewPCG(uint64(i), 4)))
			c.SetKnown(start, Offer(rng, peers))
			for k := range steps {
				now := start.Add(time.Duration(k) * step)
				address, found := c.Choose(now, "s", 1, nil, false)
				if found {
					visits[address]++
					c.Done(now, address, true)
				}
				if k < down {
					continue
				}
				all++
				if found {
					served++
					c.FoundOpen(now, "s", address)
				}
			}
		}
		most := 0
		for _, n := range visits {
			most = max(most, n)
		}
		t.Logf("%d daemons, half of them cut off: %d of %d served, %d visits at most to one, %d requests at each", daemons, served, all, most, steps)
		assert.Assert(t, float64(served) >= 0.9*float64(all), "%d of %d", served, all)
	}
}
