package reach

import (
	"cmp"
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
}

// NewChooser returns a chooser without offers. The random source belongs to it from then on.
func NewChooser(rng *rand.Rand) *Chooser {
	return &Chooser{rng: rng, inFlight: map[string]int{}, avoided: map[string]time.Time{}}
}

// SetKnown takes an offer; an empty one changes nothing.
func (c *Chooser) SetKnown(now time.Time, all []Peer) {
	if len(all) > 0 {
		c.known, c.knownAt = all, now
	}
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
func (c *Chooser) Choose(now time.Time, service string, tried []string, pinned bool) (address string, ok bool) {
	if now.Sub(c.knownAt) > offerTTL {
		return "", false
	}
	n := 0
	for _, i := range c.rng.Perm(len(c.known)) {
		p := &c.known[i]
		if pinned && !p.KeepsVersions || slices.Contains(tried, p.Address) || slices.Contains(p.Unreachable, service) || now.Before(c.avoided[p.Address]) {
			continue
		}
		if address == "" || c.inFlight[p.Address] < c.inFlight[address] {
			address = p.Address
		}
		if n++; n == 2 {
			break
		}
	}
	if address == "" {
		return "", false
	}
	c.inFlight[address]++
	return address, true
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
