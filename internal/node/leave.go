package node

import (
	"context"
	"time"
)

const (
	// leaveMargin is kept of the grace for closing the listeners.
	leaveMargin = 300 * time.Millisecond
	// minDrain is how long a leaving daemon goes on serving though nothing is
	// under way: callers keep the addresses they were told for three times
	// answerAge, and new requests on open connections are answered with the
	// connection's close.
	minDrain = 3*answerAge + 500*time.Millisecond
	// announceTimeout bounds telling the others.
	announceTimeout = 500 * time.Millisecond
)

// leave takes this daemon out of the entries, serves what still comes, ends the
// listeners, and tells the others last what it let in. It returns when nothing
// is under way or the grace is over. Failure: the listeners are closed though a
// request came after the last look. Symptom: an endpoint ran it, and its caller
// gets no answer.
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
	endListeners(ctx)
	n.finalReport()
	if err := n.members.gossip.Close(); err != nil {
		n.logFor("membership").WithError(err).Debug("gossip not closed")
	}
}

// announceLeave tells the others that this daemon leaves.
func (n *Node) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := n.members.gossip.Leave(ctx); err != nil {
		n.logFor("membership").WithError(err).Warn("leaving not told")
	}
}

// drain waits until nothing has been under way since leastStay, or the end.
func (n *Node) drain(started, end time.Time) {
	for time.Now().Before(end) {
		if time.Since(started) > minDrain && n.relay.Active() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// finalReport tells the hubs this daemon's part as it ends.
func (n *Node) finalReport() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	n.peers.round(ctx)
}

// drainPoll is how often the end of the last request is looked for.
const drainPoll = 20 * time.Millisecond
