package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
)

// The place in the store of what is kept of the limits.
const (
	limitsKind = "limits"
	limitsName = "kept"
)

// limitsCheckpoint is what daemons that are all killed at once know of before.
type limitsCheckpoint struct {
	At time.Time `json:"at"` // the fleet's
	// Daemons is how many there were; daemons that start again divide limits by it
	// until they hear of each other.
	Daemons int                                    `json:"daemons"`
	Limits  map[fleet.WorkspaceID]quota.Checkpoint `json:"limits"`
	// Crashes is what requests are held for.
	Crashes []quarantine.Crash `json:"crashes,omitempty"`
}

// limitsWriter writes it. It belongs to the duties' goroutine.
type limitsWriter struct {
	duties *duties
	busy   bool
	last   time.Time
	limits map[fleet.WorkspaceID]quota.Checkpoint // as written last
}

// due reports whether limits are to be written: each second, and at once where much
// was spent since that no reader could know of.
func (k *limitsWriter) due(now time.Time) bool {
	ago := now.Sub(k.last)
	return !k.busy && (ago >= checkpointInterval || k.duties.node.state.CheckpointsOutdated(now, ago, k.limits))
}

// step writes when that is due.
func (k *limitsWriter) step(ctx context.Context, now time.Time) {
	if !k.due(now) {
		return
	}
	n := k.duties.node
	k.last, k.limits = now, n.state.LimitCheckpoints(now)
	text, err := json.Marshal(limitsCheckpoint{n.clock.Now(), n.members.cachedCount(), k.limits, n.crashes.table.Snapshot()})
	if err != nil {
		k.duties.log.WithError(err).Error("limits not encoded")
		return
	}
	k.busy = true
	k.duties.call(ctx, func() func(time.Time) {
		err := n.put(ctx, limitsKind, limitsName, text)
		return func(time.Time) {
			k.busy = false
			if err != nil {
				k.duties.log.WithError(err).Info("limits not kept")
			}
		}
	})
}

// put writes an object, whatever it is now.
func (n *Node) put(ctx context.Context, kind, name string, text []byte) error {
	_, err := n.platform.Store.Replace(ctx, kind, name, 0, text)
	if errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict) {
		_, err = n.platform.Store.Create(ctx, kind, name, text)
	}
	return err
}

// restoreLimits reads how many daemons there were before this one started, and what
// the limits had left.
func (n *Node) restoreLimits(ctx context.Context) {
	if n.settings.Daemon.FirstStart {
		return
	}
	kept, err := stored[limitsCheckpoint](n.platform.Store.Get(ctx, limitsKind, limitsName))
	if err != nil {
		n.logFor("daemon").WithError(err).Info("fleet not known from before")
		return
	}
	n.crashes.add(kept.Crashes)
	n.members.prior.Store(&kept.Daemons)
	now := time.Now()
	n.state.SetDaemons(now, max(kept.Daemons, len(n.members.serving())))
	n.state.RestoreLimits(now, n.clock.Now().Sub(kept.At), kept.Limits)
}
