package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// interval is the time between two reports to a hub when nothing is urgent.
func (n *Node) interval() time.Duration {
	l := n.members.layout()
	if l.meshed {
		return exchange.MeshInterval(l.reporters)
	}
	return exchange.NormalInterval(l.reporters)
}

// reportAge is the age that a daemon's last report may have at a hub, directly or
// relayed.
func (n *Node) reportAge() time.Duration {
	if n.members.layout().meshed {
		return n.interval() + exchange.RelayInterval
	}
	return n.interval()
}

// levelsAfter is how long a daemon must have run until others that have just started
// adopt what it counts as left of the limits.
const levelsAfter = 4 * time.Second

// peerExchange is this daemon's part in the exchange of reports: it reports to hubs, and
// answers as a hub.
type peerExchange struct {
	node   *Node
	client *exchange.Client

	mu           sync.Mutex
	hub          *exchange.Hub
	holder       exchange.Holder // of the duties, the newest reported
	listPosition feed.Position   // this daemon's position in the list of listHub
	listHub      string          // address of the hub whose list of endpoints is followed, empty: none
	// listedAt is when that hub last sent its list.
	listedAt    time.Time
	hubs        map[string]*hubReports // by address
	loadHub     string                 // the hub that sends the endpoints' loads, empty: all
	loadedAt    time.Time              // when loads were last received
	seq         uint64                 // of the last round
	relaying    bool                   // in this round this daemon relays what it receives
	relayers    map[string]time.Time   // when other hubs last relayed something, by address
	memberLists *memberLists
	// hubStoreContact is when the followed hub last had contact with the store.
	hubStoreContact time.Time
}

func newPeerExchange(n *Node) *peerExchange {
	return &peerExchange{
		node:   n,
		client: exchange.NewClient(),
		hub:    exchange.NewHub(exchange.NormalInterval(1)),
		hubs:   map[string]*hubReports{},

		relayers:    map[string]time.Time{},
		memberLists: newMemberLists(n),
	}
}

// listen answers other daemons.
func (t *peerExchange) listen(ctx context.Context) error {
	lc := net.ListenConfig{Control: upstream.UserTimeout}
	l, err := lc.Listen(ctx, "tcp", t.node.settings.Listen.Peers)
	if err != nil {
		return Error.Wrap(err)
	}
	t.node.wg.Add(1)
	go func() {
		defer t.node.wg.Done()
		if err := exchange.Serve(ctx, l, t); err != nil && ctx.Err() == nil {
			t.node.logFor("peers").WithError(err).Error("listener ended")
		}
	}()
	return nil
}

// Fetch implements exchange.Handler.
func (t *peerExchange) Fetch(w spread.Want) (spread.Piece, error) { return t.node.config.piece(w) }

// Report implements exchange.Handler.
func (t *peerExchange) Report(p exchange.Report) exchange.Reply {
	t.node.fetcher.offeredBy(p.Daemon, p.ConfigVersion)
	t.node.crashes.add(p.Crashes)
	if p.Self != nil {
		t.node.addMembers([]membership.Member{*p.Self})
	}
	t.node.rollouts.orders.addReports(p.Daemon, p.Rollouts)
	now := time.Now()
	t.node.state.ApplyRollouts(now, p.RolloutUpdate)
	steady := t.node.clock.Steady()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hub.Add(now, steady, p)
	t.takeRelayed(now, steady, &p)
	t.holder = t.holder.Newer(p.Holder)
	sum := exchange.Reply{Soft: relay.SoftState{JustStarted: t.node.gathering()}, Holder: t.holder, Compress: p.AcceptsCompressed}
	relayer := p.IsHub && p.Daemon != t.node.id
	if !relayer {
		sum.Soft.Spent = t.hub.Spent(now, p.Daemon)
	}
	if !p.OmitLoads && !relayer {
		sum.Loads = t.hub.Loads(now, p.Daemon)
	}
	sum.RolloutUpdate = t.node.state.RolloutUpdate(now)
	sum.Crashes, sum.CrashesPosition = t.node.crashes.table.Since(p.CrashesPosition)
	if p.WantLevels && now.Sub(t.node.started) > levelsAfter {
		sum.Soft.Levels = t.node.state.Levels(now)
	}
	if skew, ok := t.hub.Skew(now); ok {
		sum.FleetTime = time.Unix(0, int64(steady+skew))
	}
	sum.Endpoints = t.node.endpoints.since(p.EndpointsPosition)
	if t.relaying {
		sum.Members = t.memberLists.since(now, p.MembersPosition)
	}
	sum.StoreAge = t.storeAge(now)
	sum.ConfigRevision = t.node.config.upTo() // before the version, which may only be newer
	newest := t.node.config.current()
	sum.ConfigVersion = newest.Version
	if !p.Fetches && p.ConfigVersion < newest.Version {
		sum.Config = newest.Bytes
	}
	return sum
}

// run reports to the hubs until the context ends.
func (t *peerExchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.wait(ctx)
		t.round(ctx)
	}
}

// urgentCheck is how often a daemon whose hubs relay checks whether it has something
// urgent to report.
const urgentCheck = 250 * time.Millisecond

// wait waits until the next report is due, which may become urgent meanwhile.
func (t *peerExchange) wait(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		left := t.nextInterval() - time.Since(began)
		if left <= 0 {
			return
		}
		if t.node.members.layout().meshed {
			left = min(left, urgentCheck)
		}
		pause.For(ctx, left)
		if !t.node.members.layout().meshed {
			return
		}
	}
}

// nextInterval returns the time from the last report to the next.
func (t *peerExchange) nextInterval() time.Duration {
	l := t.node.members.layout()
	now := time.Now()
	interval := t.node.interval()
	switch {
	case t.node.gathering() && l.meshed:
		interval = exchange.MeshStartInterval(l.reporters)
	case t.node.gathering():
		interval = exchange.StartInterval(l.reporters)
	case t.node.state.AnyMoving(now):
		interval = t.node.movingInterval()
	case l.meshed:
		if t.node.state.UnreportedNearLimit(now) || t.lostHub() {
			interval = exchange.UrgentInterval(l.reporters)
		}
	case t.node.state.NearLimit(now):
		interval = exchange.UrgentInterval(l.reporters)
	}
	if t.relays(l) {
		interval = min(interval, exchange.RelayInterval)
	}
	t.node.state.SetReportInterval(now, interval)
	return interval
}

// setInterval sets the interval of the fleet's reports.
func (t *peerExchange) setInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hub.SetInterval(d)
}

// round reports to all hubs and applies each answer as it arrives. It doesn't wait for
// an unresponsive hub, which would delay the reports to the others.
func (t *peerExchange) round(ctx context.Context) {
	targets := t.targets()
	t.beginRound()
	t.chooseLoadHub(targets)
	kept := appendNew(slices.Clone(targets), peersOf(t.node.members.layout().own)...)
	t.client.KeepOnly(kept)
	t.node.state.KeepHubs(kept)
	t.checkListHub()
	answered := make(chan struct{}, len(targets))
	soft := t.node.state.OwnState()
	for _, address := range targets {
		go func() {
			defer func() { answered <- struct{}{} }()
			t.report(ctx, address, soft)
		}()
	}
	late := time.After(roundTimeout)
	for range targets {
		select {
		case <-answered:
		case <-late:
			return
		case <-ctx.Done():
			return
		}
	}
}

// roundTimeout is how long a round waits for answers: many round-trip times, and short
// enough that rounds of a healthy fleet don't overlap.
const roundTimeout = 150 * time.Millisecond

// targets returns the addresses to report to: the hubs, the holder of the duties, and
// the seeds until another daemon has been found.
func (t *peerExchange) targets() []string {
	l := t.node.members.layout()
	out := t.ownHubs(l)
	relays := t.relays(l)
	t.setRelaying(relays)
	if relays {
		out = appendNew([]string{t.node.settings.Listen.Peers}, out...)
		out = appendNew(out, t.otherHubs(l)...)
	}
	if relays || !l.meshed {
		out = appendNew(out, t.holderAddress(l)...)
	}
	out = appendNew(out, t.listSources(l)...)
	if t.node.config.current().Version == 0 && (len(l.serving) <= 1 || t.node.config.store.Lost()) {
		for _, s := range *t.node.members.seeds.Load() {
			out = appendNew(out, s.Peer)
		}
	}
	return out
}

// holderAddress returns the address of the holder of the duties, none where no serving
// daemon is reported as the holder.
func (t *peerExchange) holderAddress(l *layout) []string {
	t.mu.Lock()
	holder := t.holder
	t.mu.Unlock()
	for _, m := range l.serving {
		if m.Daemon == holder.Daemon {
			return []string{m.Peer}
		}
	}
	return nil
}

// appendNew appends the addresses that aren't there yet.
func appendNew(all []string, more ...string) []string {
	for _, address := range more {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// report sends a report to one hub, or takes it locally if the hub is this daemon, and
// applies the answer. A hub that has not answered yet gets no further report meanwhile.
func (t *peerExchange) report(ctx context.Context, address string, soft relay.SoftState) {
	if !t.beginCall(address) {
		return
	}
	defer t.endCall(address)
	p, upTo := t.part(address, soft)
	if address == t.node.settings.Listen.Peers {
		sum := t.Report(p)
		if t.node.gathering() && len(t.node.members.serving()) == 1 {
			return // the others aren't found yet: the answer would be for this daemon alone
		}
		t.apply(address, &sum, 0)
		return
	}
	sentAt := time.Now()
	sum, err := t.client.Report(ctx, address, &p)
	took := time.Since(sentAt)
	t.reportEnded(address, &p, err)
	if err != nil {
		return
	}
	t.node.fetcher.offered(address, sum.ConfigVersion)
	t.node.config.noteHubRevision(sum.ConfigVersion, sum.ConfigRevision)
	t.takeCrashes(address, upTo, &sum)
	if p.IsHub {
		t.applyHubAnswer(address, &sum, took)
		return
	}
	t.apply(address, &sum, took)
}

// part returns this daemon's report to a hub, with soft as of this round, and the
// position up to which it includes crashes.
func (t *peerExchange) part(address string, soft relay.SoftState) (exchange.Report, quarantine.Position) {
	p := exchange.Report{
		Daemon:            t.node.id,
		ConfigVersion:     t.node.config.current().Version,
		Fetches:           true,
		AcceptsCompressed: true,
		Soft:              soft,
		WallTime:          time.Now(),
	}
	p.Soft.JustStarted = t.node.gathering()
	p.Rollouts, p.RolloutUpdate = t.node.state.RolloutReports(p.WallTime), t.node.state.RolloutUpdate(p.WallTime)
	l := t.node.members.layout()
	t.mu.Lock()
	defer t.mu.Unlock()
	p.Seq, p.Backup = t.seq, t.loadHub != "" && t.loadHub != address
	if time.Since(t.reportsTo(address).windowsAt) >= windowsInterval {
		p.Windows = t.node.begun.windows()
	}
	p.Holder = t.holder
	p.IsHub = t.relaying
	p.EndpointsPosition = t.endpointsPosition(l, address)
	p.MembersPosition = t.memberLists.position(address, p.IsHub || t.loadHub == "" || t.loadHub == address)
	if r := t.reportsTo(address); r.unanswered || r.answeredAt.IsZero() {
		p.Self = &t.node.members.self
	}
	p.OmitLoads = t.brief(address)
	p.WantLevels = !t.node.state.LevelsKnown()
	if address == t.node.settings.Listen.Peers {
		return p, quarantine.Position{}
	}
	if p.IsHub {
		t.addRelayed(l, address, &p)
	}
	var upTo quarantine.Position
	p.Crashes, upTo = t.node.crashes.table.Since(t.reportsTo(address).crashesSent)
	p.CrashesPosition = t.reportsTo(address).crashesReceived
	return p, upTo
}

// apply applies a hub's answer, which took a while. Of an answer that took longer than
// exchange.Prompt, the clock and the loads are out of date and not applied.
func (t *peerExchange) apply(address string, sum *exchange.Reply, took time.Duration) {
	t.applyUpdates(address, sum, took)
	if took > exchange.ReplyTimeout {
		t.applyLate(sum)
		return
	}
	if !sum.FleetTime.IsZero() {
		t.node.clock.Correct(sum.FleetTime, t.node.clock.Steady())
	}
	now := time.Now()
	t.mu.Lock()
	t.holder = t.holder.Newer(sum.Holder)
	if sum.Loads != nil {
		t.loadedAt = now
	}
	t.mu.Unlock()
	if sum.Loads != nil {
		sum.Soft.Load = sum.Loads.Others()
	}
	t.node.state.SetOthers(now, address, sum.Soft)
}

// applyUpdates applies what a hub sends of the store and the roll-outs.
func (t *peerExchange) applyUpdates(address string, sum *exchange.Reply, took time.Duration) {
	sum.StoreAge += took
	sum.RolloutUpdate.Age += took
	sum.RolloutUpdate.OrdersAge += took
	t.node.state.ApplyRollouts(time.Now(), sum.RolloutUpdate)
	t.node.watch.noteHubContact(sum.StoreAge)
	t.takeList(address, sum)
	t.mu.Lock()
	members := t.memberLists.receive(address, &sum.Members)
	t.mu.Unlock()
	t.node.addMembers(members)
}

// applyLate applies what remains valid in an answer that came late.
func (t *peerExchange) applyLate(sum *exchange.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder = t.holder.Newer(sum.Holder)
}

// setHolder notes that this daemon has acquired the duties. The others receive this
// from the hubs, also where they can't reach the store.
func (t *peerExchange) setHolder(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder = t.holder.Newer(exchange.Holder{Daemon: t.node.id, Token: token})
}

// otherHolderToken returns the fencing token under which another daemon than the given
// one is reported to hold the duties, 0 where none is.
func (t *peerExchange) otherHolderToken(but fleet.DaemonID) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder.Daemon == but {
		return 0
	}
	return t.holder.Token
}

// withHub calls f with the hub's state, under the lock.
func (t *peerExchange) withHub(f func(h *exchange.Hub)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.hub)
}
