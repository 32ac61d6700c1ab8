package placement

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Want is a model that should be served, and how much.
type Want struct {
	Model  fleet.ModelRef // with its version
	Role   string         // of the engines that serve it; empty: any
	Load   float64        // expected generated tokens a second from NeedBy on
	Min    int            // minimum of replicas; below 1 counts as 1
	Bytes  int64          // size of its weights
	NeedBy time.Time      // start of a closing (a workspace's load peak); zero: now
}

// replicas returns how many replicas the load and its headroom take, at least Min.
func (w Want) replicas(cfg *Config) int {
	n := int(math.Ceil(w.Load * (1 + cfg.Headroom) / cfg.EngineRate))
	return max(1, w.Min, n)
}

// floor returns how many replicas must serve during a version change: those that the
// load takes without headroom, at least one.
func (w Want) floor(cfg *Config) int {
	return max(1, int(math.Ceil(w.Load/cfg.EngineRate)))
}
