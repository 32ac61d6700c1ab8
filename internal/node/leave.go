package node

import (
	"context"
	"sync"
	"time"
)

const (
	// leaveMargin is the part of the grace that is left for the answers to the requests that are
	// ended, and for closing the listeners; of a short grace it is at most leaveMarginShare.
	leaveMargin      = 300 * time.Millisecond
	leaveMarginShare = 0.2
	// answerTimeShare and closeTimeShare are the parts of it in which the answers are sent, and in
	// which the listeners are closed and the last report is sent; in the rest the process ends.
	answerTimeShare, closeTimeShare = 0.4, 0.2
	// minDrain is how long a leaving daemon goes on serving though no request is
	// running: callers keep the addresses that they received for up to three times
	// answerAge, and new requests on open connections are answered with the
	// connection's close.
	minDrain = 3*answerAge + 500*time.Millisecond
	// announceTimeout bounds the messages to the others about the leave.
	announceTimeout = 500 * time.Millisecond
)

// leave removes this daemon from the entries, drains it, closes the listeners, and
// sends a last report of what it admitted. It returns when no request is running
// or the grace has ended. The listeners stay open for minDrain, if the grace is as long. The grace
// counts from when the signal was sent: a process that was held up gets it later.
func (n *Node) leave(endListeners func(context.Context)) {
	started := n.state.RanBefore(time.Now())
	grace := time.Duration(n.grace.Load())
	margin := min(leaveMargin, part(grace, leaveMarginShare))
	end := started.Add(grace - margin)
	n.stopping.Store(true)
	n.relay.Stop(started, end)
	n.logFor("daemon").WithField("active", n.relay.Active()).Info("leaving")
	n.announceLeave()
	n.drain(started, end)
	n.endRequests(end, margin)
	closing, cancel := context.WithDeadline(context.Background(), end.Add(part(margin, answerTimeShare+closeTimeShare)))
	defer cancel()
	var closed sync.WaitGroup
	closed.Go(func() { endListeners(closing) })
	n.finalReport(closing)
	closed.Wait()
	if err := n.members.gossip.Close(); err != nil {
		n.logFor("membership").WithError(err).Debug("gossip not closed")
	}
}

// endRequests ends the requests that are in progress at the end, before their connections are
// closed: a connection that is closed in place of an answer leaves open what became of its
// request. Requests that arrive meanwhile are refused, so that none is sent to an endpoint while
// its connection is being closed.
func (n *Node) endRequests(end time.Time, margin time.Duration) {
	n.relay.Close()
	n.awaitIdle(end)
	active := n.relay.Active()
	if active == 0 {
		return
	}
	n.logFor("daemon").WithField("active", active).Warn("the grace ends with requests in progress")
	n.relay.EndAll()
	n.awaitIdle(time.Now().Add(part(margin, answerTimeShare)))
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// awaitIdle waits until no request is running, or until a time.
func (n *Node) awaitIdle(until time.Time) {
	for n.relay.Active() > 0 && time.Now().Before(until) {
		time.Sleep(idlePollInterval)
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
func (n *Node) finalReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.leaveRetryRecord(ctx) })
	n.peers.round(ctx)
	wg.Wait()
}

const (
	// drainPollInterval is how often running requests are checked for during a drain.
	drainPollInterval = 20 * time.Millisecond
	// idlePollInterval is the same while they are ended.
	idlePollInterval = 2 * time.Millisecond
)
