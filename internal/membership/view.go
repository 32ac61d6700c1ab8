package membership

import (
	"cmp"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// View is an immutable snapshot of all members, including the daemon itself. The
// slices that its methods return must not be changed.
type View struct {
	members            []Member // serving, then the other alive ones, then gone; each part sorted by instance
	serving            int      // members[:serving] take new work and can be reached
	alive              int      // members[:alive] are not gone
	dataCentres        []DataCentreView
	self               fleet.InstanceID
	unreachableRegions []fleet.Region
	joined             bool
}

// DataCentreView counts a data centre's members that are alive and serving, as
// View.Alive and View.Serving return them.
type DataCentreView struct {
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Alive      int
	Serving    int
	Lost       bool
}

// All returns all members, including those that are gone and not expired yet.
func (v *View) All() []Member { return v.members }

// Alive returns the members that are not gone: alive, suspect or leaving.
func (v *View) Alive() []Member { return v.members[:v.alive] }

// Serving returns the members that take new work: alive or suspect, not leaving,
// in a region that can be reached. Suspects may well be up, but callers with a
// choice should prefer members whose State is Alive.
func (v *View) Serving() []Member { return v.members[:v.serving] }

// ByInstance returns the member of an instance, and false if there is none.
func (v *View) ByInstance(id fleet.InstanceID) (Member, bool) {
	for _, part := range [][]Member{v.members[:v.serving], v.members[v.serving:v.alive], v.members[v.alive:]} {
		at, found := slices.BinarySearchFunc(part, id, func(m Member, id fleet.InstanceID) int {
			return cmp.Compare(m.Instance, id)
		})
		if found {
			return part[at], true
		}
	}
	return Member{}, false
}

// Self returns the daemon's own member.
func (v *View) Self() Member {
	m, _ := v.ByInstance(v.self)
	return m
}

// DataCentres returns the known data centres, sorted by name, then region.
func (v *View) DataCentres() []DataCentreView { return v.dataCentres }

// RegionReachable reports whether the region is the daemon's own, or its
// heartbeat has grown within Config.RegionTimeout.
func (v *View) RegionReachable(r fleet.Region) bool { return !slices.Contains(v.unreachableRegions, r) }

// Joined reports whether a packet of another member has arrived since the start.
func (v *View) Joined() bool { return v.joined }
