package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine/quarantinepb"
)

const (
	// crashInterval is the time between two rounds in which crashes are sent to
	// other daemons.
	crashInterval = time.Second
	// crashPeers is to how many they are sent in a round, drawn at random.
	crashPeers = 3
	// crashRounds is how many rounds follow a change. Each daemon that learns of
	// one sends it on: 340 daemons have it after about six rounds.
	crashRounds = 8
)

// crashDuty keeps what the fleet knows of endpoints' crashes, and which requests
// are held for them.
type crashDuty struct {
	self   fleet.DaemonID
	table  *quarantine.Table
	watch  *ends.Watch
	roster *roster
	client *peer.Client
	ended  func(leaving bool) // counts
	log    *logrus.Entry

	mu     sync.Mutex
	told   map[fleet.DaemonID]quarantine.Position // what others have of this table
	heard  map[fleet.DaemonID]quarantine.Position // what this one has of theirs
	rounds int                                    // that are left to make
	seq    uint64                                 // of the table when rounds was set
}

var _ dispatch.Quarantine = (*crashDuty)(nil)

func newCrashDuty(self fleet.DaemonID, r *roster, client *peer.Client, routes *routingDuty, log *logrus.Entry) *crashDuty {
	d := &crashDuty{
		self: self, table: quarantine.NewTable(rand.Uint64() | 1), roster: r, client: client, log: log,
		told:   map[fleet.DaemonID]quarantine.Position{},
		heard:  map[fleet.DaemonID]quarantine.Position{},
		rounds: crashRounds, // one that starts asks what the others know
	}
	d.watch = ends.New(ends.Options{
		Table: d.table, Now: time.Now, Listens: listens, State: routes.state, Ended: d.end, Changed: d.changed,
	})
	return d
}

// listens reports whether somebody listens at an address.
func listens(ctx context.Context, address string) (bool, error) {
	err := probe(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	return err == nil, err
}

// state reports whether an endpoint is listed, and whether it leaves.
func (d *routingDuty) state(id fleet.EndpointID) (listed, leaving bool) {
	e := d.current.Load().byID[id]
	return e != nil, e != nil && e.State == fleet.Leaving
}

func (d *crashDuty) start(ctx context.Context) {
	go d.watch.Run(ctx)
	go pause.Every(ctx, crashInterval, func() { d.round(ctx) })
}

// Held implements dispatch.Quarantine.
func (d *crashDuty) Held(k quarantine.Key) time.Duration {
	return d.table.Held(time.Now(), func() *quarantine.Identity { return &quarantine.Identity{Request: k} })
}

// Cut implements dispatch.Quarantine.
func (d *crashDuty) Cut(c ends.Disconnect) { d.watch.Disconnected(c) }

// Responded implements dispatch.Quarantine.
func (d *crashDuty) Responded(id fleet.EndpointID, sent time.Time) {
	d.changed(d.table.Responded(time.Now(), sent, quarantine.IncarnationOf(id, time.Time{})))
}

// Ran implements dispatch.Quarantine.
func (d *crashDuty) Ran(began time.Time, k quarantine.Key) {
	d.changed(d.table.Ran(time.Now(), began, func() *quarantine.Identity { return &quarantine.Identity{Request: k} }))
}

func (d *crashDuty) end(id fleet.EndpointID, c *quarantine.Crash, settled int) {
	d.ended(c.Void)
	ends.LogEnd(d.log, id, c, settled)
}

func (d *crashDuty) changed(c quarantine.Change) { ends.LogChange(d.log, d.table, c) }

// round sends recent changes to some other daemons.
func (d *crashDuty) round(ctx context.Context) {
	d.mu.Lock()
	if at := d.table.Position().Seq; at != d.seq {
		d.seq, d.rounds = at, crashRounds
	}
	due := d.rounds > 0
	d.rounds = max(d.rounds-1, 0)
	d.mu.Unlock()
	if !due {
		return
	}
	for _, p := range d.draw() {
		go d.tell(ctx, p)
	}
}

// draw returns some other daemons at random.
func (d *crashDuty) draw() []peerInfo {
	v := d.roster.view.Load()
	var out []peerInfo
	for _, i := range rand.Perm(len(v.serving)) {
		p := v.byID[fleet.InstanceID(v.serving[i])]
		if p.Daemon != d.self && p.Daemon != "" && len(out) < crashPeers {
			out = append(out, *p)
		}
	}
	return out
}

func (d *crashDuty) tell(ctx context.Context, p peerInfo) {
	ctx, cancel := context.WithTimeout(ctx, crashInterval)
	defer cancel()
	d.mu.Lock()
	all, upTo := d.table.Since(d.told[p.Daemon])
	have := d.heard[p.Daemon]
	d.mu.Unlock()
	reply, err := d.client.Peer(ctx, p.Peers).Crashes(ctx, &peerpb.CrashesRequest{
		Daemon: string(d.self), Crashes: quarantinepb.Encode(all),
		Have: quarantinepb.EncodePosition(have), NowMs: time.Now().UnixMilli(),
	})
	if err != nil {
		return // another round, or another daemon, sends it
	}
	d.take(reply.GetCrashes(), reply.GetNowMs())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget()
	d.told[p.Daemon] = upTo
	d.heard[p.Daemon] = quarantinepb.DecodePosition(reply.GetTo())
}

// forget lets daemons go that aren't there any more. The lock is held.
func (d *crashDuty) forget() {
	v := d.roster.view.Load()
	for id := range d.told {
		if v.byRun[id] == nil {
			delete(d.told, id)
			delete(d.heard, id)
		}
	}
}

// take takes crashes from another daemon. Their times are by its clock, which may differ from this
// one's by more than the ends of endpoints that are killed together.
func (d *crashDuty) take(told []*quarantinepb.Crash, nowMillis int64) {
	now := time.Now()
	all := quarantinepb.Decode(told)
	for i := range all {
		all[i].Shift(now.Sub(time.UnixMilli(nowMillis)))
	}
	d.changed(d.table.Add(now, all...))
}

// Crashes implements peerpb.DRPCPeerServer.
func (s *peerServer) Crashes(_ context.Context, q *peerpb.CrashesRequest) (*peerpb.CrashesReply, error) {
	s.crashes.take(q.GetCrashes(), q.GetNowMs())
	all, to := s.crashes.table.Since(quarantinepb.DecodePosition(q.GetHave()))
	return &peerpb.CrashesReply{
		Crashes: quarantinepb.Encode(all), To: quarantinepb.EncodePosition(to), NowMs: time.Now().UnixMilli(),
	}, nil
}
