package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/scorer"
)

// Config is a router's configuration. Zero fields take the defaults.
type Config struct {
	Policy        PolicyName
	Region        fleet.Region // of this daemon
	Weights       *scorer.Weights
	FirstToken    time.Duration // latency target until the first token
	TokenInterval time.Duration // latency target between tokens
	// IndexBlocks is the number of blocks in the prefix index, 48 bytes each.
	IndexBlocks int
	// SameRegionRTT and OtherRegionRTT are the assumed round trips to another
	// data centre of the same region and to one of another region.
	SameRegionRTT, OtherRegionRTT time.Duration
}

// Defaults. Of all answers, 95% must meet the latency targets.
const (
	defaultFirstToken     = 1500 * time.Millisecond
	defaultTokenInterval  = 34 * time.Millisecond
	defaultIndexBlocks    = 1 << 16 // 3 MB
	defaultSameRegionRTT  = 2 * time.Millisecond
	defaultOtherRegionRTT = 60 * time.Millisecond
)

// DefaultWeights are the weights where Config has none. Their comparison with
// other weights is in docs/adr/0006-routing.md.
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
