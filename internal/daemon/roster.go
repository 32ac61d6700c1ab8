package daemon

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// peerInfo is another daemon, or this one, as the roster knows it.
type peerInfo struct {
	Instance   fleet.InstanceID
	Daemon     fleet.DaemonID // empty while known from the instance list alone
	Callers    string
	Peers      string
	DataCentre fleet.DataCentre
	Serving    bool // takes new requests
	Alive      bool // can be reached as far as is known
	State      string
	Digest     template.Digest // of its templates, zero while unknown
}

// rosterView is an immutable snapshot of the fleet's daemons.
type rosterView struct {
	all     []peerInfo // by instance
	serving []string   // instances that take requests, this one included
	byID    map[fleet.InstanceID]*peerInfo
	byRun   map[fleet.DaemonID]*peerInfo
}

// roster says which daemons there are. Safe for concurrent use.
type roster struct {
	self   peerInfo
	subset int
	state  *lifecycle
	view   atomic.Pointer[rosterView]
	onView func(*rosterView) // called with each new view; nil for none
}

var _ gateway.Directory = (*roster)(nil)

func newRoster(self peerInfo, subset int, state *lifecycle) *roster {
	r := &roster{self: self, subset: subset, state: state}
	r.set([]peerInfo{self})
	return r
}

// set replaces what is known. This daemon is always part of it.
func (r *roster) set(peers []peerInfo) {
	v := &rosterView{byID: make(map[fleet.InstanceID]*peerInfo), byRun: make(map[fleet.DaemonID]*peerInfo)}
	known := slices.ContainsFunc(peers, func(p peerInfo) bool { return p.Instance == r.self.Instance })
	if !known {
		peers = append(peers, r.self)
	}
	v.all = slices.Clone(peers)
	slices.SortFunc(v.all, func(a, b peerInfo) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	for i := range v.all {
		p := &v.all[i]
		v.byID[p.Instance] = p
		if p.Daemon != "" {
			v.byRun[p.Daemon] = p
		}
		if p.Serving {
			v.serving = append(v.serving, string(p.Instance))
		}
	}
	r.view.Store(v)
	if r.onView != nil {
		r.onView(v)
	}
}

// setList takes the instance list's entries, for as long as membership has
// not found more.
func (r *roster) setList(entries []listapi.Entry) {
	peers := make([]peerInfo, 0, len(entries))
	for _, e := range entries {
		if e.Instance == r.self.Instance {
			continue
		}
		peers = append(peers, peerInfo{
			Instance:   e.Instance,
			Callers:    e.Address,
			Peers:      e.Peer,
			DataCentre: e.DataCentre,
			Serving:    e.State == fleet.Live,
			Alive:      true,
			State:      string(e.State),
		})
	}
	r.set(append(peers, r.self))
}

// instance returns a daemon by its instance.
func (r *roster) instance(id fleet.InstanceID) (peerInfo, bool) {
	p, ok := r.view.Load().byID[id]
	if !ok {
		return peerInfo{}, false
	}
	return *p, true
}

// daemon returns a daemon by its run.
func (r *roster) daemon(id fleet.DaemonID) (peerInfo, bool) {
	p, ok := r.view.Load().byRun[id]
	if !ok {
		return peerInfo{}, false
	}
	return *p, true
}

// candidates returns the daemons that may hold leases.
func (r *roster) candidates() []fleet.DaemonID {
	v := r.view.Load()
	out := make([]fleet.DaemonID, 0, len(v.all))
	for _, p := range v.all {
		if p.Serving && p.Daemon != "" {
			out = append(out, p.Daemon)
		}
	}
	return out
}

// callersAddress returns where callers reach a daemon. Where it is not known,
// any other entry serves: it finds the request through the directory.
func (r *roster) callersAddress(id fleet.DaemonID) string {
	v := r.view.Load()
	if p, ok := v.byRun[id]; ok {
		return p.Callers
	}
	for _, p := range v.all {
		if p.Serving && p.Instance != r.self.Instance {
			return p.Callers
		}
	}
	return r.self.Callers
}

// Entries implements gateway.Directory.
func (r *roster) Entries(workspace fleet.WorkspaceID) []gateway.Entry {
	chosen := r.entries(workspace)
	out := make([]gateway.Entry, 0, len(chosen))
	for _, p := range chosen {
		out = append(out, gateway.Entry{Address: p.Callers, DataCentre: p.DataCentre})
	}
	return out
}

// others returns the instances of the other daemons that serve, as this one knows
// them.
func (r *roster) others() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, p := range r.view.Load().all {
		if p.Serving && p.Instance != r.self.Instance {
			out = append(out, p.Instance)
		}
	}
	return out
}

// entries returns a workspace's subset by rendezvous, best first, so that its
// limits and its prompts' prefixes are held by few daemons. A second data centre is among them
// wherever two have daemons: callers keep the answer for a while, and the first one may be
// reclaimed as a whole meanwhile.
func (r *roster) entries(workspace fleet.WorkspaceID) []peerInfo {
	v := r.view.Load()
	key := rendezvous.Key("entries " + string(workspace))
	leaving := r.state.leaving()
	stays := func(p *peerInfo) bool { return p.Serving && !(leaving && p.Instance == r.self.Instance) }
	out := v.best(key, r.subset, stays)
	if len(out) == 0 || slices.ContainsFunc(out, func(p peerInfo) bool { return p.DataCentre != out[0].DataCentre }) {
		return out
	}
	elsewhere := func(p *peerInfo) bool { return stays(p) && p.DataCentre != out[0].DataCentre }
	return append(out, v.best(key, 1, elsewhere)...)
}
