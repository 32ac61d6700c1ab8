package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/certs"
	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Daemon is one entry instance's process: all its duties and listeners.
type Daemon struct {
	settings settings.Settings
	run      fleet.DaemonID
	log      *logrus.Logger
	state    *lifecycle
	metrics  *metricSet
	cancel   context.CancelFunc

	platform      *outside.Clients
	roster        *roster
	peers         *peer.Client
	routing       *routingDuty
	admission     *admissionDuty
	ledger        *ledgerDuty
	configuration *configurationDuty
	locator       *locator
	dispatcher    *dispatch.Dispatcher
	services      *services
	observing     *observingDuty
	pools         *poolDuty
	reclaim       *reclaimDuty
	sharing       *sharingDuty
	crashes       *crashDuty
	leasing       *leasingDuty
	operators     *operators
	placer        *placer
	membership    *membershipDuty
	drains        *drains
	gateway       *gateway.Gateway
	decides       func() bool // this daemon places or buys for the whole fleet
	noticesAway   atomic.Bool // the cloud's notices can't be read
	peerBytes     byteCount
	listBytes     byteCount // computed from the answers' size
	listBusy      busyTime  // in taking the instance list's answers
	noticedAt     chan time.Time
	listed        atomic.Pointer[listapi.List] // the newest answer
	servers       []*httpserver.Server
}

// New makes a daemon from checked settings. Start lets it serve.
func New(s settings.Settings, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:  s,
		run:       fleet.DaemonID(uuid.Must(uuid.NewV7()).String()),
		log:       log,
		state:     newLifecycle(),
		metrics:   newMetricSet(),
		drains:    newDrains(),
		noticedAt: make(chan time.Time, 1),
		decides:   func() bool { return false },
	}
	rates := budget.Rates{}
	rates[budget.ObjectRead] = s.Control.FleetReads
	rates[budget.ObjectWrite] = s.Control.FleetWrites
	clients, err := outside.New(outside.Options{
		Objects:   s.Platform.Objects,
		Instances: s.Platform.Instances,
		Cloud:     s.Platform.Cloud,
		Weights:   s.Platform.Weights,
		Budget: budget.Config{
			Fleet:        rates,
			FleetSize:    len(s.Seeds) + 1,
			LedgerShards: ledgerShards,
			LeaseShards:  len(controlShards()),
		},
		Observer: d.metrics,
	})
	if err != nil {
		return nil, err
	}
	d.platform = clients
	d.roster = newRoster(d.self(), s.Entries.Subset, d.state)
	d.roster.onView = d.takeRoles
	if d.peers, err = newPeerClient(s.TLS.Peers); err != nil {
		return nil, err
	}
	d.peers.Wrap(d.peerBytes.conn)
	d.wire()
	return d, nil
}

// newPeerClient returns the client of other daemons, with mutual TLS where the
// settings name certificates.
func newPeerClient(m settings.PeerTLS) (*peer.Client, error) {
	if m.Certificate == "" {
		return peer.NewClient(nil), nil
	}
	store, err := certs.Open(certs.Files{Certificate: m.Certificate, Key: m.Key, Authority: m.Authority})
	if err != nil {
		return nil, err
	}
	return peer.NewClient(store.Client), nil
}

func (d *Daemon) self() peerInfo {
	return peerInfo{
		Instance:   d.settings.Instance,
		Daemon:     d.run,
		Callers:    d.settings.Advertise.Callers,
		Peers:      d.settings.Advertise.Peers,
		DataCentre: d.settings.DataCentre,
		Serving:    true,
		Alive:      true,
		State:      string(fleet.Live),
	}
}

// wire makes the duties and joins them.
func (d *Daemon) wire() {
	s := &d.settings
	engineClient := endpoint.NewEngines(endpoint.Options{})
	d.routing = newRoutingDuty(s, probe, logging.For(d.log, logging.Routing))
	d.admission = newAdmissionDuty()
	d.configuration = newConfigurationDuty(d.platform.Objects, s.Control.StartSpread, d.state, logging.For(d.log, logging.Template))
	d.configuration.fetch = d.fetchTemplates
	d.configuration.kinds = func() []string { return watchedKinds(d.run, d.roster.candidates()) }
	d.sharing = newSharingDuty(d.run, d.roster, d.admission, d.peers)
	d.configuration.onChange = d.sharing.setLimits
	d.configuration.onObjects = d.onObjects
	d.ledger = newLedgerDuty(d.platform.Objects, logging.For(d.log, logging.Ledger))
	d.ledger.writer = d.ledgerWriter
	d.ledger.standby = d.ledgerStandby
	d.ledger.forward = d.forwardIntent
	d.ledger.settleAt = d.settleAt
	d.ledger.self = d.run
	d.ledger.daemon = d.roster.daemon
	d.locator = newLocator(d.state, d.roster, d.peers, s.Limits, logging.For(d.log, logging.Peer))
	d.observing = newObservingDuty(engineClient, d.routing, s.Routing.LoadInterval)
	d.routing.used = d.observing.dispatched
	d.pools = &poolDuty{routing: d.routing, observing: d.observing, admission: d.admission, roster: d.roster}
	d.crashes = newCrashDuty(d.run, d.roster, d.peers, d.routing, logging.For(d.log, logging.Quarantine))
	d.crashes.ended = d.metrics.endpointEnded
	d.services = &services{
		crashes:   d.crashes,
		client:    endpoint.NewServices(endpoint.Options{}),
		router:    d.routing,
		admission: d.admission,
		ledger:    d.ledger,
		daemon:    d.run,
		known:     func(name string) bool { return d.configuration.snapshot.Load().HasService(name) },
		log:       logging.For(d.log, logging.Dispatch),
	}
	d.dispatcher = dispatch.New(d.dispatchOptions(engineClient))
	daemons := func() int { return len(d.roster.view.Load().serving) }
	d.reclaim = newReclaimDuty(d.dispatcher, d.routing, daemons, logging.For(d.log, logging.Routing))
	d.operators = &operators{daemon: d, objects: d.platform.Objects.As(budget.Configuration), past: newPastChanges()}
	d.wireControl(engineClient)
	d.gateway = d.newGateway()
	d.measureControl()
	d.metrics.gauge("cyclamenbeam_requests_held", func() float64 { return float64(d.crashes.table.HeldCount()) })
	d.metrics.gauge("cyclamenbeam_crashes_remembered", func() float64 { return float64(d.crashes.table.CrashCount()) })
	d.metrics.gauge("cyclamenbeam_requests_running", func() float64 { return float64(d.dispatcher.Live()) })
	d.metrics.ringGauges("routing", d.routing.ring.Depth, d.routing.ring.Drops, d.routing.ring.Refused)
	d.metrics.ringGauges("admission", d.admission.ring.Depth, d.admission.ring.Drops, d.admission.ring.Refused)
	d.metrics.ringGauges("ledger", d.ledger.ring.Depth, d.ledger.ring.Drops, d.ledger.ring.Refused)
	d.metrics.ringGauges("configuration", d.configuration.ring.Depth, d.configuration.ring.Drops, d.configuration.ring.Refused)
	d.metrics.ringGauges("directory", d.locator.ring.Depth, d.locator.ring.Drops, d.locator.ring.Refused)
}

// probe opens a new connection to an endpoint and closes it.
func probe(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: endpoint.DefaultDialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

func limitsOf(w *template.Workspace) admission.Limits {
	return admission.Limits{
		RequestsPerSecond: w.Limits.RequestsPerSecond,
		RequestBurst:      w.Limits.Burst,
		TokensPerSecond:   w.Limits.TokensPerSecond,
		TokenBurst:        w.Limits.TokenBurst,
		Concurrency:       w.Limits.Concurrency,
		MaxTokens:         w.Limits.MaxTokens,
		Weight:            w.Weight,
	}
}

// ledgerWriter returns the daemon that writes a ledger shard, if it is another.
func (d *Daemon) ledgerWriter(shard int) (peerInfo, bool) {
	v := d.roster.view.Load()
	at := ledger.WriterOf(shard, v.serving)
	if at < 0 {
		return peerInfo{}, false
	}
	p := *v.byID[fleet.InstanceID(v.serving[at])]
	return p, p.Instance != d.settings.Instance
}

// newGateway returns the callers' API.
func (d *Daemon) newGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		Requests:   d.dispatcher,
		Services:   d.services,
		Directory:  d.roster,
		Identities: d.configuration,
		Readiness:  d.state,
		Observer:   d.metrics,
		Metrics:    d.metrics.serve,
		Limits:     d.settings.Limits,
		EntriesAge: d.settings.Entries.MaxAge,
		Log:        logging.For(d.log, logging.Gateway),
	})
}
