package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/scorer"
)

// Config is a router's settings. Zero fields take the defaults.
type Config struct {
	Policy        PolicyName
	Region        fleet.Region // of this daemon
	Weights       *scorer.Weights
	FirstToken    time.Duration // target of the first token
	TokenInterval time.Duration // target between tokens
	// IndexBlocks bounds the prefix index; an entry takes 48 bytes.
	IndexBlocks int
	// SameRegionRTT and OtherRegionRTT are the round trips assumed to a data centre
	// of this region and of another one.
	SameRegionRTT, OtherRegionRTT time.Duration
}

// Defaults: the targets are the users' (95 in 100 answers within them).
const (
	defaultFirstToken     = 1500 * time.Millisecond
	defaultTokenInterval  = 34 * time.Millisecond
	defaultIndexBlocks    = 1 << 16 // 3 MB
	defaultSameRegionRTT  = 2 * time.Millisecond
	defaultOtherRegionRTT = 60 * time.Millisecond
)

// DefaultWeights were found by the comparison in docs/adr/0006-routing.md.
var DefaultWeights = scorer.Weights{
	Recompute:    2,
	AgreedCached: 0.3,
	Wait:         1000,
	Load:         2000,
	Price:        2,
	DialFailure:  20000,
}

func (c Config) withDefaults() Config {
	c.Policy = or(c.Policy, Cyclamenbeam)
	if c.Weights == nil {
		c.Weights = &DefaultWeights
	}
	c.FirstToken = or(c.FirstToken, defaultFirstToken)
	c.TokenInterval = or(c.TokenInterval, defaultTokenInterval)
	c.IndexBlocks = or(c.IndexBlocks, defaultIndexBlocks)
	c.SameRegionRTT = or(c.SameRegionRTT, defaultSameRegionRTT)
	c.OtherRegionRTT = or(c.OtherRegionRTT, defaultOtherRegionRTT)
	return c
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
