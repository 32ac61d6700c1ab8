package node

import (
	"cmp"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// layout is the assignment of hubs, watchers and candidates among the serving daemons.
// It depends on one view of the fleet alone, so that daemons with the same view have
// the same layout. It is immutable.
type layout struct {
	serving []membership.Member
	// running are the serving daemons and those that go on sending though they leave or are
	// suspected, by which shares of what endpoints take are divided.
	running []fleet.DaemonID
	// watchers watch the store for all others.
	watchers []membership.Member
	// own are the hubs that this daemon reports to; a hub reports to itself alone where the
	// fleet is meshed.
	own []membership.Member
	// standIns replace unresponsive hubs of its own, in this order.
	standIns []membership.Member
	// hubs are all hubs, which relay to each other where the fleet is meshed.
	hubs       []membership.Member
	candidates []membership.Member // for the duties
	reporters  int                 // daemons that report to a hub
	meshed     bool
}

// standInCount is the number of daemons that may replace unresponsive hubs: as many
// as a daemon has hubs.
const standInCount = exchange.HubCount

// newLayout returns the layout of one daemon of a fleet. large means that the fleet has
// more daemons than those found so far.
func newLayout(self *membership.Member, serving []membership.Member, large bool) *layout {
	best := strongest(serving, max(dutyCandidates, exchange.HubCount+standInCount))
	l := &layout{
		serving:    serving,
		watchers:   head(best, exchange.HubCount),
		candidates: head(best, dutyCandidates),
		reporters:  len(serving),
		meshed:     large || exchange.Meshed(len(serving)),
	}
	l.own, l.hubs = l.watchers, l.watchers
	if l.meshed {
		l.mesh(self)
	}
	return l
}

// mesh gives each data centre hubs of its own.
func (l *layout) mesh(self *membership.Member) {
	centres := map[fleet.DataCentre][]membership.Member{}
	for _, m := range l.serving {
		centres[m.DataCentre] = append(centres[m.DataCentre], m)
	}
	l.hubs = nil // the hubs of each data centre replace those of the fleet
	for centre, all := range centres {
		groups := exchange.Groups(len(all))
		ranked := strongest(all, groups*exchange.HubCount+standInCount)
		hubs := head(ranked, groups*exchange.HubCount)
		l.hubs = append(l.hubs, hubs...)
		if centre == self.DataCentre {
			l.reporters = (len(all) + groups - 1) / groups
			l.own, l.standIns = ownHubs(self, hubs, groups), ranked[len(hubs):]
		}
	}
	if len(l.own) == 0 {
		l.own = l.watchers // the view has no daemon of this data centre
	}
	slices.SortFunc(l.hubs, func(a, b membership.Member) int { return cmp.Compare(a.Daemon, b.Daemon) })
}

// ownHubs returns the hubs that a daemon of a data centre reports to. A hub reports
// to itself alone, and relays its reports to the other hubs.
func ownHubs(self *membership.Member, hubs []membership.Member, groups int) []membership.Member {
	if i := slices.IndexFunc(hubs, func(m membership.Member) bool { return m.Daemon == self.Daemon }); i >= 0 {
		return hubs[i : i+1]
	}
	group := int(rendezvous.Score(hubKey, string(self.Daemon)) % uint64(groups))
	first := min(group*exchange.HubCount, max(len(hubs)-exchange.HubCount, 0))
	return hubs[first:min(first+exchange.HubCount, len(hubs))]
}

// isHub reports whether a daemon is one of the hubs.
func (l *layout) isHub(id fleet.DaemonID) bool { return isAmong(l.hubs, id) }

// isWatcher reports whether a daemon watches the store for the others.
func (l *layout) isWatcher(id fleet.DaemonID) bool { return isAmong(l.watchers, id) }

func isAmong(all []membership.Member, id fleet.DaemonID) bool {
	return slices.ContainsFunc(all, func(m membership.Member) bool { return m.Daemon == id })
}

func head(all []membership.Member, n int) []membership.Member { return all[:min(n, len(all))] }
