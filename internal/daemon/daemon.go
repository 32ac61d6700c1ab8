package daemon

import (
	"context"
	"net"
	"net/http"
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
	"github.com/cyclamenbeam/cyclamenbeam/internal/lease"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/platform"
	"github.com/cyclamenbeam/cyclamenbeam/internal/platform/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
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

	platform      *platform.Clients
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
	servers       []*http.Server
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
	clients, err := platform.New(platform.Options{
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
func newPeerClient(m settings.Mutual) (*peer.Client, error) {
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
	d.ledger.self = d.run
	d.ledger.daemon = d.roster.daemon
	d.locator = newLocator(d.state, d.roster, d.peers, s.Limits, logging.For(d.log, logging.Peer))
	d.observing = newObservingDuty(engineClient, d.routing, s.Routing.LoadInterval)
	d.routing.used = d.observing.dispatched
	d.pools = &poolDuty{routing: d.routing, observing: d.observing, admission: d.admission, roster: d.roster}
	d.services = &services{
		client:    endpoint.NewServices(endpoint.Options{}),
		router:    d.routing,
		admission: d.admission,
		ledger:    d.ledger,
		daemon:    d.run,
		known:     func(name string) bool { return d.configuration.snapshot.Load().Service(name) },
		log:       logging.For(d.log, logging.Dispatch),
	}
	d.dispatcher = dispatch.New(d.dispatchOptions(engineClient))
	daemons := func() int { return len(d.roster.view.Load().serving) }
	d.reclaim = newReclaimDuty(d.dispatcher, d.routing, daemons, logging.For(d.log, logging.Routing))
	d.operators = &operators{daemon: d, objects: d.platform.Objects.As(budget.Configuration), past: newPastChanges()}
	d.wireControl(engineClient)
	d.gateway = d.newGateway()
	d.measureControl()
	d.metrics.gauge("cyclamenbeam_requests_running", func() float64 { return float64(d.dispatcher.Live()) })
	d.metrics.ringGauges("routing", d.routing.ring.Depth, d.routing.ring.Drops, d.routing.ring.Refused)
	d.metrics.ringGauges("admission", d.admission.ring.Depth, d.admission.ring.Drops, d.admission.ring.Refused)
	d.metrics.ringGauges("ledger", d.ledger.ring.Depth, d.ledger.ring.Drops, d.ledger.ring.Refused)
	d.metrics.ringGauges("configuration", d.configuration.ring.Depth, d.configuration.ring.Drops, d.configuration.ring.Refused)
	d.metrics.ringGauges("directory", d.locator.ring.Depth, d.locator.ring.Drops, d.locator.ring.Refused)
}

// controlShards returns the shards of the duties that need a lease.
func controlShards() []lease.Shard {
	return append(lease.Shards(placementDuty, 1), lease.Shards(capacityDuty, 1)...)
}

// wireControl makes the duties that need a lease.
func (d *Daemon) wireControl(client *endpoint.Engines) {
	s := &d.settings
	d.leasing = newLeasingDuty(d.run, controlShards(), d.platform.Objects, s.Control.StartSpread, logging.For(d.log, logging.Capacity))
	d.leasing.onHeld = d.platform.SetLeaseRole
	d.leasing.ready = func() bool { return d.state.NotReady() == "" }
	d.leasing.alive = d.roster.candidates
	d.placer = &placer{
		leases:        d.leasing,
		routing:       d.routing,
		observing:     d.observing,
		engines:       client,
		weights:       d.platform.Weights,
		configuration: d.configuration,
		room:          s.Placement.ModelsPerEngine,
		bytes:         make(map[fleet.ModelRef]int64),
		log:           logging.For(d.log, logging.Capacity),
	}
}

func (d *Daemon) dispatchOptions(client *endpoint.Engines) dispatch.Options {
	s := &d.settings
	policy := request.DefaultPolicy()
	policy.FirstPiece = s.Routing.FirstToken
	policy.Progress = s.Routing.BetweenTokens
	return dispatch.Options{
		Instance: s.Instance,
		Daemon:   d.run,
		// The life watches each stream's progress; the client's own deadlines
		// are the second line, for what never reaches the life.
		Engines:   &engines{client: client, first: 2 * policy.FirstPiece, between: 2 * policy.Progress},
		Router:    d.routing,
		Admission: d.admission,
		Locator:   d.locator,
		Intents:   d.ledger,
		Peers:     &handoverPeers{roster: d.roster, client: d.peers},
		NonIdempotent: func(m fleet.ModelRef, w fleet.WorkspaceID) bool {
			model, ok := d.configuration.model(w, m)
			return ok && model.NonIdempotent
		},
		Model: func(w fleet.WorkspaceID, m fleet.ModelRef) (fleet.ModelRef, bool) {
			model, ok := d.configuration.model(w, m)
			return d.served(model, m.Version), ok
		},
		Priority: d.configuration.priority,
		Observer: d.metrics,
		Policy:   policy,
		Address:  d.roster.callersAddress,
		Timeout:  s.Limits.RequestTimeout,
		Limits:   request.TableLimits{Live: s.Limits.MaxRequests, Bytes: int(s.Limits.RetainBytes), Retention: s.Limits.Retain},
		Log:      logging.For(d.log, logging.Dispatch),
	}
}

// served returns the model that a request goes to: the template's version once
// as many engines hold it as the template wants, any version before. Without
// that, an amended template would send every request to the first engine that
// has loaded the new version, or to none.
func (d *Daemon) served(m template.Model, asked string) fleet.ModelRef {
	if asked != "" || m.Ref.Version == "" {
		return m.Ref
	}
	list := d.routing.current.Load().list
	any := fleet.ModelRef{Model: m.Ref.Model, Adapter: m.Ref.Adapter}
	if have := replicas(list, m.Ref); have >= m.MinReplicas || have == replicas(list, any) {
		return m.Ref
	}
	return any
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

// onObjects takes changes of the kinds that are not templates.
func (d *Daemon) onObjects(objects []objectapi.Object) {
	if !d.drains.apply(objects) {
		return
	}
	if list := d.listed.Load(); list != nil {
		d.routing.setEndpoints(d.drains.mark(list.Endpoints))
	}
}

// onList takes a new answer of the instance list.
func (d *Daemon) onList(list listapi.List) {
	defer d.listBusy.since(time.Now())
	d.listed.Store(&list)
	if len(list.Entries) > 0 {
		d.state.listed.Store(true) // an empty list is of a platform that has just started
	}
	d.routing.setEndpoints(d.drains.mark(list.Endpoints))
	for _, e := range leavingEndpoints(list) {
		d.noticed(e)
	}
	if !d.membership.node.View().Joined() {
		d.roster.setList(list.Entries)
	}
	d.membership.seeds(list.Entries)
	// The list's count, not the membership's: parts of a fleet that lost each
	// other still share one platform.
	d.platform.SetFleetSize(max(1, len(list.Entries)))
	d.observing.forget(d.routing.current.Load().byID)
}

// noticed acts on an endpoint that leaves: routing sends it nothing more, and
// this daemon's streams on it are moved in time.
func (d *Daemon) noticed(e fleet.Endpoint) {
	at := time.Time{}
	if e.LeaveAt > 0 {
		at = time.UnixMilli(e.LeaveAt)
	}
	d.routing.notice(e.ID, at)
	d.dispatcher.Notice(e.ID, at)
	d.reclaim.notice(e, at)
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
