package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcerr"

	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

const (
	directoryRing = 4096
	directoryTick = time.Second
	// directoryEntries bounds one daemon's part: at 4,100 requests a second
	// over 340 daemons, two copies and answers kept for two minutes, some
	// 6,000 are kept. An entry takes about 200 bytes.
	directoryEntries = 16_384
	// directoryTimeout bounds the question to a directory daemon. It delays
	// requests with a key when a daemon has just died, so it is short.
	directoryTimeout = 250 * time.Millisecond
	// announceBatch and announceEvery join announcements to one daemon.
	announceBatch = 256
	announceEvery = 20 * time.Millisecond
)

// locator finds requests through the directory daemons.
type locator struct {
	*owner[*directory.Directory]
	self      fleet.InstanceID
	state     *lifecycle
	roster    *roster
	client    *peer.Client
	announces *ring.Ring[directory.Holding]
	entries   atomic.Int64 // of this daemon's part, as of the last tick
	log       *logrus.Entry
}

var _ dispatch.Locator = (*locator)(nil)

func newLocator(state *lifecycle, r *roster, client *peer.Client, limits settings.Limits, log *logrus.Entry) *locator {
	d := directory.New(directory.Config{
		MaxEntries:  directoryEntries,
		RunningTTL:  limits.RequestTimeout,
		FinishedTTL: limits.Retain,
	})
	return &locator{
		owner:     newOwner("directory", directoryRing, d),
		self:      r.self.Instance,
		state:     state,
		roster:    r,
		client:    client,
		announces: ring.New[directory.Holding]("announcements", directoryRing),
		log:       log,
	}
}

func (l *locator) start(ctx context.Context) {
	go l.run(ctx, directoryTick, func(_ time.Time, d *directory.Directory) { l.entries.Store(int64(d.Len())) })
	go l.announce(ctx)
}

// owners returns the directory daemons of a request, best first: some of its
// workspace's entries. Among all daemons, each announcement would go to another
// one, over a connection of its own: 3.9 KB and 2 ms each with TLS, 48 times a
// second at 340 daemons. A workspace's entries are few and have connections to each other.
func (l *locator) owners(workspace fleet.WorkspaceID, id fleet.RequestID, n int) []peerInfo {
	entries := l.roster.entries(workspace)
	byName := make(map[string]peerInfo, len(entries))
	names := make([]string, 0, len(entries))
	for _, p := range entries {
		byName[string(p.Instance)] = p
		names = append(names, string(p.Instance))
	}
	out := make([]peerInfo, 0, n)
	for _, name := range directory.Owners(id, names, n) {
		out = append(out, byName[name])
	}
	return out
}

// Claim implements dispatch.Locator. The first owner decides, so that two
// daemons with one key agree; the second one gets a copy.
func (l *locator) Claim(ctx context.Context, h directory.Holding) directory.Holding {
	for _, p := range l.owners(h.Workspace, h.Request, directory.Replicas) {
		won, err := l.claimAt(ctx, p, h)
		if err == nil {
			return won
		}
		l.log.WithField("peer", p.Instance).Debugf("no answer to a claim: %v", err)
	}
	return h
}

func (l *locator) claimAt(ctx context.Context, p peerInfo, h directory.Holding) (directory.Holding, error) {
	if p.Instance == l.self {
		return l.claim(h), nil
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	reply, err := l.client.Peer(ctx, p.Peers).Claim(ctx, &peerpb.ClaimRequest{Holding: holdingToWire(h)})
	if err != nil {
		return h, err
	}
	return holdingFromWire(reply.GetHolding()), nil
}

func (l *locator) claim(h directory.Holding) directory.Holding {
	won := h
	l.ask(func(now time.Time, d *directory.Directory) { won = d.Claim(now, h) })
	return won
}

func (l *locator) register(all []directory.Holding) {
	l.hint(func(now time.Time, d *directory.Directory) {
		for _, h := range all {
			d.Register(now, h)
		}
	})
}

func (l *locator) lookup(id fleet.RequestID) (directory.Holding, bool) {
	var h directory.Holding
	ok := false
	l.ask(func(now time.Time, d *directory.Directory) { h, ok = d.Lookup(now, id) })
	return h, ok
}

// gone frees the claims of an instance that died.
func (l *locator) gone(id fleet.InstanceID) {
	l.tell(func(_ time.Time, d *directory.Directory) { d.Forget(id) })
}

// Lookup implements dispatch.Locator.
func (l *locator) Lookup(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (directory.Holding, bool) {
	for _, p := range l.owners(workspace, id, directory.LookupFanout) {
		h, ok := l.lookupAt(ctx, p, id)
		if ok && h.Holder != l.self {
			return h, true
		}
	}
	return directory.Holding{}, false
}

func (l *locator) lookupAt(ctx context.Context, p peerInfo, id fleet.RequestID) (directory.Holding, bool) {
	if p.Instance == l.self {
		return l.lookup(id)
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	reply, err := l.client.Peer(ctx, p.Peers).Lookup(ctx, &peerpb.LookupRequest{Request: string(id)})
	if err != nil || reply.GetHolding() == nil {
		return directory.Holding{}, false
	}
	return holdingFromWire(reply.GetHolding()), true
}

// Announce implements dispatch.Locator.
func (l *locator) Announce(h directory.Holding) { l.announces.Push(h) }

// announce sends announcements in batches, one message a daemon.
func (l *locator) announce(ctx context.Context) {
	for {
		var batch []directory.Holding
		select {
		case h := <-l.announces.C():
			batch = append(batch, h)
		case <-ctx.Done():
			return
		}
		time.Sleep(announceEvery)
		for len(batch) < announceBatch {
			select {
			case h := <-l.announces.C():
				batch = append(batch, h)
				continue
			default:
			}
			break
		}
		l.send(ctx, batch)
	}
}

func (l *locator) send(ctx context.Context, batch []directory.Holding) {
	byPeer := make(map[fleet.InstanceID][]directory.Holding)
	peers := make(map[fleet.InstanceID]peerInfo)
	for _, h := range batch {
		for _, p := range l.owners(h.Workspace, h.Request, directory.Replicas) {
			byPeer[p.Instance] = append(byPeer[p.Instance], h)
			peers[p.Instance] = p
		}
	}
	for id, all := range byPeer {
		if id == l.self {
			l.register(all)
			continue
		}
		l.sendTo(ctx, peers[id], all)
	}
}

func (l *locator) sendTo(ctx context.Context, p peerInfo, all []directory.Holding) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	q := &peerpb.RegisterRequest{}
	for _, h := range all {
		q.Holdings = append(q.Holdings, holdingToWire(h))
	}
	if _, err := l.client.Peer(ctx, p.Peers).Register(ctx, q); err != nil {
		l.log.WithField("peer", p.Instance).Debugf("announcement lost: %v", err)
	}
}

// Follow implements dispatch.Locator.
func (l *locator) Follow(ctx context.Context, h directory.Holding, digest request.Digest) (gateway.Answer, error) {
	p, ok := l.roster.instance(h.Holder)
	if !ok {
		return nil, peer.Error.New("holder %s is not known", h.Holder)
	}
	f := &follower{locator: l, holding: h, digest: digest, address: p.Peers}
	err := f.open(ctx, 0)
	switch {
	case drpcerr.Code(err) == codeOtherBody:
		return nil, dispatch.ErrOtherBody
	case err != nil:
		return nil, err
	}
	return f, nil
}

// Cancel implements dispatch.Locator.
func (l *locator) Cancel(ctx context.Context, h directory.Holding) bool {
	p, ok := l.roster.instance(h.Holder)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	reply, err := l.client.Peer(ctx, p.Peers).Cancel(ctx, &peerpb.CancelRequest{
		Request:   string(h.Request),
		Workspace: string(h.Workspace),
	})
	return err == nil && reply.GetKnown()
}

func holdingToWire(h directory.Holding) *peerpb.Holding {
	return &peerpb.Holding{
		Request:   string(h.Request),
		Workspace: string(h.Workspace),
		Holder:    string(h.Holder),
		Transfer:  h.Transfer,
		Finished:  h.Finished,
	}
}

func holdingFromWire(h *peerpb.Holding) directory.Holding {
	return directory.Holding{
		Request:   fleet.RequestID(h.GetRequest()),
		Workspace: fleet.WorkspaceID(h.GetWorkspace()),
		Holder:    fleet.InstanceID(h.GetHolder()),
		Transfer:  h.GetTransfer(),
		Finished:  h.GetFinished(),
	}
}
