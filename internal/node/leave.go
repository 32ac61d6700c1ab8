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

// leave takes this daemon out of the entries, serves what still comes and
// returns when nothing is under way or the grace is over.
func (n *Node) leave() {
	started := time.Now()
	n.stopping.Store(true)
	n.relay.Stop(started)
	n.say("daemon").WithField("active", n.relay.Active()).Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), tellLeave)
	defer cancel()
	if err := n.members.gossip.Leave(ctx); err != nil {
		n.say("membership").WithError(err).Warn("leaving not told")
	}
	end := started.Add(time.Duration(n.grace.Load()) - leaveMargin)
	for time.Now().Before(end) {
		if time.Since(started) > leastStay && n.relay.Active() == 0 {
			break
		}
		time.Sleep(leavePoll)
	}
	n.telling.round(ctxFor(tellLeave))
	if err := n.members.gossip.Close(); err != nil {
		n.say("membership").WithError(err).Debug("gossip not closed")
	}
}

// leavePoll is how often the end of the last request is looked for.
const leavePoll = 20 * time.Millisecond

// ctxFor returns a context that ends after d; its timer is let run out.
func ctxFor(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}
