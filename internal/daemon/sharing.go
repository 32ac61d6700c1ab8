package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/admission/shares"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

const (
	sharingRing = 256
	// sharingInterval is the time between two exchanges of demand.
	sharingInterval = time.Second
	// strangerShare is what all daemons that are not a workspace's entries may
	// use of its limits together: callers who kept an old answer get in there.
	strangerShare = 0.1
)

// sharingState is what the duty owns.
type sharingState struct {
	shares map[fleet.WorkspaceID]*shares.Shares
	limits map[fleet.WorkspaceID]admission.Limits
	told   map[fleet.WorkspaceID]shares.Demand // of this daemon, in the latest round
}

// sharingDuty splits workspaces' limits among their few entries by the demand
// that these tell each other.
type sharingDuty struct {
	*owner[*sharingState]
	self      fleet.DaemonID
	roster    *roster
	admission *admissionDuty
	client    *peer.Client
	ctx       context.Context
}

func newSharingDuty(self fleet.DaemonID, r *roster, a *admissionDuty, client *peer.Client) *sharingDuty {
	return &sharingDuty{
		owner: newOwner("sharing", sharingRing, &sharingState{
			shares: make(map[fleet.WorkspaceID]*shares.Shares),
			limits: make(map[fleet.WorkspaceID]admission.Limits),
			told:   make(map[fleet.WorkspaceID]shares.Demand),
		}),
		self:      self,
		roster:    r,
		admission: a,
		client:    client,
	}
}

func (d *sharingDuty) start(ctx context.Context) {
	d.ctx = ctx
	go d.run(ctx, sharingInterval, d.round)
}

// setLimits takes the templates' limits.
func (d *sharingDuty) setLimits(s *template.Snapshot) {
	limits := make(map[fleet.WorkspaceID]admission.Limits)
	s.EachWorkspace(func(w *template.Workspace) { limits[w.ID] = limitsOf(w) })
	d.tell(func(_ time.Time, state *sharingState) {
		state.limits = limits
		for id := range state.shares {
			if _, ok := limits[id]; !ok {
				delete(state.shares, id)
			}
		}
		d.apply(state)
	})
}

// limited reports whether there is anything to share.
func limited(l admission.Limits) bool {
	return l.RequestsPerSecond > 0 || l.TokensPerSecond > 0 || l.Concurrency > 0
}

// round exchanges the demand for every limited workspace with its other entries.
func (d *sharingDuty) round(_ time.Time, s *sharingState) {
	demands := d.demands(s)
	byPeer := make(map[fleet.DaemonID][]*peerpb.WorkspaceDemand)
	for id, demand := range demands {
		members := d.members(id)
		sh := d.sharesOf(s, id, members)
		if sh == nil {
			continue
		}
		sh.StartRound(demand)
		s.told[id] = demand
		for _, m := range members {
			if m != d.self {
				byPeer[m] = append(byPeer[m], demandToWire(id, demand))
			}
		}
	}
	d.apply(s)
	for to, all := range byPeer {
		go d.exchange(to, all)
	}
}

// demands asks admission what each limited workspace wants here.
func (d *sharingDuty) demands(s *sharingState) map[fleet.WorkspaceID]shares.Demand {
	out := make(map[fleet.WorkspaceID]shares.Demand)
	d.admission.ask(func(now time.Time, a *admissionState) {
		for id, l := range s.limits {
			if !limited(l) {
				continue
			}
			n := a.limits.Demand(now, id)
			out[id] = shares.Demand{Requests: n.Requests, Tokens: n.Tokens, Running: n.Running}
		}
	})
	return out
}

// members returns the daemons that share a workspace's limits: its entries.
func (d *sharingDuty) members(id fleet.WorkspaceID) []fleet.DaemonID {
	var out []fleet.DaemonID
	for _, p := range d.roster.entries(id) {
		if p.Daemon != "" {
			out = append(out, p.Daemon)
		}
	}
	return out
}

// sharesOf returns a workspace's shares, nil where this daemon is no entry of it.
func (d *sharingDuty) sharesOf(s *sharingState, id fleet.WorkspaceID, members []fleet.DaemonID) *shares.Shares {
	mine := false
	for _, m := range members {
		mine = mine || m == d.self
	}
	if !mine {
		delete(s.shares, id)
		return nil
	}
	sh, ok := s.shares[id]
	if !ok {
		sh = shares.New(d.self, members, shares.DefaultConfig())
		s.shares[id] = sh
	}
	sh.SetMembers(members)
	return sh
}

// apply puts the shares in force.
func (d *sharingDuty) apply(s *sharingState) {
	serving := max(1, len(d.roster.view.Load().serving))
	part := make(map[fleet.WorkspaceID]float64, len(s.limits))
	for id := range s.limits {
		part[id] = strangerShare / float64(serving)
		if sh, ok := s.shares[id]; ok {
			part[id] = sh.Share()
		}
	}
	limits := s.limits
	d.admission.tell(func(now time.Time, a *admissionState) {
		for id, l := range limits {
			a.limits.SetLimits(now, id, l, part[id])
		}
	})
}

// exchange sends this daemon's demand to another one and takes its demand in reply.
func (d *sharingDuty) exchange(to fleet.DaemonID, all []*peerpb.WorkspaceDemand) {
	p, ok := d.roster.view.Load().byRun[to]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, sharingInterval)
	defer cancel()
	reply, err := d.client.Peer(ctx, p.Peers).Demand(ctx, &peerpb.DemandRequest{Daemon: string(d.self), Demands: all})
	if err != nil {
		return // silence never raises anyone's share
	}
	d.tell(func(_ time.Time, s *sharingState) {
		for _, theirs := range reply.GetDemands() {
			id := fleet.WorkspaceID(theirs.GetWorkspace())
			if sh, ok := s.shares[id]; ok {
				sh.ReceiveReply(to, demandIn(all, theirs.GetWorkspace()), demandFromWire(theirs))
			}
		}
	})
}

// heard takes another daemon's demand and returns this one's for the same
// workspaces, leaving out those of which the other is no entry here.
func (d *sharingDuty) heard(from fleet.DaemonID, all []*peerpb.WorkspaceDemand) []*peerpb.WorkspaceDemand {
	var out []*peerpb.WorkspaceDemand
	d.ask(func(_ time.Time, s *sharingState) {
		for _, theirs := range all {
			id := fleet.WorkspaceID(theirs.GetWorkspace())
			sh := d.sharesOf(s, id, d.members(id))
			if sh != nil && sh.Receive(from, demandFromWire(theirs)) {
				out = append(out, demandToWire(id, s.told[id]))
			}
		}
	})
	return out
}

// Demand implements peerpb.DRPCPeerServer.
func (s *peerServer) Demand(_ context.Context, q *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	return &peerpb.DemandReply{Demands: s.sharing.heard(fleet.DaemonID(q.GetDaemon()), q.GetDemands())}, nil
}

func demandToWire(id fleet.WorkspaceID, n shares.Demand) *peerpb.WorkspaceDemand {
	return &peerpb.WorkspaceDemand{Workspace: string(id), Requests: n.Requests, Tokens: n.Tokens, Running: uint32(n.Running)}
}

func demandFromWire(n *peerpb.WorkspaceDemand) shares.Demand {
	return shares.Demand{Requests: n.GetRequests(), Tokens: n.GetTokens(), Running: int(n.GetRunning())}
}

// demandIn returns the demand of a workspace in a message.
func demandIn(all []*peerpb.WorkspaceDemand, workspace string) shares.Demand {
	for _, n := range all {
		if n.GetWorkspace() == workspace {
			return demandFromWire(n)
		}
	}
	return shares.Demand{}
}
