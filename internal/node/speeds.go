package node

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

// watchHoldUps lets the state detect that this process was held up, until the context ends.
func (n *Node) watchHoldUps(ctx context.Context) {
	pause.Every(ctx, pause.MonitorInterval, func() { n.state.Tick(time.Now()) })
}

// logSlowChanges logs the endpoints that have become slow, or are no longer. All daemons
// estimate nearly the same, so only the holder of the duties logs; without a known one, all do.
func (n *Node) logSlowChanges() {
	changes := n.state.TakeSlowChanges()
	if n.peers.otherHolderToken(n.id) != 0 {
		return
	}
	for _, c := range changes {
		log := n.logFor("endpoints").WithFields(logrus.Fields{
			"endpoint": c.Endpoint, "service": c.Service, "factor": fmt.Sprintf("%.2f", c.Factor),
		})
		if c.Slow {
			log.Warn("endpoint is slow")
		} else {
			log.Info("endpoint is no longer slow")
		}
	}
}

// writeSpeeds writes the number of endpoints whose speed isn't the usual one of their service.
func (n *Node) writeSpeeds(w io.Writer) {
	for service, c := range n.state.SpeedCounts() {
		fmt.Fprintf(w, "cyclamenbeam_endpoint_slowness{service=%q,speed=\"slower\"} %d\n", service, c.Slower)
		fmt.Fprintf(w, "cyclamenbeam_endpoint_slowness{service=%q,speed=\"faster\"} %d\n", service, c.Faster)
	}
}

// speedsDue reports whether a report to a hub should have this daemon's observations of speeds.
// The backup hub gets them less often, and not at all where hubs relay: there it has them from the
// other hub. The lock is held.
func (x *peerExchange) speedsDue(l *layout, address string) bool {
	if !slices.Contains(peersOf(l.own), address) && address != x.loadHub {
		return false
	}
	interval := exchange.SpeedsInterval(len(l.serving))
	if x.loadHub != "" && x.loadHub != address {
		interval *= exchange.BackupSpeedsEvery
		if l.meshed {
			return false
		}
	}
	return time.Since(x.hubState(address).speedsAt) >= interval
}
