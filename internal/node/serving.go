package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// answerAge is how long callers may keep the addresses that they received. Some keep
// them three times as long, which must fit in the time a leaving daemon goes on serving.
const answerAge = 1500 * time.Millisecond

// Serve carries a caller's request.
func (n *Node) Serve(ctx context.Context, q *relay.Request, sink relay.Sink) {
	n.startGate.wait(ctx, time.Now())
	n.relay.Serve(ctx, q, sink)
}

// Check refuses a request, of which only the head has arrived, that can't be served. Otherwise it
// returns by when the request must have ended.
func (n *Node) Check(ctx context.Context, q *relay.Request, sink relay.Sink) (deadline time.Time, ok bool) {
	n.startGate.wait(ctx, time.Now())
	return n.relay.Check(ctx, q, sink)
}

// Bodies holds the bodies of requests.
func (n *Node) Bodies() *relay.Bodies { return n.bodies }

// RefusedBody records that a request was refused whose body finds no memory.
func (n *Node) RefusedBody(id string, r relay.Refusal) {
	n.metrics.set.GetOrCreateCounter("cyclamenbeam_bodies_refused_total").Inc()
	o := &relay.Outcome{ID: id, Reason: r.Reason, Verdict: r.Verdict, RetryAfter: r.RetryAfter}
	n.metrics.refused(o)
	n.requests.add(o)
}

// Table returns the configuration in force, nil where there is none.
func (n *Node) Table() *route.Table { return n.state.Table() }

// Stopping reports whether this daemon is leaving.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Ready reports whether this daemon should be sent requests: it has a configuration and
// a list of endpoints, and isn't leaving.
func (n *Node) Ready() bool {
	_, listed := n.endpoints.list()
	return !n.Stopping() && n.Table() != nil && listed
}

// Entries returns the addresses that callers in a data centre should use, and how long
// they may keep them.
func (n *Node) Entries(_ fleet.Region, dc fleet.DataCentre) ([]string, time.Duration) {
	var all []membership.Member
	for _, m := range n.members.serving() {
		if m.Daemon != n.id || n.Ready() {
			all = append(all, m)
		}
	}
	var out []string
	for _, m := range entriesOf(all, dc) {
		out = append(out, m.Caller)
	}
	return out, min(answerAge, seconds(n.settings.Bounds.AnswerMaxAgeSeconds))
}

// maxEntries bounds the addresses of an answer.
const maxEntries = 64

// entriesOf returns the daemons that callers in a data centre should use: its own first,
// then others. If there are too many, all daemons make the same choice, and one that
// joins or leaves changes one of them: callers close connections to daemons that are no
// longer listed.
func entriesOf(all []membership.Member, dc fleet.DataCentre) []membership.Member {
	if len(all) <= maxEntries {
		return all
	}
	key := rendezvous.Key(string(dc))
	ranked := make([]graded, len(all))
	for i := range all {
		ranked[i] = graded{member: &all[i], score: rendezvous.Score(key, string(all[i].Daemon))}
		if all[i].DataCentre == dc {
			ranked[i].strength = 1
		}
	}
	return topRanked(ranked, maxEntries)
}

// shareConnections sets this daemon's share of the connections to each endpoint.
func (n *Node) shareConnections() {
	t := n.state.Table()
	if t == nil || n.members == nil {
		return
	}
	least := 0
	for i := range t.Services {
		if m := t.Services[i].MaxConnections; m > 0 && (least == 0 || m < least) {
			least = m
		}
	}
	if least > 0 {
		n.pool.SetShare(max(int(connectionShare*float64(least))/max(len(n.members.layout().running), 1), minShare))
	}
}

const (
	// connectionShare is the part of an endpoint's bound that is used: an endpoint with a
	// long queue takes fewer.
	connectionShare = 0.9
	// minShare lets every daemon reach every endpoint.
	minShare = 2
)
