package routing

import (
	"math/rand/v2"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/prefix"
)

// Router chooses endpoints for one daemon. It is not safe for concurrent use.
type Router struct {
	config Config
	self   fleet.DataCentre
	rng    *rand.Rand
	target latencyTargets

	endpoints   map[fleet.EndpointID]*endpoint
	byHandle    []*endpoint // by handle; nil is free
	freeHandles []uint32    // to be reused
	generation  uint64      // number of the newest endpoint list
	notices     notices
	classes     map[string]*estimate.TokenLatency // by machine class
	sets        map[setKey]*replicaSet
	stale       bool // the members of sets must be rebuilt

	index    *prefix.Index
	attempts map[attemptKey]attempt
	reserved []reservation // in order of expiry
	decode   latency       // from the first token to the last, over all engines

	picks   uint64 // number of picks so far
	scratch scratch
}

// New returns a router for a daemon in data centre self. The router takes
// ownership of rng.
func New(config Config, self fleet.DataCentre, rng *rand.Rand) *Router {
	config = config.withDefaults()
	return &Router{
		config:    config,
		self:      self,
		rng:       rng,
		target:    latencyTargets{firstToken: config.FirstToken.Seconds(), tokenInterval: config.TokenInterval.Seconds()},
		endpoints: map[fleet.EndpointID]*endpoint{},
		notices:   notices{},
		classes:   map[string]*estimate.TokenLatency{},
		sets:      map[setKey]*replicaSet{},
		index:     prefix.NewIndex(config.IndexBlocks),
		attempts:  map[attemptKey]attempt{},
	}
}

// latencyTargets are the latency targets in seconds.
type latencyTargets struct {
	firstToken    float64
	tokenInterval float64 // between tokens
}
