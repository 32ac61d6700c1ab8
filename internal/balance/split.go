package balance

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// split is a service's endpoints by version, during a roll-out.
type split struct {
	target      string
	limit       int // number of endpoints of the target version that are used
	rotation    uint64
	old         []*member
	new         []*member // endpoints of the target version that are used now
	targetTotal int       // number of endpoints of the target version
}

// SetSplit applies the state of the roll-out of a service to another version of its
// endpoints, under way or completed.
func (b *Balancer) SetSplit(w *rollout.Split) {
	s := b.splits[w.Service]
	if s != nil && s.target == w.Target() && s.limit == w.Spread && s.rotation == w.Rotation {
		return
	}
	s = &split{target: w.Target(), limit: w.Spread, rotation: w.Rotation}
	b.splits[w.Service] = s
	b.rebuildSplit(w.Service, s)
}

// DropSplit ends a service's split by version.
func (b *Balancer) DropSplit(service string) { delete(b.splits, service) }

// Versions returns how many endpoints of a service take requests: of its old versions,
// and of the roll-out's target.
func (b *Balancer) Versions(service string) (old, target int) {
	s := b.splits[service]
	if s == nil {
		return len(b.active[service]), 0
	}
	return len(s.old), s.targetTotal
}

func (b *Balancer) rebuildSplits() {
	for service, s := range b.splits {
		b.rebuildSplit(service, s)
	}
}

// rebuildSplit divides a service's endpoints by version, and selects those of the
// target that are used. All daemons select the same ones, so that a few endpoints have
// a normal load, instead of all a small one.
func (b *Balancer) rebuildSplit(service string, s *split) {
	s.old, s.new = nil, nil
	for _, m := range b.active[service] {
		if m.Version == s.target {
			s.new = append(s.new, m)
		} else {
			s.old = append(s.old, m)
		}
	}
	s.targetTotal = len(s.new)
	if s.limit >= s.targetTotal {
		return
	}
	slices.SortFunc(s.new, func(x, y *member) int {
		if rendezvous.ScoreHashed(s.rotation, x.hash) < rendezvous.ScoreHashed(s.rotation, y.hash) {
			return -1
		}
		return 1
	})
	s.new = s.new[:s.limit]
}

// eligible returns the members of a service that may be chosen.
func (b *Balancer) eligible(r *Request) []*member {
	if r.Pinned {
		return b.ofVersion(r.Service, r.Version)
	}
	s := b.splits[r.Service]
	switch {
	case s == nil && r.Side == rollout.Old && b.MixedVersions(r.Service):
		return b.established[r.Service]
	case s == nil || r.Side == rollout.Any:
		return b.active[r.Service]
	case r.Side == rollout.New:
		return s.new
	default:
		return s.old
	}
}

// ofVersion returns the members of a service at a version, without draining ones.
func (b *Balancer) ofVersion(service, version string) []*member {
	if b.MixedVersions(service) || len(b.active[service]) == 0 {
		return b.byVersion[versionKey{service, version}]
	}
	if b.active[service][0].Version != version {
		return nil
	}
	return b.active[service]
}

// versionKey is a version of a service.
type versionKey struct{ service, version string }

// MixedVersions reports whether a service has endpoints of several versions.
func (b *Balancer) MixedVersions(service string) bool {
	_, mixed := b.established[service]
	return mixed
}

// findEstablished finds the established version of each service, and its members if
// there are several versions.
func (b *Balancer) findEstablished() {
	b.established, b.byVersion = map[string][]*member{}, map[versionKey][]*member{}
	for service, all := range b.listed {
		version, mixed := b.establishedVersion(service, all)
		b.establishedVersions[service] = version
		if !mixed {
			continue
		}
		for _, m := range b.active[service] {
			key := versionKey{service, m.Version}
			b.byVersion[key] = append(b.byVersion[key], m)
		}
		members := b.byVersion[versionKey{service, version}]
		if len(members) == 0 { // all endpoints of the version are draining
			members = b.active[service]
		}
		b.established[service] = members
	}
}

// establishedVersion returns the version that has served longest, and whether there
// are others. It is the version known from earlier lists, while it still has
// endpoints; otherwise that of the endpoint that started first. The start times alone
// don't suffice: when all endpoints of the old version have crashed and restarted,
// they are later than those of the new one, which would be taken for the old.
func (b *Balancer) establishedVersion(service string, all []*member) (version string, mixed bool) {
	first, known := all[0], false
	for _, m := range all {
		mixed = mixed || m.Version != all[0].Version
		known = known || m.Version == b.establishedVersions[service]
		if m.StartedAt.Before(first.StartedAt) {
			first = m
		}
	}
	if known {
		return b.establishedVersions[service], mixed
	}
	return first.Version, mixed
}

// versionAllowed reports whether a member's version may be chosen.
func (b *Balancer) versionAllowed(r *Request, m *member) bool {
	if r.Pinned {
		return m.Version == r.Version
	}
	s := b.splits[r.Service]
	return s == nil || r.Side == rollout.Any || (m.Version == s.target) == (r.Side == rollout.New)
}
