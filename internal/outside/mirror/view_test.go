package mirror

import (
	"fmt"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var kinds = []string{"lease", "template"}

// truth is a store's whole history: change i made version i+1.
type truth []objectapi.Object

// list is the kind's list as it was at a version.
func (h truth) list(kind string, version uint64) objectapi.List {
	byName := make(map[string]objectapi.Object)
	for _, o := range h[:version] {
		if o.Kind == kind {
			byName[o.Name] = o
		}
	}
	list := objectapi.List{Version: version}
	for _, o := range byName {
		if !o.Deleted {
			list.Objects = append(list.Objects, o)
		}
	}
	return list
}

// told is the versions that a mirror has reported. It fails when one decreases.
type told map[objectKey]objectapi.Object

func (k told) hear(t assert.TestingT, changes []objectapi.Object) {
	for _, o := range changes {
		key := objectKey{o.Kind, o.Name}
		assert.Assert(t, o.Version > k[key].Version, "%v: %d after %d", key, o.Version, k[key].Version)
		k[key] = o
	}
}

// Guards against lower versions after higher ones, from lagging replicas of the store.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h truth
		v, owner := newView(), told{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				h = append(h, objectapi.Object{
					Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
					Name:    fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")),
					Version: uint64(len(h) + 1),
					Deleted: rapid.Bool().Draw(t, "deleted"),
				})
			case 2:
				relist(t, v, owner, h, func() uint64 { return rapid.Uint64Range(0, uint64(len(h))).Draw(t, "listed at") })
			case 3:
				if v.version <= uint64(len(h)) {
					to := rapid.Uint64Range(v.version, uint64(len(h))).Draw(t, "watched to")
					owner.hear(t, v.apply(objectapi.WatchAnswer{Changes: h[v.version:to], Version: to}))
				}
			}
		}
		now := uint64(len(h))
		relist(t, v, owner, h, func() uint64 { return rapid.Uint64Range(v.highest, now).Draw(t, "last listed at") })
		owner.hear(t, v.apply(objectapi.WatchAnswer{Changes: h[v.version:now], Version: now}))
		assert.DeepEqual(t, owner.live(), h.live())
	})
}

// live returns the versions of the objects that the owner takes to exist.
func (k told) live() map[string]uint64 {
	live := make(map[string]uint64)
	for key, o := range k {
		if !o.Deleted {
			live[key.kind+"/"+key.name] = o.Version
		}
	}
	return live
}

// live returns the versions of the objects that exist in the end.
func (h truth) live() map[string]uint64 {
	live := make(map[string]uint64)
	for _, kind := range kinds {
		for _, o := range h.list(kind, uint64(len(h))).Objects {
			live[kind+"/"+o.Name] = o.Version
		}
	}
	return live
}

// relist lists every kind at a version of its own, unless a list is stale.
func relist(t *rapid.T, v *view, owner told, h truth, at func() uint64) {
	full := make(lists)
	for _, kind := range kinds {
		list := h.list(kind, at())
		if v.stale(list) {
			return
		}
		full[kind] = list
	}
	owner.hear(t, v.reset(full))
}
