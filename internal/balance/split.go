package balance

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// split is a service's endpoints by version, while it moves to another one.
type split struct {
	target string
	spread int // endpoints of the target that are used
	turn   uint64
	old    []*member
	new    []*member // those that are used now
	all    int       // of the target
}

// SetSplit takes a word on a service that moves to another version of its endpoints,
// or that has moved.
func (b *Balancer) SetSplit(w *rollout.Word) {
	s := b.splits[w.Service]
	if s != nil && s.target == w.Target() && s.spread == w.Spread && s.turn == w.Turn {
		return
	}
	s = &split{target: w.Target(), spread: w.Spread, turn: w.Turn}
	b.splits[w.Service] = s
	b.divide(w.Service, s)
}

// DropSplit forgets a service's versions.
func (b *Balancer) DropSplit(service string) { delete(b.splits, service) }

// Versions returns how many endpoints of a service take requests, of its old versions
// and of the one that it moves to.
func (b *Balancer) Versions(service string) (old, target int) {
	s := b.splits[service]
	if s == nil {
		return len(b.sets[service]), 0
	}
	return len(s.old), s.all
}

func (b *Balancer) divideAll() {
	for service, s := range b.splits {
		b.divide(service, s)
	}
}

// divide sorts a service's endpoints by version, and draws those of the target that
// are used: all daemons the same, so that few have the load of many.
func (b *Balancer) divide(service string, s *split) {
	s.old, s.new = nil, nil
	for _, m := range b.sets[service] {
		if m.Version == s.target {
			s.new = append(s.new, m)
		} else {
			s.old = append(s.old, m)
		}
	}
	s.all = len(s.new)
	if s.spread >= s.all {
		return
	}
	slices.SortFunc(s.new, func(x, y *member) int {
		if rendezvous.Mix(s.turn, x.hash) < rendezvous.Mix(s.turn, y.hash) {
			return -1
		}
		return 1
	})
	s.new = s.new[:s.spread]
}

// set returns the members of a service that may be chosen.
func (b *Balancer) set(a *Ask) []*member {
	s := b.splits[a.Service]
	switch {
	case s == nil && a.Side == rollout.Old && b.Mixed(a.Service):
		return b.settled[a.Service]
	case s == nil || a.Side == rollout.Any:
		return b.sets[a.Service]
	case a.Side == rollout.New:
		return s.new
	default:
		return s.old
	}
}

// Mixed reports whether a service has endpoints of several versions.
func (b *Balancer) Mixed(service string) bool {
	_, mixed := b.settled[service]
	return mixed
}

// settle finds the version that has served longest, of services that have several.
func (b *Balancer) settle() {
	b.settled = map[string][]*member{}
	for service, all := range b.listed {
		version, mixed := b.settledVersion(service, all)
		b.versions[service] = version
		if !mixed {
			continue
		}
		var of []*member
		for _, m := range b.sets[service] {
			if m.Version == version {
				of = append(of, m)
			}
		}
		if len(of) == 0 { // all of it leave
			of = b.sets[service]
		}
		b.settled[service] = of
	}
}

// settledVersion returns the version that has served longest, and whether there are
// others: the one that this daemon knew alone, where it is still there, or else that
// of the endpoint that started first. Failure: all endpoints of the old version have
// crashed and started again, later than those of the new one. Symptom: the new
// version is taken for the old one.
func (b *Balancer) settledVersion(service string, all []*member) (version string, mixed bool) {
	first, known := all[0], false
	for _, m := range all {
		mixed = mixed || m.Version != all[0].Version
		known = known || m.Version == b.versions[service]
		if m.Born.Before(first.Born) {
			first = m
		}
	}
	if known {
		return b.versions[service], mixed
	}
	return first.Version, mixed
}

// onSide reports whether a member is of the versions that may be chosen.
func (b *Balancer) onSide(a *Ask, m *member) bool {
	s := b.splits[a.Service]
	return s == nil || a.Side == rollout.Any || (m.Version == s.target) == (a.Side == rollout.New)
}
