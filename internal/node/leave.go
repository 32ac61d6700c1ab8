package node

import (
	"context"
	"time"
)

const (
	// leaveMargin is kept of the grace for closing the listeners.
	leaveMargin = 300 * time.Millisecond
	// leastStay is how long a leaving daemon goes on serving though nothing is
	// under way: callers keep the addresses they were told for three times
	// answerAge, and new requests on open connections are answered with the
	// connection's close.
	leastStay = 3*answerAge + 500*time.Millisecond
	// tellLeave bounds telling the others.
	tellLeave = 500 * time.Millisecond
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
	n.say("daemon").WithField("active", n.relay.Active()).Info("leaving")
	n.leaveMembers()
	end := started.Add(time.Duration(n.grace.Load()) - leaveMargin)
	n.serveOn(started, end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	endListeners(ctx)
	n.tellLast()
	if err := n.members.gossip.Close(); err != nil {
		n.say("membership").WithError(err).Debug("gossip not closed")
	}
}

// leaveMembers tells the others that this daemon leaves.
func (n *Node) leaveMembers() {
	ctx, cancel := context.WithTimeout(context.Background(), tellLeave)
	defer cancel()
	if err := n.members.gossip.Leave(ctx); err != nil {
		n.say("membership").WithError(err).Warn("leaving not told")
	}
}

// serveOn waits until nothing has been under way since leastStay, or the end.
func (n *Node) serveOn(started, end time.Time) {
	for time.Now().Before(end) {
		if time.Since(started) > leastStay && n.relay.Active() == 0 {
			return
		}
		time.Sleep(leavePoll)
	}
}

// tellLast tells the hubs this daemon's part as it ends.
func (n *Node) tellLast() {
	ctx, cancel := context.WithTimeout(context.Background(), tellLeave)
	defer cancel()
	n.telling.round(ctx)
}

// leavePoll is how often the end of the last request is looked for.
const leavePoll = 20 * time.Millisecond
