package node

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
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

// minLevelsUptime is how long a daemon must have run until others that have just started
// adopt what it counts as left of the limits.
const minLevelsUptime = 4 * time.Second

// peerExchange is this daemon's part in the exchange of reports: it reports to hubs, and
// answers as a hub.
type peerExchange struct {
	node   *Node
	client *exchange.Client

	mu           sync.Mutex
	hub          *exchange.Hub
	rng          *rand.Rand
	holder       exchange.Holder // of the duties, the newest reported
	listPosition feed.Position   // this daemon's position in the list of listHub
	listHub      string          // address of the hub whose list of endpoints is followed, empty: none
	// listedAt is when that hub last sent its list.
	listedAt    time.Time
	hubs        map[string]*hubState // by address
	loadHub     string               // the hub that sends the endpoints' loads, empty: all
	loadedAt    time.Time            // when loads were last received
	seq         uint64               // of the last round
	relaying    bool                 // in this round this daemon relays what it receives
	relayers    map[string]time.Time // when other hubs last relayed something, by address
	memberLists *memberLists
	// hubStoreContact is when the followed hub last had contact with the store.
	hubStoreContact time.Time
}

func newPeerExchange(n *Node) *peerExchange {
	return &peerExchange{
		node:   n,
		client: exchange.NewClient(),
		hub:    exchange.NewHub(exchange.NormalInterval(1)),
		hubs:   map[string]*hubState{},
		rng:    random(),

		relayers:    map[string]time.Time{},
		memberLists: newMemberLists(n),
	}
}

// listen answers other daemons.
func (x *peerExchange) listen(ctx context.Context) error {
	lc := net.ListenConfig{Control: upstream.UserTimeout}
	l, err := lc.Listen(ctx, "tcp", x.node.settings.Listen.Peers)
	if err != nil {
		return Error.Wrap(err)
	}
	x.node.wg.Add(1)
	go func() {
		defer x.node.wg.Done()
		if err := exchange.Serve(ctx, l, x); err != nil && ctx.Err() == nil {
			x.node.logFor("peers").WithError(err).Error("listener ended")
		}
	}()
	return nil
}

// Fetch implements exchange.Handler.
func (x *peerExchange) Fetch(w spread.Want) (spread.Piece, error) { return x.node.config.piece(w) }

// Report implements exchange.Handler.
func (x *peerExchange) Report(report exchange.Report) exchange.Reply {
	x.node.fetcher.offeredBy(report.Daemon, report.ConfigVersion)
	x.node.crashes.add(report.Crashes)
	x.node.mergeRateLimits(report.RateLimits)
	if report.Self != nil {
		x.node.addMembers([]membership.Member{*report.Self})
	}
	x.node.rollouts.orders.addReports(report.Daemon, report.Rollouts)
	now := time.Now()
	x.node.state.ApplyRollouts(now, report.RolloutUpdate)
	steady := x.node.clock.Steady()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hub.Add(now, steady, report)
	x.takeRelayed(now, steady, &report)
	x.holder = x.holder.Newer(report.Holder)
	reply := exchange.Reply{Soft: relay.SoftState{JustStarted: x.node.gathering()}, Holder: x.holder, Compress: report.AcceptsCompressed}
	relayer := report.IsHub && report.Daemon != x.node.id
	if !relayer {
		reply.Soft.Spent = x.hub.Spent(now, report.Daemon)
		reply.Soft.Demands = x.hub.Demands(now, report.Daemon)
	}
	if !report.OmitLoads && !relayer {
		reply.Loads = x.hub.Loads(now, report.Daemon)
		reply.Speeds = x.hub.Speeds(now, report.Daemon)
	}
	reply.RolloutUpdate = x.node.state.RolloutUpdate(now)
	reply.Crashes, reply.CrashesPosition = x.node.crashes.table.Since(report.CrashesPosition)
	reply.RateLimits, reply.RateLimitsPosition = x.node.rateLimitsSince(report.RateLimitsPosition)
	if report.WantLevels && now.Sub(x.node.started) > minLevelsUptime {
		reply.Soft.Levels = x.node.state.Levels(now)
	}
	if skew, ok := x.hub.Skew(now); ok {
		reply.FleetTime = time.Unix(0, int64(steady+skew))
	}
	reply.Endpoints = x.node.endpoints.since(report.EndpointsPosition)
	if x.relaying {
		reply.Members = x.memberLists.since(now, report.MembersPosition)
	}
	reply.Forwarders = x.forwardersFor(now, &report)
	reply.StoreAge = x.storeAge(now)
	reply.ConfigRevision = x.node.config.upTo() // read before the version, which is then at least as new
	newest := x.node.config.current()
	reply.ConfigVersion = newest.Version
	if !report.Fetches && report.ConfigVersion < newest.Version {
		reply.Config = newest.Bytes
	}
	if report.WantVersions { // read after the configuration's version, whose changes it includes
		reply.Versions = x.node.origins.history()
	}
	return reply
}

// run reports to the hubs until the context ends.
func (x *peerExchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		x.wait(ctx)
		x.round(ctx)
	}
}

// urgentCheckInterval is how often a daemon whose hubs relay checks whether it has
// something urgent to report.
const urgentCheckInterval = 250 * time.Millisecond

// wait waits until the next report is due, which may become urgent meanwhile.
func (x *peerExchange) wait(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		left := x.nextInterval() - time.Since(began)
		if left <= 0 {
			return
		}
		if x.node.members.layout().meshed {
			left = min(left, urgentCheckInterval)
		}
		pause.For(ctx, left)
		if !x.node.members.layout().meshed {
			return
		}
	}
}

// nextInterval returns the time from the last report to the next.
func (x *peerExchange) nextInterval() time.Duration {
	l := x.node.members.layout()
	now := time.Now()
	interval := x.node.interval()
	switch {
	case x.node.gathering() && l.meshed:
		interval = exchange.MeshStartInterval(l.reporters)
	case x.node.gathering():
		interval = exchange.StartInterval(l.reporters)
	case x.node.state.AnyMoving(now):
		interval = x.node.movingInterval()
	case l.meshed:
		if x.node.state.UnreportedNearLimit(now) || x.lostHub() {
			interval = exchange.UrgentInterval(l.reporters)
		}
	case x.node.state.NearLimit(now):
		interval = exchange.UrgentInterval(l.reporters)
	}
	if x.node.paths.suspects() {
		interval = min(interval, max(suspectInterval, time.Duration(l.reporters)*suspectPerDaemon))
	}
	if x.relays(l) {
		interval = min(interval, exchange.RelayInterval)
	}
	x.node.state.SetReportInterval(now, interval)
	x.node.crashes.table.SetReportInterval(x.node.interval())
	return interval
}

const (
	// suspectInterval is the time between two reports of a daemon that may have lost its
	// path to endpoints and needs other daemons; suspectPerDaemon bounds the reports to a hub
	// to 500 a second if all do.
	suspectInterval  = 200 * time.Millisecond
	suspectPerDaemon = 2 * time.Millisecond
)

// setInterval sets the interval of the fleet's reports.
func (x *peerExchange) setInterval(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hub.SetInterval(d)
}

// round reports to all hubs and applies each reply as it arrives. It doesn't wait for
// an unresponsive hub, which would delay the reports to the others.
func (x *peerExchange) round(ctx context.Context) {
	targets := x.targets()
	x.beginRound()
	x.chooseLoadHub(targets)
	kept := appendNew(slices.Clone(targets), peersOf(x.node.members.layout().own)...)
	x.client.KeepOnly(kept)
	x.node.state.KeepHubs(kept)
	x.checkListHub()
	answered := make(chan struct{}, len(targets))
	soft := x.node.state.OwnState(time.Now())
	x.node.logSlowChanges()
	for _, address := range targets {
		go func() {
			defer func() { answered <- struct{}{} }()
			x.sendReport(ctx, address, soft)
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

// roundTimeout is how long a round waits for replies: many round-trip times, and short
// enough that rounds of a healthy fleet don't overlap.
const roundTimeout = 150 * time.Millisecond

// targets returns the addresses to report to: the hubs, the holder of the duties, and
// the seeds until another daemon has been found.
func (x *peerExchange) targets() []string {
	l := x.node.members.layout()
	out := x.ownHubs(l)
	relays := x.relays(l)
	x.setRelaying(relays)
	if relays {
		out = appendNew([]string{x.node.settings.Listen.Peers}, out...)
		out = appendNew(out, x.otherHubs(l)...)
	}
	if relays || !l.meshed {
		out = appendNew(out, x.holderAddress(l)...)
	}
	out = appendNew(out, x.listSources(l)...)
	if x.node.config.current().Version == 0 && (len(l.serving) <= 1 || x.node.config.store.Lost()) {
		for _, s := range *x.node.members.seeds.Load() {
			out = appendNew(out, s.Peer)
		}
	}
	return out
}

// holderAddress returns the address of the holder of the duties, none where no serving
// daemon is reported as the holder.
func (x *peerExchange) holderAddress(l *layout) []string {
	x.mu.Lock()
	holder := x.holder
	x.mu.Unlock()
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

// sendReport sends a report to one hub, or handles it here if the hub is this daemon, and
// applies the reply. A hub that has not answered yet gets no further report meanwhile.
func (x *peerExchange) sendReport(ctx context.Context, address string, soft relay.SoftState) {
	if !x.beginCall(address) {
		return
	}
	defer x.endCall(address)
	report, sent := x.newReport(address, soft)
	if address == x.node.settings.Listen.Peers {
		reply := x.Report(report)
		if x.node.gathering() && len(x.node.members.serving()) == 1 {
			return // the others have not been found yet, and the reply lacks them
		}
		x.apply(address, &reply, 0)
		return
	}
	sentAt := time.Now()
	reply, err := x.client.Report(ctx, address, &report)
	took := time.Since(sentAt)
	x.reportEnded(address, &report, err)
	if err != nil {
		return
	}
	x.node.fetcher.offered(address, reply.ConfigVersion)
	x.node.config.noteHubRevision(reply.ConfigVersion, reply.ConfigRevision)
	x.takeCrashes(address, sent.crashes, &reply)
	x.takeRateLimits(address, sent.rateLimits, &reply)
	if report.IsHub {
		x.applyHubReply(address, &reply, took)
		return
	}
	x.apply(address, &reply, took)
}

// sentPositions are the positions up to which a report includes this daemon's crashes and
// statements about rate limits.
type sentPositions struct {
	crashes    quarantine.Position
	rateLimits backpressure.Position
}

// newReport returns this daemon's report to a hub, with the soft state of this round.
func (x *peerExchange) newReport(address string, soft relay.SoftState) (exchange.Report, sentPositions) {
	report := exchange.Report{
		Daemon:            x.node.id,
		ConfigVersion:     x.node.config.current().Version,
		Fetches:           true,
		AcceptsCompressed: true,
		Soft:              soft,
		WallTime:          time.Now(),
	}
	report.Soft.JustStarted = x.node.gathering()
	report.Unreachable, report.ForwardAddress = x.node.paths.lostServices(), x.node.forwardAddress()
	report.WantForwarders = x.node.paths.suspects()
	report.KeepsVersions, report.WantVersions = true, x.node.origins.wantsVersions()
	report.Rollouts, report.RolloutUpdate = x.node.state.RolloutReports(report.WallTime), x.node.state.RolloutUpdate(report.WallTime)
	l := x.node.members.layout()
	x.mu.Lock()
	defer x.mu.Unlock()
	report.Seq, report.Backup = x.seq, x.loadHub != "" && x.loadHub != address
	if time.Since(x.hubState(address).windowsAt) >= windowsInterval {
		report.Windows = x.node.begun.windows()
	}
	report.Holder = x.holder
	// The holder records the versions, also those that a hub alone has seen.
	report.WantVersions = report.WantVersions || x.holder.Daemon == x.node.id
	report.IsHub = x.relaying
	report.EndpointsPosition = x.endpointsPosition(l, address)
	report.MembersPosition = x.memberLists.position(address, report.IsHub || x.loadHub == "" || x.loadHub == address)
	if r := x.hubState(address); r.unanswered || r.answeredAt.IsZero() {
		report.Self = &x.node.members.self
	}
	report.OmitLoads = x.omitLoads(address)
	report.WantLevels = !x.node.state.LevelsKnown()
	if !x.speedsDue(l, address) {
		report.Soft.Speeds = nil
	}
	if address == x.node.settings.Listen.Peers {
		return report, sentPositions{}
	}
	if report.IsHub {
		x.addRelayed(l, address, &report)
	}
	var sent sentPositions
	report.Crashes, sent.crashes = x.node.crashes.table.Since(x.hubState(address).crashesSent)
	report.CrashesPosition = x.hubState(address).crashesReceived
	report.RateLimits, sent.rateLimits = x.node.rateLimitsSince(x.hubState(address).rateLimitsSent)
	report.RateLimitsPosition = x.hubState(address).rateLimitsReceived
	return report, sent
}

// apply applies a hub's reply, which took a while. Of a reply that took longer than
// exchange.ReplyTimeout, the clock and the loads are out of date and not applied.
func (x *peerExchange) apply(address string, reply *exchange.Reply, took time.Duration) {
	x.applyUpdates(address, reply, took)
	if took > exchange.ReplyTimeout {
		x.applyLate(reply)
		return
	}
	if !reply.FleetTime.IsZero() {
		x.node.clock.Correct(reply.FleetTime, x.node.clock.Steady())
	}
	now := time.Now()
	x.mu.Lock()
	x.holder = x.holder.Newer(reply.Holder)
	if reply.Loads != nil {
		x.loadedAt = now
	}
	x.mu.Unlock()
	if reply.Loads != nil {
		reply.Soft.Load = reply.Loads.Others()
	}
	if reply.Speeds != nil {
		reply.Soft.Speeds = reply.Speeds.Others()
	}
	x.node.state.SetOthers(now, address, reply.Soft)
}

// applyUpdates applies what a hub sends of the store and the roll-outs.
func (x *peerExchange) applyUpdates(address string, reply *exchange.Reply, took time.Duration) {
	reply.StoreAge += took
	reply.RolloutUpdate.Age += took
	reply.RolloutUpdate.OrdersAge += took
	x.node.state.ApplyRollouts(time.Now(), reply.RolloutUpdate)
	x.node.watch.noteHubContact(reply.StoreAge)
	x.node.forwarder.setKnown(reply.Forwarders)
	x.takeList(address, reply)
	x.node.origins.mergeHistory(reply.Versions, reply.ConfigVersion)
	x.mu.Lock()
	members := x.memberLists.receive(address, &reply.Members)
	x.mu.Unlock()
	x.node.addMembers(members)
}

// applyLate applies what remains valid in a reply that came late.
func (x *peerExchange) applyLate(reply *exchange.Reply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holder = x.holder.Newer(reply.Holder)
}

// setHolder notes that this daemon has acquired the duties. The others receive this
// from the hubs, also where they can't reach the store.
func (x *peerExchange) setHolder(token uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holder = x.holder.Newer(exchange.Holder{Daemon: x.node.id, Token: token})
}

// otherHolderToken returns the fencing token under which another daemon than self is
// reported to hold the duties, 0 where none is.
func (x *peerExchange) otherHolderToken(self fleet.DaemonID) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.holder.Daemon == self {
		return 0
	}
	return x.holder.Token
}

// withHub calls f with the hub's state, under the lock.
func (x *peerExchange) withHub(f func(h *exchange.Hub)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.hub)
}
