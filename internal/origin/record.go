package origin

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// Error is the class of errors of this package.
var Error = errs.Class("origin")

// ErrLater means that a record was written later than the reader's estimate of the fleet's
// time, which may be wrong until it has been corrected.
var ErrLater = Error.New("the record's time is later than the fleet's")

// Record is what is stored of the versions that each service had, for daemons that start after
// all were killed. With the changes of the endpoints' entries since Revision it contains every
// version that has served since Known before it was written.
type Record struct {
	At       time.Time `json:"at"`       // by the fleet's clock
	Revision uint64    `json:"revision"` // of the store, up to which the writer's list was complete
	// Routes identifies the services of the routes whose streams can be taken up, see
	// route.Table.ResumableServices. They were the same for as long as Known.
	Routes uint64        `json:"routes"`
	Config ConfigRecord  `json:"config"` // zero from an earlier release
	Known  time.Duration `json:"known_ns"`
	Seen   []Gone        `json:"versions"`
}

// ConfigRecord is the configuration that the writer of a Record had.
type ConfigRecord struct {
	Revision uint64 `json:"revision"` // of the store, up to which the writer had every version
	Version  uint64 `json:"version"`
}

// NewRecord returns a record of a history; ok is false if it would say nothing.
func NewRecord(h History, at time.Time, revision, routes uint64, config ConfigRecord) (r Record, ok bool) {
	r = Record{At: at, Revision: revision, Routes: routes, Config: config, Known: h.Known, Seen: h.Gone}
	return r, h.Known > 0 && revision > 0 && config.Revision > 0
}

// Changes are the changes in the store since a record.
type Changes struct {
	Entries     []Change
	EntriesUpTo uint64 // the store's revision up to which Entries is complete
	Configs     []ConfigChange
	ConfigsUpTo uint64 // the same of Configs
}

// Change is a change of an endpoint's entry after a record's revision.
type Change struct {
	Origin
	// Unreadable means that the entry can't be decoded, so that its version isn't known.
	Unreadable bool
	// Deleted entries are of a version that an earlier entry has stated.
	Deleted bool
}

// ConfigChange is a version of the configuration that was written after a record's
// ConfigRecord.Revision.
type ConfigChange struct {
	Version uint64
	Routes  uint64 // as in a Record
	// Unreadable means that the configuration can't be decoded, so that its services aren't known.
	Unreadable bool
}

// Reader is what a daemon that reads a record has itself.
type Reader struct {
	FleetTime time.Time // its estimate
	Listed    uint64    // the store's revision of its first list of endpoints
	Routes    uint64    // as in a Record
	Config    uint64    // the first version of the configuration that it had
	// Contact is the longest time without contact with the store in which endpoints that start
	// unlisted are left out of account.
	Contact time.Duration
}

// Check returns why a record can't be used by a reader, whatever has changed since.
func (r *Record) Check(by *Reader) error {
	switch {
	case r.Revision == 0 || r.At.IsZero() || r.Known <= 0 || r.Known > maxHorizon:
		return Error.New("the record is invalid")
	case by.Listed == 0:
		return Error.New("the list's revision isn't known")
	case objects.EraOf(r.Revision) != objects.EraOf(by.Listed):
		return Error.New("the record is of era %d of the store, the list of era %d", objects.EraOf(r.Revision), objects.EraOf(by.Listed))
	case r.Config.Revision == 0:
		return Error.New("the record doesn't state the configuration's revision")
	case objects.EraOf(r.Config.Revision) != objects.EraOf(by.Listed):
		return Error.New("the record's configuration is of era %d of the store, the list of era %d", objects.EraOf(r.Config.Revision), objects.EraOf(by.Listed))
	case r.Routes != by.Routes:
		return Error.New("the routes' services have changed since the record")
	case r.At.After(by.FleetTime):
		return ErrLater
	case by.FleetTime.Sub(r.At) > maxHorizon:
		return Error.New("the record is %v old", by.FleetTime.Sub(r.At).Round(time.Second))
	}
	return r.checkVersions()
}

func (r *Record) checkVersions() error {
	for _, g := range r.Seen {
		if g.Ago < 0 || g.Service == "" {
			return Error.New("the record is invalid")
		}
	}
	return nil
}

// Conclusion is what follows from a record and the changes since.
type Conclusion struct {
	History
	// Settled means that the store was in contact until shortly before, so that no endpoints
	// are missing in the list that started unlisted.
	Settled bool
}

// Conclude returns what a record and the changes since allow to conclude. The ages in it are those of the record: they are
// too small by the time since it was written, so that a version counts for longer and the
// history reaches less far back than it could. No clock enters but in Settled.
func (r *Record) Conclude(by *Reader, changes *Changes) (Conclusion, error) {
	if err := r.Check(by); err != nil {
		return Conclusion{}, err
	}
	if !reaches(changes.EntriesUpTo, r.Revision, by.Listed) {
		return Conclusion{}, Error.New("the changes don't reach the first list")
	}
	if err := r.checkConfigs(by, changes); err != nil {
		return Conclusion{}, err
	}
	out := Conclusion{History: History{Known: r.Known}, Settled: by.FleetTime.Sub(r.At) <= by.Contact}
	out.Gone = append(out.Gone, r.Seen...)
	for _, c := range changes.Entries {
		switch {
		case c.Unreadable && !c.Deleted:
			return Conclusion{}, Error.New("an entry that has changed can't be decoded")
		case !c.Unreadable:
			out.Gone = append(out.Gone, Gone{Origin: c.Origin})
		}
	}
	return out, nil
}

// reaches reports whether changes up to a revision of the store lead from a record's revision to
// a list's.
func reaches(upTo, recorded, listed uint64) bool {
	return objects.EraOf(upTo) == objects.EraOf(recorded) && upTo >= max(recorded, listed)
}

// checkConfigs returns an error unless every configuration since the record has the same services
// of routes. A route that moved to another service and back after the record was written leaves
// streams that began at the other service, while both hashes are the same.
func (r *Record) checkConfigs(by *Reader, changes *Changes) error {
	newest := r.Config.Version
	for _, c := range changes.Configs {
		switch {
		case c.Unreadable:
			return Error.New("a configuration that was written since the record can't be decoded")
		case c.Routes != r.Routes:
			return Error.New("the routes' services had changed in version %d of the configuration", c.Version)
		}
		newest = max(newest, c.Version)
	}
	if !reaches(changes.ConfigsUpTo, r.Config.Revision, by.Listed) || newest < by.Config {
		return Error.New("the changes of the configuration don't reach the first one, version %d", by.Config)
	}
	return nil
}
