package reach

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// offerCount is how many daemons a hub offers to one that has lost a path, and
	// offerSample how many it compares for them.
	offerCount  = 8
	offerSample = 24
	// directAttempts is the number of unreachable endpoints after which a request goes through
	// another daemon, while some endpoints of its service can be reached.
	directAttempts = 2
	// offerTTL is how long an offer is used.
	offerTTL = 10 * time.Second
	// avoidance is how long a daemon that didn't answer is avoided.
	avoidance = 2 * time.Second
	// openMemory is how long a way that was found open counts: until the next offer.
	openMemory = time.Second
	// visitPause is the least time between two requests that look for endpoints through the same
	// daemon though it has lost the path: it bounds the visits in vain, and callers wait for it
	// once endpoints are back.
	visitPause = 50 * time.Millisecond
)

// Peer is another daemon that takes forwarded requests.
type Peer struct {
	Address     string
	Unreachable []string // services to whose endpoints it has lost the path
	// KeepsVersions means that it sends a stream that goes on to endpoints of the version that
	// began it; an earlier release doesn't.
	KeepsVersions bool
	Remote        bool // in another region
	Running       int  // its requests in progress
}

// Offer returns the daemons to offer to one that has lost a path: in its region if there are
// any, with the fewest lost paths, and of a random sample those with the fewest requests. It
// reorders peers.
func Offer(rng *rand.Rand, peers []Peer) []Peer {
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Or(compareRemote(a, b), len(a.Unreachable)-len(b.Unreachable)) })
	sample := peers[:min(len(peers), offerSample)]
	slices.SortStableFunc(sample, func(a, b Peer) int {
		return cmp.Or(compareRemote(a, b), len(a.Unreachable)-len(b.Unreachable), a.Running-b.Running)
	})
	return sample[:min(len(sample), offerCount)]
}

// compareRemote orders daemons of the same region first.
func compareRemote(a, b Peer) int {
	switch {
	case a.Remote == b.Remote:
		return 0
	case a.Remote:
		return 1
	default:
		return -1
	}
}

// MaxPeers is how many peers Offer needs at most: enough for its sample where half of the
// daemons have lost their paths.
const MaxPeers = 4 * offerSample

// Chooser chooses among the daemons that a hub has offered. It is not safe for concurrent
// use.
type Chooser struct {
	rng      *rand.Rand
	known    []Peer
	knownAt  time.Time
	inFlight map[string]int       // requests through each, by address
	avoided  map[string]time.Time // until when, by address
	open     map[way]time.Time    // until when a way counts as open, whatever is offered
	visitAt  map[way]time.Time    // the earliest time of the next visit
}

// way is the way to a service's endpoints through a daemon.
type way struct{ service, address string }

// NewChooser returns a chooser without offers. The random source belongs to it from then on.
func NewChooser(rng *rand.Rand) *Chooser {
	return &Chooser{
		rng: rng, inFlight: map[string]int{}, avoided: map[string]time.Time{}, open: map[way]time.Time{}, visitAt: map[way]time.Time{},
	}
}

// SetKnown takes an offer; an empty one changes nothing.
func (c *Chooser) SetKnown(now time.Time, all []Peer) {
	if len(all) > 0 {
		c.known, c.knownAt = all, now
	}
	past := func(_ way, at time.Time) bool { return !now.Before(at) }
	maps.DeleteFunc(c.open, past)
	maps.DeleteFunc(c.visitAt, past)
}

// GoDirect reports whether a request goes to an endpoint directly, where directShare of the
// requests should and it has found some endpoints unreachable.
func (c *Chooser) GoDirect(directShare float64, unreached int) bool {
	switch {
	case unreached >= directAttempts, directShare <= 0:
		return false
	case directShare >= 1:
		return true
	default:
		return c.rng.Float64() < directShare
	}
}

// Choose returns the daemon for a request for a service: of two drawn at random the one with
// fewer requests of this daemon. ok is false if there is none beside the tried ones. pinned
// requests a daemon that keeps versions.
//
// Where all have lost the path, the service's endpoints may have been down and be back before
// the others report it: a request that has found endpoints unreachable visits one with the fewest
// lost paths, and no second one; at most one request in visitPause visits each.
func (c *Chooser) Choose(now time.Time, service string, unreached int, tried []string, pinned bool) (address string, ok bool) {
	if now.Sub(c.knownAt) > offerTTL {
		return "", false
	}
	usable := func(p *Peer) bool {
		return (p.KeepsVersions || !pinned) && !slices.Contains(tried, p.Address) && !now.Before(c.avoided[p.Address])
	}
	address = c.draw(func(p *Peer) bool { return usable(p) && c.hasPath(now, service, p) })
	if address == "" && unreached > 0 && len(tried) == 0 {
		address = c.visit(now, service, usable)
	}
	if address == "" {
		return "", false
	}
	c.inFlight[address]++
	return address, true
}

// hasPath reports whether a daemon has a path to a service's endpoints, as offered or as found.
func (c *Chooser) hasPath(now time.Time, service string, p *Peer) bool {
	return !slices.Contains(p.Unreachable, service) || now.Before(c.open[way{service, p.Address}])
}

// visit draws a daemon that has lost the path to a service, empty if none may be visited now.
func (c *Chooser) visit(now time.Time, service string, usable func(*Peer) bool) string {
	fewest := c.fewestLost(usable)
	address := c.draw(func(p *Peer) bool {
		return usable(p) && len(p.Unreachable) == fewest && !now.Before(c.visitAt[way{service, p.Address}])
	})
	if address != "" {
		c.visitAt[way{service, address}] = now.Add(visitPause)
	}
	return address
}

// FoundOpen records that a daemon has run a request for a service.
func (c *Chooser) FoundOpen(now time.Time, service, address string) {
	c.open[way{service, address}] = now.Add(openMemory)
}

// draw draws two daemons of those that are allowed and returns the address of the one with
// fewer requests of this daemon, empty if none is allowed.
func (c *Chooser) draw(allowed func(*Peer) bool) string {
	address, n := "", 0
	for _, i := range c.rng.Perm(len(c.known)) {
		p := &c.known[i]
		if !allowed(p) {
			continue
		}
		if address == "" || c.inFlight[p.Address] < c.inFlight[address] {
			address = p.Address
		}
		if n++; n == 2 {
			break
		}
	}
	return address
}

// fewestLost returns the smallest number of lost paths of the daemons that are allowed.
func (c *Chooser) fewestLost(allowed func(*Peer) bool) int {
	fewest := math.MaxInt
	for i := range c.known {
		if p := &c.known[i]; allowed(p) {
			fewest = min(fewest, len(p.Unreachable))
		}
	}
	return fewest
}

// Done records the end of a request through a daemon, and whether that answered.
func (c *Chooser) Done(now time.Time, address string, answered bool) {
	if c.inFlight[address]--; c.inFlight[address] <= 0 {
		delete(c.inFlight, address)
	}
	delete(c.avoided, address)
	if !answered {
		c.avoided[address] = now.Add(avoidance)
	}
}
