package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// digestViewInterval is the least time to the next View if only digests have
// changed: after a change of configuration every probe may carry a new one.
const digestViewInterval = time.Second

func (m *Membership) tickView() {
	if !m.dirty && (!m.digestsChanged || m.clock.now < m.viewBuiltAt+digestViewInterval) {
		return
	}
	m.rebuildView()
	m.emit(Changed{View: m.view})
}

// rebuildView builds a new snapshot and what is derived from the members' states.
func (m *Membership) rebuildView() {
	m.dirty, m.digestsChanged = false, false
	m.viewBuiltAt = m.clock.now
	v := &View{self: m.self.instance, joined: m.joined, unreachableRegions: m.regions.unreachable(m.clock.now, m.cfg.RegionTimeout)}
	v.members = make([]Member, 0, len(m.sorted))
	v.serving = m.appendMembers(v, classServing)
	v.alive = m.appendMembers(v, classNotServing)
	m.appendMembers(v, classGone)
	v.dataCentres = m.dataCentreViews(v)
	m.view = v
	m.regionSize = m.countRegion()
	m.chooseBridges()
}

// class returns in which of the View's three ranges a member belongs.
func (v *View) class(n *node) memberClass {
	s := n.effectiveState()
	switch {
	case s.Terminal():
		return classGone
	case s.IsLeaving() || !v.RegionReachable(n.record.Region):
		return classNotServing
	default:
		return classServing
	}
}

type memberClass uint8

const (
	classServing memberClass = iota
	classNotServing
	classGone
)

// appendMembers appends the members of one class and returns the new length.
func (m *Membership) appendMembers(v *View, want memberClass) int {
	for _, n := range m.sorted {
		if v.class(n) == want {
			v.members = append(v.members, n.member())
		}
	}
	return len(v.members)
}

func (m *Membership) dataCentreViews(v *View) []DataCentreView {
	views := make([]DataCentreView, len(m.dataCentres))
	for i, d := range m.dataCentres {
		views[i] = DataCentreView{DataCentre: d.name, Region: d.region, Lost: d.lost()}
	}
	for i := range v.alive {
		at := slices.IndexFunc(views, func(d DataCentreView) bool {
			return d.DataCentre == v.members[i].DataCentre && d.Region == v.members[i].Region
		})
		views[at].Alive++
		if i < v.serving {
			views[at].Serving++
		}
	}
	slices.SortFunc(views, func(a, b DataCentreView) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Region, b.Region))
	})
	return views
}

// countRegion counts the daemons of this region that are not gone.
func (m *Membership) countRegion() int {
	count := 0
	for _, n := range m.sorted {
		if n.record.Region == m.ownRegion() && !n.effectiveState().Terminal() {
			count++
		}
	}
	return count
}

func (m *Membership) ownRegion() fleet.Region { return m.self.record.Region }
