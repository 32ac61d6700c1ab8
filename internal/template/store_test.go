package template

import (
	"fmt"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Daemons with the same versions must have equal digests and equal snapshots,
// in whatever order and however often they received these and older versions.
func TestEqualVersionsHaveEqualDigestsAndSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Revision
		for v := range rapid.IntRange(1, 12).Draw(t, "versions") {
			r := Revision{Name: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "name")), Version: uint64(v + 1)}
			template := small(r.Name)
			template.Closing.Priority = Scalar(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "priority")))
			template.Workspaces[0].Priority = Scalar(fmt.Sprint(v))
			r.Value, _ = template.JSON()
			r.Deleted = rapid.Bool().Draw(t, "deleted")
			all = append(all, r)
		}
		straight, shuffled := NewStore(), NewStore()
		straight.Apply(all...)
		for _, r := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			before := shuffled.version(r.Name)
			shuffled.Apply(r)
			assert.Assert(t, shuffled.version(r.Name) >= before)
		}
		assert.Equal(t, shuffled.digest, straight.digest)
		a, b := straight.Snapshot(), shuffled.Snapshot()
		assert.Equal(t, a.WorkspaceCount(), b.WorkspaceCount())
		if wa, ok := a.Workspace("w"); ok {
			wb, _ := b.Workspace("w")
			assert.DeepEqual(t, wa, wb)
		}
	})
}

// A revision that this release can't use must not replace the one in force, nor
// be fetched again and again.
func TestUnusableRevisionKeepsThePreviousInForce(t *testing.T) {
	s := NewStore()
	s.Apply(revision(t, small("a"), 3))
	digest := s.digest
	applied := s.Apply(Revision{Name: "a", Version: 7, Value: []byte(`{"name":"a"}`)})
	assert.Equal(t, applied[0].Effect, Unusable)
	assert.Assert(t, len(applied[0].Problems) > 0)
	assert.Equal(t, s.Snapshot().Version("a"), uint64(3))
	assert.Equal(t, s.digest, digest)
	assert.Equal(t, s.KnownVersions()["a"], uint64(7))
	assert.Equal(t, s.Apply(Revision{Name: "a", Version: 7})[0].Effect, Older)
	assert.Equal(t, s.Apply(revision(t, small("a"), 8))[0].Effect, InForce)
}

// An old list arrives after a deletion. The tombstone has the higher version,
// so the template must not be restored.
func TestDeletedTemplateStaysDeleted(t *testing.T) {
	s := NewStore()
	s.Apply(revision(t, small("a"), 3), Revision{Name: "a", Version: 5, Deleted: true})
	s.Apply(revision(t, small("a"), 3))
	assert.Equal(t, s.Snapshot().WorkspaceCount(), 0)
	s.CaughtUp(noon)
	newer, ok := s.Newer(map[string]uint64{"a": 3})
	assert.Assert(t, ok && len(newer) == 1 && newer[0].Deleted)
}

// A daemon that hasn't caught up must serve nothing to peers: another new
// daemon would take an incomplete response for the complete state and become
// ready.
func TestDaemonThatHasNotCaughtUpServesNoPeer(t *testing.T) {
	s := NewStore()
	s.Apply(revision(t, small("a"), 3))
	_, ok := s.Newer(nil)
	assert.Assert(t, !ok && !s.Ready() && s.Digest().IsZero())
	s.CaughtUp(noon)
	_, ok = s.Newer(nil)
	assert.Assert(t, ok && s.Ready() && !s.Digest().IsZero())
}

// A daemon of an older release must send revisions on with keys that it doesn't
// know, or daemons of the newer release would lose them.
func TestRevisionKeepsUnknownKeys(t *testing.T) {
	r := revision(t, small("a"), 3)
	r.Value = append([]byte(`{"colour":"new",`), r.Value[1:]...)
	s := NewStore()
	assert.Equal(t, s.Apply(r)[0].Effect, InForce)
	s.CaughtUp(noon)
	newer, _ := s.Newer(nil)
	assert.Equal(t, string(newer[0].Value), string(r.Value))
}

func TestStatusByDigests(t *testing.T) {
	s := NewStore()
	s.Apply(revision(t, small("a"), 3))
	old := s.digest
	s.Apply(revision(t, small("b"), 4), revision(t, small("a"), 6))
	at6 := s.digest
	s.Apply(revision(t, small("b"), 9))
	views := []View{
		{Daemon: "same", Digest: s.digest, Reachable: true},
		{Daemon: "lags in b", Digest: at6, Reachable: true},
		{Daemon: "lags", Digest: old, Reachable: true},
		{Daemon: "gone", Digest: s.digest},
		{Daemon: "new", Reachable: true},
		{Daemon: "other", Digest: Digest{Hash: 1, Newest: 99}, Reachable: true},
	}
	want := []Propagation{PropagationInForce, PropagationInForce, PropagationBehind, PropagationUnreachable, PropagationBehind, PropagationUnproven}
	for i, status := range s.Status("a", 6, views) {
		assert.Equal(t, status.State, want[i], "%s", status.Daemon)
	}
	assert.Equal(t, s.Status("a", 7, views)[0].State, PropagationBehind)
}

func TestMergeOfTemplates(t *testing.T) {
	low, high := small("low"), small("high")
	low.Models = []ModelSpec{{Model: "m", MinReplicas: "5", Latency: LatencySpec{FirstToken: "2s"}}, {Model: "n"}}
	low.Workspaces[0].Priority = "1"
	low.Workspaces[0].Tokens = []TokenSpec{{SHA256: hashOf("shared")}, {SHA256: hashOf("own")}}
	high.Closing.Priority = "9"
	high.Models[0].Latency.FirstToken = "1s"
	high.Workspaces[0].Priority = "2"
	high.Workspaces = append(high.Workspaces, WorkspaceSpec{Name: "x", Tokens: []TokenSpec{{SHA256: hashOf("shared")}}})
	s := NewStore()
	s.Apply(revision(t, low, 1), revision(t, high, 2))
	snapshot := s.Snapshot()
	w, ok := snapshot.Workspace("w")
	assert.Assert(t, ok)
	assert.Equal(t, w.Priority, 2)
	assert.Equal(t, len(w.Closings), 2)
	m, ok := w.Model("m", "")
	assert.Assert(t, ok && m.MinReplicas == 5 && m.Latency.FirstToken.Seconds() == 1)
	_, ok = w.Model("n", "")
	assert.Assert(t, ok)
	assert.Equal(t, len(snapshot.Models), 2)
	w, ok = snapshot.Authenticate(noon, []byte("own"))
	assert.Assert(t, ok && w.ID == "w")
	_, ok = snapshot.Authenticate(noon, []byte("shared"))
	assert.Assert(t, !ok, "a token of two workspaces opened one")
	assert.Equal(t, len(snapshot.TokenConflicts), 1)
}

// inForce returns the snapshot with the example in force.
func inForce(t testing.TB) *Snapshot {
	s := NewStore()
	assert.Equal(t, s.Apply(revision(t, example(t), 1))[0].Effect, InForce)
	return s.Snapshot()
}

func TestWorkspaceResolvesItsParameters(t *testing.T) {
	vivo, _ := inForce(t).Workspace("taller-vivo")
	magnolia, _ := inForce(t).Workspace("magnolia")
	assert.Equal(t, vivo.Limits, Limits{55.5, 80, 9000, 20000, 64, 2048})
	assert.Equal(t, magnolia.Limits, Limits{40, 5, 9000, 20000, 64, 2048})
	assert.Equal(t, vivo.Priority, 10)
	assert.Equal(t, magnolia.Priority, 20)
	assert.Equal(t, vivo.Models[0].Ref, fleet.ModelRef{Model: "harvester-diagnosis", Adapter: "cane", Version: "1.10"})
	assert.Equal(t, len(magnolia.Models), 1)
	assert.Equal(t, magnolia.Models[0].Ref.Adapter, "piedmont")
	assert.Equal(t, magnolia.Closings[0].Weights, Weights{Recompute: 0.75, Cost: 0.25})
	assert.Assert(t, magnolia.MayCall("parts") && !magnolia.MayCall("stock"))
	m, ok := vivo.Model("harvester-diagnosis", "")
	assert.Assert(t, ok && m.Ref.Adapter == "cane")
	_, ok = vivo.Model("harvester-diagnosis", "piedmont")
	assert.Assert(t, !ok)
}

func TestExpiredTokenIsRejected(t *testing.T) {
	s := inForce(t)
	w, ok := s.Authenticate(noon, []byte("secret"))
	assert.Assert(t, ok && w.ID == "taller-vivo")
	_, ok = s.Authenticate(noon.AddDate(1, 0, 0), []byte("secret"))
	assert.Assert(t, !ok)
	_, ok = s.Authenticate(noon, []byte("secreT"))
	assert.Assert(t, !ok)
}

// A service may accept other spellings of a path for the same call. If such a
// call is classified as idempotent, it is retried and could run twice.
func TestNonIdempotentCallsMatchInAnySpelling(t *testing.T) {
	s := inForce(t)
	for _, path := range []string{"/orders", "//orders/", "/Orders", "/./orders", "/stock/../orders", "/orders;a=b", "/orders/x/.."} {
		assert.Assert(t, s.NonIdempotent("POST", "parts", path), path)
	}
	assert.Assert(t, s.NonIdempotent("PUT", "parts", "/admin/any/thing"))
	assert.Assert(t, s.NonIdempotent("GET", "unknown", "/"))
	for _, path := range []string{"/orders", "/stock/7", "/"} {
		assert.Assert(t, !s.NonIdempotent("GET", "parts", path), path)
	}
	assert.Assert(t, !s.NonIdempotent("POST", "parts", "/orders/7"))
}
