package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/node/originpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

const (
	// findTimeout bounds the time for finding the origin of a stream: several round trips
	// between data centres.
	findTimeout = 300 * time.Millisecond
	// askInterval is the time after which daemons that haven't answered are asked again.
	askInterval = 60 * time.Millisecond
	// originCheckInterval is how often the age of the list of endpoints is checked.
	originCheckInterval = 100 * time.Millisecond
)

// origins holds the versions that began streams, its own and copies of other daemons', which
// daemons send each other in datagrams. It implements relay.Origins.
type origins struct {
	node  *Node
	conn  atomic.Pointer[datagramConn]
	upTo  atomic.Pointer[time.Time] // when the list of endpoints was last known to be complete
	homes atomic.Pointer[cachedHomes]
	// writer is the address of the daemon that stores the origins of this daemon's streams, empty
	// where none need be or this daemon does.
	writer atomic.Pointer[string]
	// waiting is the number of streams that wait for the versions from before the start.
	waiting atomic.Int64
	// searching is the number of streams whose origins may be restored by a daemon that is starting.
	searching atomic.Int64

	mu       sync.Mutex
	table    *origin.Table
	versions *origin.Versions
	runs     *origin.Runs
	searches map[origin.Key]*search
}

// cachedHomes is the homes in a layout.
type cachedHomes struct {
	layout *layout
	homes  *origin.Homes
}

var _ relay.Origins = (*origins)(nil)

func newOrigins(n *Node) *origins {
	o := &origins{node: n, table: origin.NewTable(), versions: origin.NewVersions(), runs: origin.NewRuns(), searches: map[origin.Key]*search{}}
	o.upTo.Store(&time.Time{})
	o.writer.Store(new(string))
	return o
}

// run tracks the age of the list of endpoints until the context ends.
func (o *origins) run(ctx context.Context) {
	pause.Every(ctx, originCheckInterval, func() {
		now := time.Now()
		upTo := o.updateUpTo(now)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.table.Expire(now)
		if now.After(upTo.Add(o.node.contactBound())) {
			o.versions.Interrupted(now)
		}
	})
}

// updateUpTo updates until when the list of endpoints is known to be complete.
func (o *origins) updateUpTo(now time.Time) time.Time {
	upTo := now.Add(-o.node.peers.listAge(now))
	o.upTo.Store(&upTo)
	return upTo
}

// listAge returns the time since the list of endpoints was last known to be complete.
func (x *peerExchange) listAge(now time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.storeAge(now)
}

// setEndpoints takes the newest list.
func (o *origins) setEndpoints(now time.Time, all []roster.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Listed(now, all)
	o.runs.Listed(all)
}

// TrustedUntil implements relay.Origins. While the list is kept up to date, an endpoint that
// starts is listed within the contact bound; where one has certainly ended, that isn't relied on.
func (o *origins) TrustedUntil(address string) time.Time {
	upTo := *o.upTo.Load()
	until := upTo.Add(o.node.contactBound())
	o.mu.Lock()
	defer o.mu.Unlock()
	if ended, doubted := o.runs.TrustedUntil(address, upTo); doubted && ended.Before(until) {
		return ended
	}
	return until
}

// ListedUntil implements relay.Origins.
func (o *origins) ListedUntil(address string) time.Time {
	upTo := *o.upTo.Load()
	until := upTo.Add(-o.node.contactBound())
	o.mu.Lock()
	defer o.mu.Unlock()
	if ended, doubted := o.runs.TrustedUntil(address, upTo); doubted && ended.Before(until) {
		return ended
	}
	return until
}

// dialled records the result of connecting to an endpoint.
func (o *origins) dialled(address string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.runs.Connected(time.Now(), address)
	case errors.Is(err, syscall.ECONNREFUSED):
		o.runs.Refused(time.Now(), address)
	}
}

// Only implements relay.Origins.
func (o *origins) Only(ctx context.Context, service string, horizon time.Duration) (string, bool) {
	o.awaitHistory(ctx, horizon)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Only(time.Now(), service, horizon)
}

const (
	// historyHold is how long after a daemon's start streams that are taken up wait for the
	// versions from before. In a large fleet that starts again, daemons take up to a second to
	// find the two that read them, and as long to get them from a hub.
	historyHold = 2500 * time.Millisecond
	// historyCheckInterval is how often a stream that waits is checked.
	historyCheckInterval = 20 * time.Millisecond
	// searchInterval is the time between two searches for an origin that no daemon has.
	searchInterval = 100 * time.Millisecond
)

// awaitHistory waits, while this daemon has just started, until the versions of a horizon are
// known. At a first start of the whole system there are none.
func (o *origins) awaitHistory(ctx context.Context, horizon time.Duration) {
	if o.node.settings.Daemon.FirstStart {
		return
	}
	defer o.waiting.Add(-1)
	if o.waiting.Add(1) > maxWaiting {
		return
	}
	for time.Since(o.node.started) < historyHold && !o.reaches(horizon) && pause.For(ctx, historyCheckInterval) {
	}
}

// reaches reports whether all versions of a horizon are known.
func (o *origins) reaches(horizon time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Reaches(time.Now(), horizon)
}

// seen records the version of an entry.
func (o *origins) seen(now time.Time, e *roster.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Seen(now, originOf(e))
}

// setEra records the store's era of the list of endpoints.
func (o *origins) setEra(now time.Time, era uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Era(now, era)
}

// originOf returns the service and the version of an endpoint.
func originOf(e *roster.Endpoint) origin.Origin {
	return origin.Origin{Service: e.Service, Version: e.Version}
}

// lacksHistory reports whether the versions from before this daemon's start may help it.
func (o *origins) lacksHistory() bool { return !o.node.endpoints.hasList() || o.wantsVersions() }

// wantsVersions reports whether another daemon's history of versions may help this one.
func (o *origins) wantsVersions() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Wants(time.Now())
}

// history returns what this daemon knows of the versions that services had.
func (o *origins) history() origin.History {
	_, routesSince, _ := o.node.state.ResumableServices()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.History(time.Now(), routesSince)
}

// mergeHistory takes the history of versions of another daemon, which has a version of the
// configuration. Changes of routes' services between an older one and this daemon's first one
// are known to neither. A daemon that knows its history has been in contact with the store, so
// that the first list of this one lacks no endpoints that started in an outage.
func (o *origins) mergeHistory(h origin.History, configVersion uint64) {
	first := o.node.config.firstVersion()
	if h.Known == 0 || first == 0 || configVersion < first {
		return
	}
	now := time.Now()
	settled := now.Sub(o.node.started) < startTime && now.Sub(o.updateUpTo(now)) <= o.node.contactBound()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Merge(now, h)
	if settled {
		o.versions.Settled()
	}
}

// restore takes the versions from before this daemon's start. Streams may go on at once, for
// which connections to the listed endpoints must be trusted.
func (o *origins) restore(c origin.Conclusion) {
	now := time.Now()
	o.updateUpTo(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Merge(now, c.History)
	if c.Settled {
		o.versions.Settled()
	} else {
		o.versions.Interrupted(now)
	}
}

// Record implements relay.Origins.
func (o *origins) Record(k origin.Key, from origin.Origin) {
	o.mu.Lock()
	o.table.PutOwn(time.Now(), k, from)
	o.mu.Unlock()
	o.sendCopies(recordPacket(k, from), origin.Copies)
}

// Revoke implements relay.Origins.
func (o *origins) Revoke(k origin.Key) {
	o.mu.Lock()
	o.table.RevokeOwn(time.Now(), k)
	o.mu.Unlock()
	// The homes in the view of the daemon that began the stream are among the first Asked of this one.
	o.sendCopies(revokePacket(k), origin.Asked)
}

// Ended implements relay.Origins.
func (o *origins) Ended(k origin.Key) {
	o.mu.Lock()
	o.table.Ended(time.Now(), k)
	o.mu.Unlock()
	if writer := *o.writer.Load(); writer != "" {
		o.sendTo(writer, &originpb.Packet{Kind: originpb.Packet_ENDED, Key: uint64(k)})
	}
}

func (o *origins) sendCopies(p *originpb.Packet, homes int) {
	conn := o.conn.Load()
	if conn == nil {
		return
	}
	for _, address := range o.currentHomes().Of(origin.Key(p.Key), homes) {
		conn.sendTo(address, originMark, p)
	}
	if writer := *o.writer.Load(); writer != "" {
		p.Store = true
		conn.sendTo(writer, originMark, p)
	}
}

// sendTo sends a datagram to another daemon.
func (o *origins) sendTo(address string, p *originpb.Packet) {
	if conn := o.conn.Load(); conn != nil {
		conn.sendTo(address, originMark, p)
	}
}

// currentHomes returns the homes among the serving daemons.
func (o *origins) currentHomes() *origin.Homes {
	l := o.node.members.layout()
	if c := o.homes.Load(); c != nil && c.layout == l {
		return c.homes
	}
	all := make([]origin.Daemon, 0, len(l.serving))
	for i := range l.serving {
		all = append(all, origin.Daemon{Name: string(l.serving[i].Instance), Address: l.serving[i].Peer})
	}
	homes := origin.NewHomes(string(o.node.members.self.Instance), all)
	o.homes.Store(&cachedHomes{l, homes})
	return homes
}

// receive handles a datagram.
func (o *origins) receive(text []byte, from net.Addr) {
	p := &originpb.Packet{}
	if proto.Unmarshal(text, p) != nil {
		return
	}
	k, now := origin.Key(p.Key), time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch p.Kind {
	case originpb.Packet_RECORD:
		o.takeRecord(now, p, from)
	case originpb.Packet_REVOKE:
		o.takeRevocation(now, p)
	case originpb.Packet_ENDED:
		o.table.Ended(now, k)
	case originpb.Packet_UNKNOWN:
		o.searches[k].answered(from.String())
	case originpb.Packet_ASK:
		o.conn.Load().send(from, originMark, o.answer(now, k))
	}
}

// answer returns the answer to a question. The lock is held.
func (o *origins) answer(now time.Time, k origin.Key) *originpb.Packet {
	if from, known := o.table.Get(now, k); known {
		p := recordPacket(k, from)
		p.Restored = !o.table.Settled(k)
		return p
	}
	if o.table.Has(k) {
		return revokePacket(k)
	}
	return &originpb.Packet{Kind: originpb.Packet_UNKNOWN, Key: uint64(k)}
}

// Find implements relay.Origins. A daemon that has just started asks again where several versions
// may have begun the stream, since the daemon that has stored its origin may be about to start.
func (o *origins) Find(ctx context.Context, k origin.Key) (origin.Origin, bool) {
	from, known, recorded := o.ask(ctx, k)
	if recorded && !known || !o.mayAwait() {
		return from, known
	}
	defer o.searching.Add(-1)
	if o.searching.Add(1) > maxWaiting {
		return from, known
	}
	for !recorded && o.mayAwait() && o.needsStreams() && pause.For(ctx, searchInterval) {
		from, known, recorded = o.ask(ctx, k)
	}
	o.awaitList(ctx)
	return from, known
}

// mayAwait reports whether this daemon has just started again, so that what it lacks may come.
func (o *origins) mayAwait() bool {
	return !o.node.settings.Daemon.FirstStart && time.Since(o.node.started) < historyHold
}

// awaitList waits, while this daemon has just started, until connections to the listed endpoints
// are trusted: no stream that goes on is sent over others.
func (o *origins) awaitList(ctx context.Context) {
	for o.mayAwait() && time.Now().After(o.upTo.Load().Add(o.node.contactBound())) && pause.For(ctx, historyCheckInterval) {
	}
}

// ask returns the origin of a stream as it is recorded here or at its homes; recorded is false if
// nothing is known of it. The homes are asked also for one that was restored: other daemons may
// have revoked it.
func (o *origins) ask(ctx context.Context, k origin.Key) (from origin.Origin, known, recorded bool) {
	if from, known, recorded := o.get(k); recorded && o.settled(k) {
		return from, known, true
	}
	homes := o.currentHomes().Of(k, origin.Asked)
	conn := o.conn.Load()
	if len(homes) == 0 || conn == nil {
		return o.get(k)
	}
	s := o.beginSearch(k, homes)
	defer o.endSearch(k, s)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for {
		for _, address := range o.unanswered(s) {
			conn.sendTo(address, originMark, &originpb.Packet{Kind: originpb.Packet_ASK, Key: uint64(k)})
		}
		select {
		case <-s.done:
		case <-ctx.Done():
		case <-time.After(askInterval):
			continue
		}
		return o.get(k)
	}
}

// settled reports whether other daemons need not be asked for a stream's origin.
func (o *origins) settled(k origin.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Settled(k)
}

// get returns the origin of a stream as recorded here; recorded is false if nothing is.
func (o *origins) get(k origin.Key) (from origin.Origin, known, recorded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	from, known = o.table.Get(time.Now(), k)
	return from, known, o.table.Has(k)
}

// restoreStreams takes the origins of streams that the daemon before on this instance has stored.
func (o *origins) restoreStreams(all []origin.StreamOrigin) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range all {
		if s := &all[i]; s.Unknown {
			o.table.RevokeOwn(now, s.Key)
		} else {
			o.table.PutRestored(now, s.Key, s.Origin, true)
		}
		o.searches[all[i].Key].found()
	}
}

// takeRecord takes an origin that another daemon has sent. A sender that lacks a revocation is
// sent it: it may have restored the origin. The lock is held.
func (o *origins) takeRecord(now time.Time, p *originpb.Packet, sender net.Addr) {
	k, from := origin.Key(p.Key), origin.Origin{Service: p.Service, Version: p.Version}
	switch {
	case p.Restored:
		o.table.PutRestored(now, k, from, p.Store)
	case p.Store:
		o.table.PutOwn(now, k, from)
	default:
		o.table.Put(now, k, from)
	}
	switch {
	case o.table.Contradicted(k):
		o.conn.Load().send(sender, originMark, revokePacket(k))
		o.searches[k].found()
	case p.Restored:
		o.searches[k].answered(sender.String())
	default:
		o.searches[k].found()
	}
}

// takeRevocation takes another daemon's statement that an origin isn't known. The lock is held.
func (o *origins) takeRevocation(now time.Time, p *originpb.Packet) {
	k := origin.Key(p.Key)
	if p.Store {
		o.table.RevokeOwn(now, k)
	} else {
		o.table.Revoke(now, k)
	}
	o.searches[k].found()
}

// own returns the origins of this daemon's streams, and what ownChanges returned then.
func (o *origins) own() ([]origin.StreamOrigin, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Own(time.Now()), o.table.Changes()
}

// ownChanges counts the changes of the origins of this daemon's streams.
func (o *origins) ownChanges() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Changes()
}

// needsStreams reports whether the version of a stream that is taken up may not follow from those
// that served: several did within its horizon, or a daemon that started again doesn't know.
func (o *origins) needsStreams() bool {
	horizons := o.node.state.ResumableHorizons()
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, horizon := range horizons {
		unknown := !o.node.settings.Daemon.FirstStart && !o.versions.Reaches(now, horizon)
		if unknown || o.versions.Several(now, service, horizon) {
			return true
		}
	}
	return false
}

// count returns the number of streams whose origins are held.
func (o *origins) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len()
}

func recordPacket(k origin.Key, from origin.Origin) *originpb.Packet {
	return &originpb.Packet{Kind: originpb.Packet_RECORD, Key: uint64(k), Service: from.Service, Version: from.Version}
}

func revokePacket(k origin.Key) *originpb.Packet {
	return &originpb.Packet{Kind: originpb.Packet_REVOKE, Key: uint64(k)}
}
