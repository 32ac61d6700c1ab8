package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

const (
	// restoreCheckInterval is how often a daemon that has just started checks whether it
	// should read the versions.
	restoreCheckInterval = 50 * time.Millisecond
	// minRestoreBackoff and maxRestoreBackoff bound the time between two reads that fail.
	minRestoreBackoff = 250 * time.Millisecond
	maxRestoreBackoff = 2 * time.Second
	// maxChangeReads bounds the calls for the changes of a kind since the record, of which one is enough
	// unless the store returns them in parts.
	maxChangeReads = 8
)

// versionsRestorer restores the versions that services had before this daemon started, from the
// record of the last holder of the duties and the changes since. It runs where this daemon
// watches the store for others; these get the result from a hub.
type versionsRestorer struct {
	node *Node
	// stored is the record as it was read at the start; nil where the store didn't answer.
	stored chan json.RawMessage
}

func newVersionsRestorer(n *Node) *versionsRestorer {
	return &versionsRestorer{node: n, stored: make(chan json.RawMessage, 1)}
}

// run restores the versions unless another daemon's history arrives first. A read that fails is
// repeated for as long as the result may help.
func (r *versionsRestorer) run(ctx context.Context) {
	if r.node.settings.Daemon.FirstStart {
		return
	}
	var failed error
	wait, backoff := restoreCheckInterval, minRestoreBackoff
	for pause.For(ctx, wait) && r.node.origins.lacksHistory() {
		wait = restoreCheckInterval
		if !r.due(time.Now()) {
			continue
		}
		record, c, err := r.read(ctx)
		if err == nil {
			r.node.origins.restore(c)
			r.logRestored(record, c)
			return
		}
		if failed = err; !repeatable(err) {
			break
		}
		wait, backoff = backoff, min(2*backoff, maxRestoreBackoff)
	}
	if failed != nil && ctx.Err() == nil {
		r.node.logFor("daemon").WithError(failed).Info("versions not restored")
	}
}

func (r *versionsRestorer) logRestored(record *origin.Record, c origin.Conclusion) {
	r.node.logFor("daemon").WithFields(map[string]any{
		"known_ms": c.Known.Milliseconds(), "record_age_ms": r.node.clock.Now().Sub(record.At).Milliseconds(),
		"revision": record.Revision, "versions": len(c.Gone), "settled": c.Settled,
	}).Info("versions restored")
}

// due reports whether this daemon should read the versions now: it has a list of endpoints and a
// configuration, and watches the store. In a large fleet it must have found enough others to
// know that, or all daemons of one that starts again would read.
func (r *versionsRestorer) due(now time.Time) bool {
	n := r.node
	if !n.Ready() || n.peers.listAge(now) > n.contactBound() {
		return false
	}
	prior, read := n.members.priorCount()
	if read && prior <= exchange.SmallFleet && n.watch.smallFleet() {
		return true
	}
	found, age := len(n.members.serving()), now.Sub(n.started)
	nearlyAll := read && 10*found >= 9*prior
	if !nearlyAll && (age < watchDelay || age < startTime && 2*found < prior) {
		return false
	}
	return !n.watch.reliesOnHubs() && !n.watch.mayLackDaemons()
}

// errStore marks a failed call of the store, which is repeated.
var errStore = Error.New("the store didn't answer")

// errNoRecord means that the last holder of the duties wrote no record: it was of an earlier
// release, or had itself just started.
var errNoRecord = Error.New("no record")

func repeatable(err error) bool { return errors.Is(err, errStore) || errors.Is(err, origin.ErrLater) }

// read returns what the record and the changes since allow to conclude.
func (r *versionsRestorer) read(ctx context.Context) (*origin.Record, origin.Conclusion, error) {
	record, err := r.record(ctx)
	if err != nil {
		return nil, origin.Conclusion{}, err
	}
	by := r.reader()
	if err := record.Check(&by); err != nil { // before the changes are read
		return nil, origin.Conclusion{}, err
	}
	changes, err := r.changes(ctx, record, by.Listed)
	if err != nil {
		return nil, origin.Conclusion{}, err
	}
	c, err := record.Conclude(&by, changes)
	return record, c, err
}

// reader returns what this daemon has itself.
func (r *versionsRestorer) reader() origin.Reader {
	routes, _, _ := r.node.state.ResumableServices()
	return origin.Reader{
		FleetTime: r.node.clock.Now(), Listed: r.node.endpoints.firstListed(), Routes: routes,
		Config: r.node.config.firstVersion(), Contact: r.node.contactBound(),
	}
}

// record returns the record that was read with the limits, or reads it.
func (r *versionsRestorer) record(ctx context.Context) (*origin.Record, error) {
	var text json.RawMessage
	select {
	case text = <-r.stored:
	default:
		kept, err := stored[limitsCheckpoint](r.node.platform.Store.Get(ctx, limitsKind, limitsName))
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return nil, Error.New("%w: %v", errStore, err)
		}
		text = kept.Versions
	}
	if len(text) == 0 {
		return nil, errNoRecord
	}
	record := &origin.Record{}
	if err := json.Unmarshal(text, record); err != nil {
		return nil, Error.New("the record can't be decoded: %v", err)
	}
	r.keep(text)
	return record, nil
}

// keep keeps a record that was read, empty if there is none, for the next try: a new holder of
// the duties may replace the stored one.
func (r *versionsRestorer) keep(text json.RawMessage) {
	select {
	case r.stored <- text:
	default:
	}
}

// changes returns the changes of the endpoints' entries and of the configuration since a record,
// at least up to the revision of the first list.
func (r *versionsRestorer) changes(ctx context.Context, record *origin.Record, listed uint64) (*origin.Changes, error) {
	out, platform := &origin.Changes{}, &r.node.platform
	entries, upTo, err := r.history(ctx, platform.EndpointKind, record.Revision, listed)
	if err != nil {
		return nil, err
	}
	out.EntriesUpTo = upTo
	for _, c := range entries {
		out.Entries = append(out.Entries, r.decode(c))
	}
	configs, upTo, err := r.history(ctx, platform.ConfigKind, record.Config.Revision, listed)
	if err != nil {
		return nil, err
	}
	out.ConfigsUpTo = upTo
	for _, c := range configs {
		if c.Object.Name == platform.ConfigName && !c.Deleted { // as configuration takes them
			out.Configs = append(out.Configs, r.decodeConfig(c))
		}
	}
	return out, nil
}

// history returns the changes of a kind of objects after a revision, and the revision up to which
// they are complete, at least listed.
func (r *versionsRestorer) history(ctx context.Context, kind string, after, listed uint64) ([]objects.Change, uint64, error) {
	var out []objects.Change
	for range maxChangeReads {
		changes, next, err := r.node.platform.Store.Watch(ctx, kind, after, 0)
		switch {
		case errors.Is(err, objects.ErrGone):
			return nil, 0, err
		case err != nil:
			return nil, 0, Error.New("%w: %v", errStore, err)
		}
		out = append(out, changes...)
		if next >= listed {
			return out, next, nil
		}
		after = max(after, next)
	}
	return nil, 0, Error.New("%w: the changes end before the list", errStore)
}

func (r *versionsRestorer) decode(c objects.Change) origin.Change {
	e, err := r.node.platform.DecodeEndpoint(time.Now(), c.Object)
	return origin.Change{Origin: originOf(&e), Unreadable: err != nil, Deleted: c.Deleted}
}

func (r *versionsRestorer) decodeConfig(c objects.Change) origin.ConfigChange {
	t, err := r.node.platform.DecodeTable(c.Object.Spec)
	if err != nil {
		return origin.ConfigChange{Unreadable: true}
	}
	return origin.ConfigChange{Version: t.Version, Routes: t.ResumableServices()}
}
