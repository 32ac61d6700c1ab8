package node

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/clock"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Node is one daemon.
type Node struct {
	settings *Settings
	platform Platform
	id       fleet.DaemonID
	log      *logrus.Logger

	state     *relay.State
	relay     *relay.Relay
	pool      *upstream.Pool
	paths     *paths
	forwarder *forwarders
	bodies    *relay.Bodies
	guard     *httpserver.Guard
	origins   *origins
	restorer  *versionsRestorer
	streams   *streamsRecord
	clock     *clock.Clock
	config    *configuration
	fetcher   *configFetcher
	endpoints *endpointList
	members   *members
	joined    atomic.Pointer[members] // members, for calls before Run
	peers     *peerExchange
	rollouts  *rolloutDuty
	watch     *watchPolicy
	startGate *startGate
	begun     *begunCounts
	crashes   *crashGuard
	witnesses *witnesses
	requests  *requestLog
	metrics   *metricSet

	// extraSeeds are seeds in the form of peers' addresses, whose ports may differ.
	extraSeeds []string

	started  time.Time
	grace    atomic.Int64 // of a stop, in nanoseconds
	stopping atomic.Bool
	wg       sync.WaitGroup
}

// New returns a daemon that isn't started.
func New(s *Settings, p Platform, log *logrus.Logger) *Node {
	n := &Node{
		settings: s,
		platform: p,
		id:       newID(s.Limits),
		log:      log,
		started:  time.Now(),
		clock:    clock.New(),
	}
	n.paths = newPaths(n, p.Dial)
	n.pool = upstream.NewPool(initialShare, n.paths.dial)
	retries := retry.NewBudgets(retry.Config{
		Window: seconds(s.Bounds.RetryWindowSeconds), Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
	}, n.started, s.Daemon.FirstStart)
	limits := quota.New(s.Daemon.FirstStart, s.Bounds.tolerance())
	if s.Limits.ByPriority == NotByPriority {
		limits.SpendInOrder()
	}
	n.state = relay.NewState(s.Daemon.DataCentre, limits, retries, random())
	n.crashes = newCrashGuard(n)
	n.witnesses = newWitnesses(n)
	n.begun = newBegunCounts(seconds(s.Bounds.UsageWindowSeconds))
	n.metrics = newMetricSet(n)
	n.platform.Store = &countedStore{store: p.Store, metrics: n.metrics}
	n.requests = newRequestLog(log, n.metrics)
	n.relay = relay.New(n.state, n.pool, p.Protocol, &observer{n}, n.crashes)
	n.forwarder = newForwarders(n, p.DialDaemon)
	n.relay.SetForwarder(n.forwarder)
	n.guard = httpserver.NewGuard(partOf(s, headShare), n.clientTimes, n.logFor("connections"))
	n.bodies = relay.NewBodies(memlimit.New(memoryPart(s, bodyShare)))
	n.bodies.OnShortage(n.guard.MakeRoom)
	n.relay.SetAnswerMemory(memlimit.New(memoryPart(s, answerShare)))
	n.origins = newOrigins(n)
	n.relay.SetOrigins(n.origins)
	n.restorer = newVersionsRestorer(n)
	n.streams = newStreamsRecord(n)
	n.watch = newWatchPolicy(n)
	n.startGate = newStartGate(n.started)
	n.config = newConfiguration(n)
	n.fetcher = newConfigFetcher(n)
	n.endpoints = newEndpointList(n)
	n.peers = newPeerExchange(n)
	n.state.SetRollouts(s.Bounds.rollouts())
	n.state.SetSpeeds(s.Balance.speeds())
	n.rollouts = newRolloutDuty(n)
	n.grace.Store(int64(seconds(s.Bounds.GraceSeconds)))
	return n
}

// contactBound is how long after a disturbance the platform's bounds apply again.
func (n *Node) contactBound() time.Duration { return millis(n.settings.Bounds.ContactMillis) }

// changeBound is the longest time from a change's acknowledgement until it is in force.
func (n *Node) changeBound() time.Duration { return millis(n.settings.Bounds.ChangeMillis) }

// initialShare is the bound on connections to an endpoint until its service's bound and
// the number of daemons are available.
const initialShare = 16

func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run serves until the context ends, then drains and stops. The settings' file at path
// is reloaded when it changes; a signal makes the daemon check it at once.
func (n *Node) Run(ctx context.Context, path string, signals <-chan os.Signal) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	members, err := joinFleet(n)
	if err != nil {
		return err
	}
	n.members = members
	n.joined.Store(members)
	if err := n.peers.listen(work); err != nil {
		return err
	}
	if err := n.serveMetrics(work); err != nil {
		return err
	}
	forwarded, err := n.openForward()
	if err != nil {
		return err
	}
	stop, err := n.platform.Open(work, n)
	if err != nil {
		return err
	}
	n.logFor("daemon").WithField("instance", n.settings.Daemon.Instance).Info("started")
	n.start(work)
	n.wg.Go(func() { n.watchSettings(work, path, signals) })
	<-ctx.Done()
	n.leave(func(ctx context.Context) {
		stop(ctx)
		if forwarded != nil {
			if err := forwarded.Close(ctx); err != nil {
				n.logFor("forward").WithError(err).Warn("listener not closed cleanly")
			}
		}
	})
	cancel()
	n.wg.Wait()
	n.logFor("daemon").Info("stopped")
	return nil
}

// start starts the goroutines of all parts.
func (n *Node) start(ctx context.Context) {
	duties := []func(context.Context){
		n.guard.Run, n.config.run, n.fetcher.run, n.endpoints.run, n.endpoints.tick, n.peers.run, n.members.run, n.sweep, n.requests.run, n.paths.run,
		n.discover, n.findSharers, n.restoreRetries, n.watchHoldUps, n.origins.run, n.restorer.run, n.streams.run, n.streams.restore, newLimitLog(n).run, newRetryLog(n).run, n.crashes.watch.Run, n.crashes.readStored,
	}
	if n.platform.Cloud != nil {
		duties = append(duties, newDuties(n).run)
	}
	for _, duty := range duties {
		n.wg.Go(func() { duty(ctx) })
	}
}

// sweep closes connections to endpoints and other daemons that have been idle for too long.
func (n *Node) sweep(ctx context.Context) {
	pause.Every(ctx, time.Second, func() {
		n.pool.Sweep(time.Now())
		n.forwarder.pool.Sweep(time.Now())
	})
}

// logFor returns the log of a part.
func (n *Node) logFor(part string) *logrus.Entry { return n.log.WithField("part", part) }
