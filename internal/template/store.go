package template

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Store is what one daemon has in force. It isn't safe for concurrent use; the
// duty that owns it hands its Snapshot to request handlers.
type Store struct {
	held     map[string]*holding
	unusable map[string]uint64 // highest version that couldn't be put in force
	digest   Digest
	snapshot *Snapshot
	caughtUp bool
	contact  time.Time // last answer of the store's API or of a peer that had caught up
	past     history
}

// holding is the highest usable revision of a name.
type holding struct {
	revision Revision
	resolved *resolved // nil where deleted
}

// Effect is what Apply did with a revision.
type Effect string

// The effects.
const (
	InForce  Effect = "in-force"
	Older    Effect = "older"    // the same version or a higher one was known
	Unusable Effect = "unusable" // the version before it stays in force
)

// Applied reports on one revision.
type Applied struct {
	Name    string
	Version uint64
	Deleted bool
	Effect  Effect
	Before  uint64    // version that was in force
	Faults  []Problem // where Unusable
}

// NewStore returns a store with nothing in force.
func NewStore() *Store {
	s := &Store{held: map[string]*holding{}, unusable: map[string]uint64{}}
	s.rebuild()
	return s
}

// Apply puts revisions in force, each unless its version or a higher one of
// its name is known already: answers of the store and of peers overtake each
// other, and a late one must not bring an old state back. The order of the
// revisions doesn't matter.
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
	next := &holding{revision: r}
	if !r.Deleted {
		next.resolved, out.Faults = usable(r)
	}
	if len(out.Faults) > 0 {
		s.unusable[r.Name] = r.Version
		out.Effect = Unusable
		return out
	}
	s.digest = s.digest.replace(r.Name, out.Before, r.Version)
	s.held[r.Name] = next
	delete(s.unusable, r.Name)
	s.past.add(s.digest, r.Name, r.Version)
	out.Effect = InForce
	return out
}

// usable resolves a revision's template.
func usable(r Revision) (*resolved, []Problem) {
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
	if h, ok := s.held[name]; ok {
		return h.revision.Version
	}
	return 0
}

// known returns the highest version of a name that was ever seen. An unusable
// one counts, so that it isn't fetched over and over.
func (s *Store) known(name string) uint64 { return max(s.version(name), s.unusable[name]) }

// rebuild makes the snapshot anew. At a change every 23 s there is no need to
// do it by parts.
func (s *Store) rebuild() {
	var all []*resolved
	versions := map[string]uint64{}
	for name, h := range s.held {
		if h.resolved == nil {
			continue
		}
		all = append(all, h.resolved)
		versions[name] = h.revision.Version
	}
	s.snapshot = merge(all, s.digest, versions)
}

// Snapshot returns what is in force, for request handlers. It never changes.
func (s *Store) Snapshot() *Snapshot { return s.snapshot }

// Digest returns what peers are told: zero until the store has caught up, so
// that no daemon takes a half-filled one for a source.
func (s *Store) Digest() Digest {
	if !s.caughtUp {
		return Digest{}
	}
	return s.digest
}

// Have returns the highest known version of each name, for a peer to answer
// with what is newer.
func (s *Store) Have() map[string]uint64 {
	out := make(map[string]uint64, len(s.held))
	for name := range s.held {
		out[name] = s.known(name)
	}
	for name := range s.unusable {
		out[name] = s.known(name)
	}
	return out
}

// Newer returns what a peer lacks, oldest first. It reports false while this
// daemon hasn't caught up itself: an empty answer from it would let two new
// daemons believe that there is nothing to have.
func (s *Store) Newer(have map[string]uint64) ([]Revision, bool) {
	if !s.caughtUp {
		return nil, false
	}
	var out []Revision
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		if r := s.held[name].revision; r.Version > have[name] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Revision) int { return cmp.Compare(a.Version, b.Version) })
	return out, true
}
