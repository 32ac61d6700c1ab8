package balance

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// split is a service's endpoints by version, while it moves to another one.
type split struct {
	target      string
	limit       int // endpoints of the target that are used
	rotation    uint64
	old         []*member
	new         []*member // those that are used now
	targetTotal int       // of the target
}

// SetSplit takes a word on a service that moves to another version of its endpoints,
// or that has moved.
func (b *Balancer) SetSplit(w *rollout.Word) {
	s := b.splits[w.Service]
	if s != nil && s.target == w.Target() && s.limit == w.Spread && s.rotation == w.Turn {
		return
	}
	s = &split{target: w.Target(), limit: w.Spread, rotation: w.Turn}
	b.splits[w.Service] = s
	b.rebuildSplit(w.Service, s)
}

// DropSplit forgets a service's versions.
func (b *Balancer) DropSplit(service string) { delete(b.splits, service) }

// Versions returns how many endpoints of a service take requests, of its old versions
// and of the one that it moves to.
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

// rebuildSplit sorts a service's endpoints by version, and draws those of the target that
// are used: all daemons the same, so that few have the load of many.
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
		if rendezvous.Mix(s.rotation, x.hash) < rendezvous.Mix(s.rotation, y.hash) {
			return -1
		}
		return 1
	})
	s.new = s.new[:s.limit]
}

// eligible returns the members of a service that may be chosen.
func (b *Balancer) eligible(a *Request) []*member {
	s := b.splits[a.Service]
	switch {
	case s == nil && a.Side == rollout.Old && b.MixedVersions(a.Service):
		return b.established[a.Service]
	case s == nil || a.Side == rollout.Any:
		return b.active[a.Service]
	case a.Side == rollout.New:
		return s.new
	default:
		return s.old
	}
}

// MixedVersions reports whether a service has endpoints of several versions.
func (b *Balancer) MixedVersions(service string) bool {
	_, mixed := b.established[service]
	return mixed
}

// findEstablished finds the version that has served longest, of services that have several.
func (b *Balancer) findEstablished() {
	b.established = map[string][]*member{}
	for service, all := range b.listed {
		version, mixed := b.establishedVersion(service, all)
		b.establishedVersions[service] = version
		if !mixed {
			continue
		}
		var of []*member
		for _, m := range b.active[service] {
			if m.Version == version {
				of = append(of, m)
			}
		}
		if len(of) == 0 { // all of it leave
			of = b.active[service]
		}
		b.established[service] = of
	}
}

// establishedVersion returns the version that has served longest, and whether there are
// others: the one that this daemon knew alone, where it is still there, or else that
// of the endpoint that started first. Failure: all endpoints of the old version have
// crashed and started again, later than those of the new one. Symptom: the new
// version is taken for the old one.
func (b *Balancer) establishedVersion(service string, all []*member) (version string, mixed bool) {
	first, known := all[0], false
	for _, m := range all {
		mixed = mixed || m.Version != all[0].Version
		known = known || m.Version == b.establishedVersions[service]
		if m.Born.Before(first.Born) {
			first = m
		}
	}
	if known {
		return b.establishedVersions[service], mixed
	}
	return first.Version, mixed
}

// versionAllowed reports whether a member is of the versions that may be chosen.
func (b *Balancer) versionAllowed(a *Request, m *member) bool {
	s := b.splits[a.Service]
	return s == nil || a.Side == rollout.Any || (m.Version == s.target) == (a.Side == rollout.New)
}
