package template

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Store holds the revisions that one daemon has in force. It isn't safe for
// concurrent use; its owner passes the immutable Snapshot to request handlers.
type Store struct {
	active        map[string]*activeRevision
	unusable      map[string]uint64 // by name, the highest version that couldn't be put in force
	digest        Digest
	snapshot      *Snapshot
	caughtUp      bool
	lastConfirmed time.Time // when the platform's store, or a peer that had caught up, last confirmed what is in force
	history       history
}

// activeRevision is the revision of a name that is in force.
type activeRevision struct {
	revision Revision
	resolved *resolved // nil where deleted
}

// Effect is the effect of applying a revision.
type Effect string

// The effects.
const (
	InForce  Effect = "in-force"
	Older    Effect = "older"    // the same version or a higher one was applied or rejected before
	Unusable Effect = "unusable" // the previous version stays in force
)

// Applied is the result of applying one revision.
type Applied struct {
	Name     string
	Version  uint64
	Deleted  bool
	Effect   Effect
	Before   uint64    // version in force before, 0 for none
	Problems []Problem // where Unusable
}

// NewStore returns a store with nothing in force.
func NewStore() *Store {
	s := &Store{active: map[string]*activeRevision{}, unusable: map[string]uint64{}}
	s.rebuild()
	return s
}

// Apply puts revisions in force, except those of which the same or a higher
// version of the name was applied or rejected before: responses of the
// platform's store and of peers can arrive out of order, and a late one must
// not restore an old state. The order of the revisions doesn't matter.
func (s *Store) Apply(revisions ...Revision) []Applied {
	out := make([]Applied, 0, len(revisions))
	changed := false
	for _, r := range revisions {
		applied := s.apply(r)
		changed = changed || applied.Effect == InForce
		out = append(out, applied)
	}
	if changed {
		s.rebuild()
	}
	return out
}

func (s *Store) apply(r Revision) Applied {
	out := Applied{Name: r.Name, Version: r.Version, Deleted: r.Deleted, Effect: Older}
	out.Before = s.version(r.Name)
	if r.Version <= s.known(r.Name) {
		return out
	}
	next := &activeRevision{revision: r}
	if !r.Deleted {
		next.resolved, out.Problems = resolveRevision(r)
	}
	if len(out.Problems) > 0 {
		s.unusable[r.Name] = r.Version
		out.Effect = Unusable
		return out
	}
	s.digest = s.digest.replace(r.Name, out.Before, r.Version)
	s.active[r.Name] = next
	delete(s.unusable, r.Name)
	s.history.add(s.digest, r.Name, r.Version)
	out.Effect = InForce
	return out
}

// resolveRevision resolves a revision's template.
func resolveRevision(r Revision) (*resolved, []Problem) {
	t, err := FromJSON(r.Value)
	if err != nil {
		return nil, []Problem{{Message: err.Error()}}
	}
	found := &problems{}
	out := t.check(found)
	return &out, found.sorted()
}

// version returns the version of a name in force, tombstones included.
func (s *Store) version(name string) uint64 {
	if h, ok := s.active[name]; ok {
		return h.revision.Version
	}
	return 0
}

// known returns the highest version of a name that was applied or rejected. An
// unusable version counts, so that it isn't fetched again and again.
func (s *Store) known(name string) uint64 { return max(s.version(name), s.unusable[name]) }

// rebuild builds a new snapshot from scratch. With a change every 23 s an
// incremental update isn't needed.
func (s *Store) rebuild() {
	var all []*resolved
	versions := map[string]uint64{}
	for name, h := range s.active {
		if h.resolved == nil {
			continue
		}
		all = append(all, h.resolved)
		versions[name] = h.revision.Version
	}
	s.snapshot = merge(all, s.digest, versions)
}

// Snapshot returns what is in force, for request handlers. It is immutable.
func (s *Store) Snapshot() *Snapshot { return s.snapshot }

// Digest returns the digest to send to peers: zero until the store has caught
// up, so that no daemon fetches from an incomplete store.
func (s *Store) Digest() Digest {
	if !s.caughtUp {
		return Digest{}
	}
	return s.digest
}

// KnownVersions returns the highest known version of each name. A peer responds
// to it with the revisions that are newer.
func (s *Store) KnownVersions() map[string]uint64 {
	out := make(map[string]uint64, len(s.active))
	for name := range s.active {
		out[name] = s.known(name)
	}
	for name := range s.unusable {
		out[name] = s.known(name)
	}
	return out
}

// Newer returns the revisions that a peer lacks, oldest first. It reports false
// while this daemon hasn't caught up itself: otherwise two new daemons would
// take each other's empty response for the complete state.
func (s *Store) Newer(known map[string]uint64) ([]Revision, bool) {
	if !s.caughtUp {
		return nil, false
	}
	var out []Revision
	for _, name := range slices.Sorted(maps.Keys(s.active)) {
		if r := s.active[name].revision; r.Version > known[name] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Revision) int { return cmp.Compare(a.Version, b.Version) })
	return out, true
}
