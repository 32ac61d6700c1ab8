package membership

import (
	"cmp"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// View is an immutable snapshot of all members, the daemon itself included.
// It is kept in three runs, each sorted by instance: serving, otherwise alive,
// gone. The methods return parts of it, which must not be changed.
type View struct {
	members            []Member
	serving            int // members[:serving] take new work
	alive              int // members[:alive] are not gone
	dataCentres        []DataCentreView
	self               fleet.InstanceID
	unreachableRegions []fleet.Region
	joined             bool
}

// DataCentreView counts a data centre's members.
type DataCentreView struct {
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Alive      int
	Serving    int
	Lost       bool
}

// All returns all members, also those that are gone but still remembered.
func (v *View) All() []Member { return v.members }

// Alive returns the members that are not gone: alive, suspect or leaving.
func (v *View) Alive() []Member { return v.members[:v.alive] }

// Serving returns the members that take new work as far as is known from here:
// alive or suspect, not leaving, in a region that can be reached. Suspects may
// well be up; callers with a choice should prefer the Alive ones.
func (v *View) Serving() []Member { return v.members[:v.serving] }

// ByInstance returns the member of an instance.
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

// DataCentres returns the known data centres, sorted by name.
func (v *View) DataCentres() []DataCentreView { return v.dataCentres }

// RegionReachable reports whether the region is the daemon's own or its
// bridges have been heard from lately.
func (v *View) RegionReachable(r fleet.Region) bool { return !slices.Contains(v.unreachableRegions, r) }

// Joined reports whether another daemon has answered since the start.
func (v *View) Joined() bool { return v.joined }
