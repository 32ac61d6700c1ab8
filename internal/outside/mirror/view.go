package mirror

import (
	"sort"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

type objectKey struct{ kind, name string }

// view is what a mirror has reported: the versions of the objects that exist. It does no I/O. Its
// methods return what to report, oldest first.
//
// A list from a lagging replica of the store, or a store that was restored to an older state,
// shows a lower version after a higher one, and what is in force would revert. A version is
// reported only if it is above the object's last one and above its kind's floor, and a list
// from before the latest state is not used at all.
type view struct {
	live    map[objectKey]uint64
	floors  map[string]uint64 // by kind: every change up to it was in a list
	version uint64            // the watch continues after it
	highest uint64            // the highest version of the store that was seen
}

func newView() *view {
	return &view{live: make(map[objectKey]uint64), floors: make(map[string]uint64)}
}

// lists are lists of all kinds, made one after the other.
type lists map[string]objectapi.List

// oldest is the version of the first list: the watch must continue from it.
func (l lists) oldest() uint64 {
	first := true
	var oldest uint64
	for _, list := range l {
		if first || list.Version < oldest {
			oldest, first = list.Version, false
		}
	}
	return oldest
}

// stale reports whether the list is older than what was reported.
func (v *view) stale(list objectapi.List) bool { return list.Version < v.highest }

// reset takes full lists, none of them stale.
func (v *view) reset(full lists) []objectapi.Object {
	var told []objectapi.Object
	for kind, list := range full {
		told = append(told, v.resetKind(kind, list)...)
		v.floors[kind] = list.Version
		v.highest = max(v.highest, list.Version)
	}
	v.version = full.oldest()
	sort.Slice(told, func(i, j int) bool { return told[i].Version < told[j].Version })
	return told
}

func (v *view) resetKind(kind string, list objectapi.List) []objectapi.Object {
	var told []objectapi.Object
	listed := make(map[string]bool, len(list.Objects))
	for _, o := range list.Objects {
		listed[o.Name] = true
		if v.accept(o) {
			told = append(told, o)
		}
	}
	for key := range v.live {
		if key.kind == kind && !listed[key.name] {
			delete(v.live, key)
			// The list proves the deletion, but not its version; the list's
			// own is at least as high.
			told = append(told, objectapi.Object{Kind: kind, Name: key.name, Version: list.Version, Deleted: true})
		}
	}
	return told
}

// apply takes a watch's answer.
func (v *view) apply(answer objectapi.WatchAnswer) []objectapi.Object {
	var told []objectapi.Object
	since := v.version
	for _, o := range answer.Changes {
		if o.Version > max(since, v.floors[o.Kind]) && v.accept(o) {
			told = append(told, o)
		}
		v.highest = max(v.highest, o.Version)
	}
	v.version = max(since, answer.Version)
	v.highest = max(v.highest, v.version)
	return told
}

// accept records the object's version, and reports whether it is a new one.
func (v *view) accept(o objectapi.Object) bool {
	key := objectKey{o.Kind, o.Name}
	if o.Version <= v.live[key] {
		return false
	}
	if o.Deleted {
		delete(v.live, key)
	} else {
		v.live[key] = o.Version
	}
	return true
}
