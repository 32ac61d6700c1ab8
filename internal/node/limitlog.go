package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
)

// limitLog logs the workspaces whose limit begins or ends to be spent by priority.
type limitLog struct {
	node   *Node
	logged map[fleet.WorkspaceID]bool // as spent by priority
}

func newLimitLog(n *Node) *limitLog { return &limitLog{node: n, logged: map[fleet.WorkspaceID]bool{}} }

func (l *limitLog) run(ctx context.Context) {
	pause.Every(ctx, time.Second, func() { l.update(l.node.state.LimitShares(time.Now())) })
}

// update logs what differs from the last update.
func (l *limitLog) update(all map[fleet.WorkspaceID]quota.RouteShares) {
	log := l.node.logFor("limits")
	for w, shares := range all {
		if !l.logged[w] {
			log.WithField("workspace", w).WithField("shares", shares).Warn("limit spent by priority")
			l.logged[w] = true
		}
	}
	for w := range l.logged {
		if all[w] == nil {
			log.WithField("workspace", w).Info("limit no longer short")
			delete(l.logged, w)
		}
	}
}
