package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// digestViewInterval bounds how often a View is made for changed digests
// alone: after a change of configuration every probe brings one.
const digestViewInterval = time.Second

func (m *Membership) tickView() {
	if !m.dirty && (!m.digests || m.clock.now < m.viewAt+digestViewInterval) {
		return
	}
	m.rebuildView()
	m.act(Changed{View: m.view})
}

// rebuildView makes a new snapshot and what is derived from it.
func (m *Membership) rebuildView() {
	m.dirty, m.digests = false, false
	m.viewAt = m.clock.now
	v := &View{self: m.self.instance, joined: m.joined, lostRegions: m.regions.lost(m.clock.now, m.cfg.RegionSilence)}
	v.members = make([]Member, 0, len(m.sorted))
	v.serving = m.appendMembers(v, isServing)
	v.alive = m.appendMembers(v, isReserve)
	m.appendMembers(v, isGone)
	v.dataCentres = m.dataCentreViews(v)
	m.view = v
	m.regionSize = m.countRegion()
	m.chooseBridges()
}

// class sorts a member into one of a View's three runs.
func (v *View) class(n *node) memberClass {
	s := n.effective()
	switch {
	case s.Terminal():
		return isGone
	case s.IsLeaving() || !v.RegionReachable(n.record.Region):
		return isReserve
	default:
		return isServing
	}
}

type memberClass uint8

const (
	isServing memberClass = iota
	isReserve
	isGone
)

// appendMembers adds the members of one class and returns the length reached.
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

// countRegion counts the own region's daemons that are not gone.
func (m *Membership) countRegion() int {
	count := 0
	for _, n := range m.sorted {
		if n.record.Region == m.regionName() && !n.effective().Terminal() {
			count++
		}
	}
	return count
}

func (m *Membership) regionName() fleet.Region { return m.self.record.Region }
