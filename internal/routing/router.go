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
	byHandle    []*endpoint // by slot; nil is free
	freeHandles []uint32    // free slots
	generation  uint64      // of the endpoint list
	notices     notices
	classes     map[string]*estimate.TokenLatency
	sets        map[setKey]*replicaSet
	stale       bool // the sets' members need rebuilding

	index    *prefix.Index
	attempts map[attemptKey]attempt
	reserved []reservation
	decode   latency // of all engines: first token to last

	picks   uint64 // counts picks
	scratch scratch
}

// New returns a router for a daemon in data centre self. The random source
// belongs to the router from now on.
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

// latencyTargets are the latencies to keep, in seconds.
type latencyTargets struct {
	firstToken    float64 // to the first token
	tokenInterval float64 // between tokens
}
