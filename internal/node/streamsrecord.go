package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/node/originpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
)

const (
	// streamsKind is the kind of the objects in which daemons store the origins of their streams,
	// each in one that has the name of its instance.
	streamsKind = "origins"
	// streamsCheckInterval is how often a daemon checks whether it should store them.
	streamsCheckInterval = 50 * time.Millisecond
	// restoreTimeout is how long after its start a daemon tries to read them. Callers have given
	// the streams up by then.
	restoreTimeout = origin.Retention
	// copiesTime is how long after its start a daemon sends copies of restored origins to homes
	// that it finds: all daemons may be starting.
	copiesTime = 2 * historyHold
	// copiesBatch is the number of restored origins whose copies are sent at once, and
	// copiesPause the time between two batches: 24,000 datagrams a second.
	copiesBatch = 40
	copiesPause = 5 * time.Millisecond
)

// streamsRecord stores the origins of streams while their versions couldn't be told after a kill
// of all daemons, and restores them at the start. In a large fleet some daemons store them for
// the others.
type streamsRecord struct {
	node *Node
	// read says that the restore has ended. Nothing is written before, which would replace what is
	// to be restored.
	read atomic.Bool
	// schedule, revision and handedTo are used by the writer only, revision by the restore before.
	schedule origin.Schedule
	revision uint64 // the object's, 0 if it isn't known
	handedTo string // the daemon that has this daemon's origins, to store them
}

func newStreamsRecord(n *Node) *streamsRecord { return &streamsRecord{node: n} }

func (r *streamsRecord) name() string { return string(r.node.settings.Daemon.Instance) }

// run stores the origins when they are due, or has them stored, until the context ends.
func (r *streamsRecord) run(ctx context.Context) {
	pause.Every(ctx, streamsCheckInterval, func() {
		needed := r.node.origins.needsStreams()
		writer, self := r.node.origins.currentHomes().Writer()
		if !needed {
			writer = ""
		}
		r.handOver(ctx, writer)
		r.storeIfDue(ctx, origin.Moment{
			Needed: needed && self && r.read.Load(), Daemons: len(r.node.members.serving()),
			Stored: origin.Stored{Changes: r.node.origins.ownChanges(), Era: r.node.endpoints.Era()},
		})
	})
}

// handOver makes a daemon store the origins of this daemon's streams, none for the empty address.
func (r *streamsRecord) handOver(ctx context.Context, writer string) {
	if writer == r.handedTo {
		return
	}
	r.handedTo = writer
	r.node.origins.writer.Store(&writer)
	if writer == "" {
		return
	}
	all, _ := r.node.origins.own()
	for i := range all {
		p := storedPacket(&all[i])
		p.Store = true
		r.node.origins.sendTo(writer, p)
		if i%copiesBatch == copiesBatch-1 && !pause.For(ctx, copiesPause) {
			return
		}
	}
}

func (r *streamsRecord) storeIfDue(ctx context.Context, m origin.Moment) {
	if !r.schedule.Begin(time.Now(), m) {
		return
	}
	streams, m := r.snapshot(m)
	err := r.write(ctx, streams)
	if r.schedule.End(m, err == nil) && ctx.Err() == nil {
		r.node.logFor("daemon").WithError(err).WithField("origins", streams.Len()).Info("origins not stored")
	}
}

// snapshot returns the origins to be stored, and the moment of them.
func (r *streamsRecord) snapshot(m origin.Moment) (*origin.Streams, origin.Moment) {
	all, changes := r.node.origins.own()
	m.Changes = changes
	return origin.NewStreams(r.node.clock.Now(), m.Era, all), m
}

// write replaces the object at the revision of the last write. A write whose answer was lost may
// be executed late: the condition keeps it from replacing a newer one.
func (r *streamsRecord) write(ctx context.Context, s *origin.Streams) error {
	text, err := json.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	store := r.node.platform.Store
	var o objects.Object
	if r.revision == 0 {
		o, err = store.Create(ctx, streamsKind, r.name(), text)
	} else {
		o, err = store.Replace(ctx, streamsKind, r.name(), r.revision, text)
	}
	switch {
	case errors.Is(err, objects.ErrConflict):
		if o.Revision == 0 {
			if o, err = store.Get(ctx, streamsKind, r.name()); err != nil {
				return err
			}
		}
		o, err = store.Replace(ctx, streamsKind, r.name(), o.Revision, text)
	case errors.Is(err, objects.ErrNotFound):
		o, err = store.Create(ctx, streamsKind, r.name(), text)
	}
	if err == nil {
		r.revision = o.Revision
	}
	r.node.metrics.originsStored(s.Len(), len(text), err)
	return err
}

// restore reads the origins that the daemon before on this instance has stored, and sends copies
// of them to other daemons.
func (r *streamsRecord) restore(ctx context.Context) {
	if r.node.settings.Daemon.FirstStart {
		r.read.Store(true)
		return
	}
	streams, err := r.readUntil(ctx)
	r.read.Store(true)
	switch {
	case errors.Is(err, objects.ErrNotFound) || ctx.Err() != nil:
		return
	case err != nil:
		r.node.logFor("daemon").WithError(err).Info("origins not restored")
		return
	}
	all := streams.All()
	r.node.metrics.originsRestored(len(all))
	r.node.logFor("daemon").WithFields(map[string]any{
		"origins": len(all), "record_age_ms": r.node.clock.Now().Sub(streams.At).Milliseconds(),
	}).Info("origins restored")
	r.sendCopies(ctx, all)
}

// readUntil reads the record and takes its origins. A read that fails is repeated for as long as the
// result may help, and so is one of a record that is too new by this daemon's clock, which may not
// have been corrected yet.
func (r *streamsRecord) readUntil(ctx context.Context) (*origin.Streams, error) {
	backoff := minRestoreBackoff
	for {
		streams, err := r.readOnce(ctx)
		if err == nil || !repeatable(err) || time.Since(r.node.started) > restoreTimeout || !pause.For(ctx, backoff) {
			return streams, err
		}
		backoff = min(2*backoff, maxRestoreBackoff)
	}
}

func (r *streamsRecord) readOnce(ctx context.Context) (*origin.Streams, error) {
	o, err := r.node.platform.Store.Get(ctx, streamsKind, r.name())
	switch {
	case errors.Is(err, objects.ErrNotFound):
		return nil, err
	case err != nil:
		return nil, Error.New("%w: %v", errStore, err)
	}
	streams := &origin.Streams{}
	if err := json.Unmarshal(o.Spec, streams); err != nil {
		return nil, Error.New("the record can't be decoded: %v", err)
	}
	r.revision = o.Revision
	if err := streams.Check(r.node.clock.Now(), objects.EraOf(o.Revision)); err != nil {
		return nil, err
	}
	r.node.origins.restoreStreams(streams.All())
	return streams, nil
}

// sendCopies sends copies of restored origins to their homes, and to those that are found later.
func (r *streamsRecord) sendCopies(ctx context.Context, all []origin.StreamOrigin) {
	sent := make([][]string, len(all))
	var done *origin.Homes
	for time.Since(r.node.started) < copiesTime {
		if homes := r.node.origins.currentHomes(); homes != done {
			done = homes
			for i := range all {
				r.sendNew(homes, &all[i], &sent[i])
				if i%copiesBatch == copiesBatch-1 && !pause.For(ctx, copiesPause) {
					return
				}
			}
		}
		if !pause.For(ctx, restoreCheckInterval) {
			return
		}
	}
}

// sendNew sends copies of an origin to the homes that haven't had one.
func (r *streamsRecord) sendNew(homes *origin.Homes, s *origin.StreamOrigin, sent *[]string) {
	for _, address := range homes.Of(s.Key, origin.Copies) {
		if !slices.Contains(*sent, address) {
			*sent = append(*sent, address)
			r.node.origins.sendTo(address, storedPacket(s))
		}
	}
}

// storedPacket returns the datagram that states a stored origin.
func storedPacket(s *origin.StreamOrigin) *originpb.Packet {
	if s.Unknown {
		return revokePacket(s.Key)
	}
	p := recordPacket(s.Key, s.Origin)
	p.Restored = s.Restored
	return p
}
