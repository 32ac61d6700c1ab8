package node

import (
	"context"
	"sync"
	"time"
)

const (
	// leaveMargin is the part of the grace that is left for closing the listeners.
	leaveMargin = 300 * time.Millisecond
	// minDrain is how long a leaving daemon goes on serving though no request is
	// running: callers keep the addresses that they received for up to three times
	// answerAge, and new requests on open connections are answered with the
	// connection's close.
	minDrain = 3*answerAge + 500*time.Millisecond
	// announceTimeout bounds the messages to the others about the leave.
	announceTimeout = 500 * time.Millisecond
)

// leave removes this daemon from the entries, drains it, closes the listeners, and
// then sends a last report of what it admitted. It returns when no request is running
// or the grace has ended. The listeners stay open for minDrain at least: a request that
// arrives on a closing one would run at an endpoint without an answer to its caller.
func (n *Node) leave(endListeners func(context.Context)) {
	started := time.Now()
	n.stopping.Store(true)
	n.relay.Stop(started)
	n.logFor("daemon").WithField("active", n.relay.Active()).Info("leaving")
	n.announceLeave()
	end := started.Add(time.Duration(n.grace.Load()) - leaveMargin)
	n.drain(started, end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if active := n.relay.Active(); active > 0 {
		n.logFor("daemon").WithField("active", active).Warn("the grace ends with requests in progress")
		n.relay.Closing()
	}
	endListeners(ctx)
	n.finalReport()
	if err := n.members.gossip.Close(); err != nil {
		n.logFor("membership").WithError(err).Debug("gossip not closed")
	}
}

// announceLeave announces by the membership protocol that this daemon leaves.
func (n *Node) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := n.members.gossip.Leave(ctx); err != nil {
		n.logFor("membership").WithError(err).Warn("leave not announced")
	}
}

// drain waits until minDrain has passed and no request is running, or until the end.
func (n *Node) drain(started, end time.Time) {
	for time.Now().Before(end) {
		if time.Since(started) > minDrain && n.relay.Active() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// finalReport sends the hubs this daemon's last report, and stores the record of its retry
// budgets.
func (n *Node) finalReport() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.leaveRetryRecord(ctx) })
	n.peers.round(ctx)
	wg.Wait()
}

// drainPollInterval is how often running requests are checked for during a drain.
const drainPollInterval = 20 * time.Millisecond
