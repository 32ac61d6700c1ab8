package placement

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Want is a model that must be served.
type Want struct {
	Model  fleet.ModelRef // with its version
	Role   string         // of the engines that serve it; empty for any
	Load   float64        // generated tokens a second, expected from NeedBy on
	Min    int            // least replicas, at least 1
	Bytes  int64          // of its weights
	NeedBy time.Time      // a closing's start; zero is now
}

// replicas returns how many replicas carry the load with headroom.
func (w Want) replicas(cfg *Config) int {
	n := int(math.Ceil(w.Load * (1 + cfg.Headroom) / cfg.EngineRate))
	return max(1, w.Min, n)
}

// floor returns how many must serve while versions change: those that carry
// the load without headroom, and one at least.
func (w Want) floor(cfg *Config) int {
	return max(1, int(math.Ceil(w.Load/cfg.EngineRate)))
}
