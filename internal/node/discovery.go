package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

// hubKind is the kind of the objects by which strong machines register as hubs of a
// large fleet.
const hubKind = "hubs"

const (
	// registerStrength is the lowest strength of a machine that registers as a hub.
	registerStrength = 8
	// registerTime is how long after a daemon's start the others of a fleet that starts
	// with it have registered; an earlier read misses some.
	registerTime = 600 * time.Millisecond
	// gossipTime is how long a weak machine of a small fleet takes to find a strong one
	// by the membership protocol.
	gossipTime = 300 * time.Millisecond
)

// hubEntry is a daemon's registration as a hub.
type hubEntry struct {
	Daemon      fleet.DaemonID   `json:"daemon"`
	Caller      string           `json:"caller"`
	Peer        string           `json:"peer"`
	DataCentre  fleet.DataCentre `json:"data_centre"`
	Region      fleet.Region     `json:"region"`
	Incarnation uint64           `json:"incarnation"`
}

// discover restores the limits from before this daemon's start, and finds the hubs of
// a large fleet. Where the store doesn't answer, the daemon relies on the seeds.
func (n *Node) discover(ctx context.Context) {
	n.restoreLimits(ctx)
	first := n.settings.Daemon.FirstStart
	if known, _ := n.members.priorCount(); !first && !exchange.Meshed(known) {
		return
	}
	strong := strengthOf(n.id) >= registerStrength
	if strong {
		n.registerHub(ctx)
	}
	if first {
		pause.For(ctx, registerTime)
	}
	if !strong {
		pause.For(ctx, gossipTime)
	}
	if strong || n.lacksHubs() {
		n.readHubs(ctx)
	}
}

func (n *Node) registerHub(ctx context.Context) {
	self := n.members.self
	text, err := json.Marshal(hubEntry{self.Daemon, self.Caller, self.Peer, self.DataCentre, self.Region, self.Incarnation})
	if err == nil {
		_, err = n.platform.Store.Create(ctx, hubKind, string(self.Instance), text)
	}
	if errors.Is(err, objects.ErrConflict) {
		_, err = n.platform.Store.Replace(ctx, hubKind, string(self.Instance), 0, text)
	}
	if err != nil {
		n.logFor("membership").WithError(err).Info("not registered as a hub")
	}
}

// lacksHubs reports whether this daemon's machine is weak and has found no strong one
// in its data centre.
func (n *Node) lacksHubs() bool {
	if !n.watch.weak() {
		return false
	}
	for _, m := range n.members.serving() {
		if m.DataCentre == n.settings.Daemon.DataCentre && strengthOf(m.Daemon) >= hubStrength {
			return false
		}
	}
	return true
}

func (n *Node) readHubs(ctx context.Context) {
	all, _, err := n.platform.Store.List(ctx, hubKind)
	if err != nil {
		n.logFor("membership").WithError(err).Info("hubs not read")
		return
	}
	var found []membership.Member
	for _, o := range all {
		var e hubEntry
		if json.Unmarshal(o.Spec, &e) == nil {
			found = append(found, membership.Member{
				Instance: fleet.InstanceID(o.Name), Daemon: e.Daemon, Caller: e.Caller, Peer: e.Peer,
				DataCentre: e.DataCentre, Region: e.Region, Incarnation: e.Incarnation,
			})
		}
	}
	n.logFor("membership").WithField("hubs", len(found)).Info("hubs read")
	n.addMembers(found)
}
