package origin

import (
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

// Interrupted records that the list may lack endpoints that have started lately.
func (v *Versions) Interrupted(now time.Time) { v.settledAt = now.Add(settling) }

// Only returns the version of a service that began all streams of the last horizon; ok is
// false if there were several, or if that isn't known.
func (v *Versions) Only(now time.Time, service string, horizon time.Duration) (version string, ok bool) {
	if v.since.IsZero() || now.Sub(v.since) < horizon || horizon > maxHorizon || now.Before(v.settledAt) {
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

// History is what a daemon knows of versions that are gone, for another that started later.
type History struct {
	Known time.Duration // how far it reaches back; 0: nothing is known
	Gone  []Gone
}

// Gone is a version without endpoints.
type Gone struct {
	Origin
	Ago time.Duration // since its last endpoint was removed
}

// History returns what is known.
func (v *Versions) History(now time.Time) History {
	if v.since.IsZero() || now.Before(v.settledAt) {
		return History{}
	}
	out := History{Known: min(now.Sub(v.since), maxHorizon)}
	for o, at := range v.gone {
		out.Gone = append(out.Gone, Gone{o, now.Sub(at)})
	}
	return out
}

// Wants reports whether another daemon's history may help.
func (v *Versions) Wants(now time.Time) bool {
	return !v.since.IsZero() && now.Sub(v.since) < maxHorizon
}

// Merge takes another daemon's history, if it reaches further back.
func (v *Versions) Merge(now time.Time, h History) {
	if v.since.IsZero() || now.Add(-h.Known).After(v.since) {
		return
	}
	v.since = now.Add(-h.Known)
	for _, g := range h.Gone {
		if at := now.Add(-g.Ago); at.After(v.gone[g.Origin]) {
			v.gone[g.Origin] = at
		}
	}
}
