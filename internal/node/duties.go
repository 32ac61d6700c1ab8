package node

import (
	"context"
	"time"
)

// duties is what the holder of the lease does for all.
type duties struct{ node *Node }

func newDuties(n *Node) *duties { return &duties{node: n} }

func (d *duties) run(ctx context.Context) { every(ctx, time.Second, func() {}) }
