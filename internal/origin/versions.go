package origin

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

const (
	// maxHorizon is the longest time that versions are known back.
	maxHorizon = 2 * time.Minute
	// settling is how long endpoints that have started may be missing in a list that is kept up
	// to date, also after an interruption.
	settling = 3 * time.Second
)

// Versions records which versions the endpoints of each service had, now and before. It is
// not safe for concurrent use.
type Versions struct {
	since     time.Time // from when on all versions are recorded, zero before the first list
	settledAt time.Time // when the list is complete after an interruption
	era       uint64    // the store's, see objects.EraOf
	eraSince  time.Time // when the store came back from an older copy, zero if it didn't
	listed    map[string]map[string]bool
	gone      map[Origin]time.Time // when the last endpoint of a version was removed
}

// NewVersions returns a record without a list.
func NewVersions() *Versions {
	return &Versions{listed: map[string]map[string]bool{}, gone: map[Origin]time.Time{}}
}

// Listed takes the newest list of endpoints, draining ones included.
func (v *Versions) Listed(now time.Time, all []roster.Endpoint) {
	if v.since.IsZero() {
		v.since = now
	}
	listed := map[string]map[string]bool{}
	for i := range all {
		e := &all[i]
		if listed[e.Service] == nil {
			listed[e.Service] = map[string]bool{}
		}
		listed[e.Service][e.Version] = true
	}
	for service, versions := range v.listed {
		for version := range versions {
			if !listed[service][version] {
				v.gone[Origin{service, version}] = now
			}
		}
	}
	v.listed = listed
	for o, at := range v.gone {
		if now.Sub(at) > maxHorizon {
			delete(v.gone, o)
		}
	}
}

// Seen records a version that an endpoint's entry had, also if it is replaced before the next
// list.
func (v *Versions) Seen(now time.Time, o Origin) {
	if !v.listed[o.Service][o.Version] {
		v.gone[o] = now
	}
}

// Era records the era of the store that the list is from. Entries written shortly before the
// store came back from an older copy may never have been listed here.
func (v *Versions) Era(now time.Time, era uint64) {
	if era > v.era && !v.since.IsZero() {
		v.eraSince = now
	}
	v.era = max(v.era, era)
}

// Interrupted records that the list may lack endpoints that have started lately.
func (v *Versions) Interrupted(now time.Time) { v.settledAt = now.Add(settling) }

// Only returns the version of a service that began all streams of the last horizon; ok is
// false if there were several, or if that isn't known.
func (v *Versions) Only(now time.Time, service string, horizon time.Duration) (version string, ok bool) {
	if horizon > maxHorizon || !v.Reaches(now, horizon) {
		return "", false
	}
	found := 0
	for listed := range v.listed[service] {
		version, found = listed, found+1
	}
	for o, at := range v.gone {
		if o.Service == service && now.Sub(at) <= horizon && !v.listed[service][o.Version] {
			version, found = o.Version, found+1
		}
	}
	return version, found == 1
}

// Several reports whether more than one version of a service may have begun the streams of the
// last horizon.
func (v *Versions) Several(now time.Time, service string, horizon time.Duration) bool {
	found := len(v.listed[service])
	for o, at := range v.gone {
		if o.Service == service && now.Sub(at) <= horizon && !v.listed[service][o.Version] {
			found++
		}
	}
	return found > 1
}

// Settled records that the list lacks no endpoints that have started lately.
func (v *Versions) Settled() { v.settledAt = time.Time{} }

// History is what a daemon knows of versions, for another one that started later.
type History struct {
	Known time.Duration // how far it reaches back; 0: nothing is known
	Gone  []Gone
}

// Gone is a version that had endpoints.
type Gone struct {
	Origin
	Ago time.Duration `json:"ago_ns"` // since its last endpoint was removed, 0 if it has some
}

// History returns what is known. It reaches back to the last event after which versions may
// have served that are not recorded here: an interruption, a store that came back from an
// older copy, or from, a time given by the caller. Versions that have endpoints are included:
// their last entry may have been removed before the receiver's first list.
func (v *Versions) History(now, from time.Time) History {
	if v.since.IsZero() || now.Before(v.settledAt) {
		return History{}
	}
	out := History{Known: min(now.Sub(latest(v.since, v.settledAt, v.eraSince, from)), maxHorizon)}
	for service, versions := range v.listed {
		for version := range versions {
			out.Gone = append(out.Gone, Gone{Origin{service, version}, 0})
		}
	}
	for o, at := range v.gone {
		if !v.listed[o.Service][o.Version] {
			out.Gone = append(out.Gone, Gone{o, max(now.Sub(at), 0)})
		}
	}
	return out
}

// latest returns the latest of some times.
func latest(all ...time.Time) time.Time {
	return slices.MaxFunc(all, time.Time.Compare)
}

// Wants reports whether another daemon's history may help.
func (v *Versions) Wants(now time.Time) bool {
	return !v.since.IsZero() && now.Sub(v.since) < maxHorizon
}

// Reaches reports whether all versions since some time ago are known.
func (v *Versions) Reaches(now time.Time, back time.Duration) bool {
	return !v.since.IsZero() && now.Sub(v.since) >= back && !now.Before(v.settledAt)
}

// Merge takes another daemon's history: its versions, and how far it reaches back if that is
// further than here. One that no daemon can have is ignored.
func (v *Versions) Merge(now time.Time, h History) {
	if v.since.IsZero() || h.Known <= 0 || h.Known > maxHorizon {
		return
	}
	if since := now.Add(-h.Known); since.Before(v.since) {
		v.since = since
	}
	for _, g := range h.Gone {
		if at := now.Add(-max(g.Ago, 0)); at.After(v.gone[g.Origin]) {
			v.gone[g.Origin] = at
		}
	}
}
