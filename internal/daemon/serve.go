package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/cyclamenbeam/cyclamenbeam/internal/certs"
	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// headerTimeout bounds the time in which a caller sends a request's header,
// so that idle connections of strangers don't hold memory for long.
const headerTimeout = 10 * time.Second

// idleTimeout ends callers' idle connections.
const idleTimeout = 2 * time.Minute

// Start opens the listeners and starts the duties. It returns once callers and
// peers can connect; the daemon answers 503 until it is ready.
func (d *Daemon) Start() error {
	tuneCollector()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	listeners, err := d.listen()
	if err != nil {
		cancel()
		return err
	}
	if d.membership, err = startMembership(&d.settings, d.self(), d.roster, logging.For(d.log, logging.Membership)); err != nil {
		cancel()
		listeners.close()
		return err
	}
	d.joinDuties()
	d.measureMembership()
	d.routing.start(ctx)
	d.reclaim.start(ctx)
	d.sharing.start(ctx)
	d.crashes.start(ctx)
	d.admission.start(ctx)
	d.ledger.start(ctx)
	d.locator.start(ctx)
	d.configuration.start(ctx)
	listing := &listingDuty{
		instances: d.platform.Instances,
		interval:  d.settings.Control.ListInterval,
		// No longer than the reads are apart later: callers wait for the first.
		spread:   min(d.settings.Control.StartSpread, d.settings.Control.ListInterval),
		mustKnow: d.mustKnowList,
		bytes:    &d.listBytes,
		onList:   d.onList,
		log:      logging.For(d.log, logging.Platform),
	}
	d.startControl(ctx)
	go listing.run(ctx)
	go d.observing.run(ctx)
	go d.pools.run(ctx)
	go d.watchNotices(ctx)
	d.serveHTTP(listeners.callers, d.gateway, logging.Gateway)
	d.serveHTTP(listeners.operators, d.operatorHandler(), logging.Operator)
	d.servePeers(ctx, listeners.peers)
	logging.For(d.log, logging.Daemon).WithField("instance", d.settings.Instance).Info("started")
	return nil
}

// startControl starts the duties that the settings let this daemon do.
func (d *Daemon) startControl(ctx context.Context) {
	s := &d.settings
	if s.Placement.Enabled || s.Capacity.Enabled {
		d.leasing.start(ctx)
		d.measureLeases(placementDuty, capacityDuty)
		d.decides = d.holdsDuty
		d.observing.decides = d.decides
	}
	if s.Placement.Enabled {
		go d.placer.run(ctx)
	}
	if s.Capacity.Enabled {
		b := newBuyer(d, s.Capacity)
		b.log = logging.For(d.log, logging.Capacity)
		go b.run(ctx)
	}
}

// holdsDuty reports whether this daemon places or buys for the whole fleet.
func (d *Daemon) holdsDuty() bool {
	s := &d.settings
	places := s.Placement.Enabled && len(d.leasing.held(placementDuty)) > 0
	return places || s.Capacity.Enabled && len(d.leasing.held(capacityDuty)) > 0
}

// mustKnowList reports whether this daemon needs the newest instance list:
// it decides for the whole fleet, has no other source of notices, or has not
// found the other daemons.
func (d *Daemon) mustKnowList() bool {
	return d.noticesAway.Load() || d.decides() || !d.membership.node.View().Joined()
}

// joinDuties connects the membership with those who need to know of it.
func (d *Daemon) joinDuties() {
	d.configuration.setDigest = d.membership.setDigest
	d.membership.onHeard = d.configuration.heard
	d.membership.onGone = func(m membership.Member) {
		d.locator.gone(m.Instance)
		d.configuration.gone(m.Daemon)
	}
	d.membership.follow()
}

// listeners are the daemon's TCP listeners.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

func (l *listeners) close() {
	_ = l.callers.Close()
	_ = l.operators.Close()
	_ = l.peers.Close()
}

func (d *Daemon) listen() (*listeners, error) {
	s := &d.settings
	l := &listeners{}
	var err error
	// The limit is below TLS: net/http derives a request's scheme from its connection.
	limit := func(l net.Listener) net.Listener { return netutil.LimitListener(l, s.Limits.MaxConnections) }
	if l.callers, err = listen(s.Listen.Callers, files(s.TLS.Callers), limit); err != nil {
		return nil, err
	}
	if l.operators, err = listen(s.Listen.Operators, files(s.TLS.Operators), nil); err != nil {
		return nil, errors.Join(err, l.callers.Close())
	}
	mutual := certs.Files{Certificate: s.TLS.Peers.Certificate, Key: s.TLS.Peers.Key, Authority: s.TLS.Peers.Authority}
	if l.peers, err = listen(s.Listen.Peers, mutual, d.peerBytes.listen); err != nil {
		return nil, errors.Join(err, l.callers.Close(), l.operators.Close())
	}
	return l, nil
}

func files(p settings.KeyPair) certs.Files {
	return certs.Files{Certificate: p.Certificate, Key: p.Key}
}

// listen opens a listener, with TLS where certificate files are named. wrap,
// where it is not nil, sees the connections below TLS.
func listen(address string, f certs.Files, wrap func(net.Listener) net.Listener) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if wrap != nil {
		l = wrap(l)
	}
	return secured(l, f)
}

func secured(l net.Listener, f certs.Files) (net.Listener, error) {
	if f.Certificate == "" {
		return l, nil
	}
	store, err := certs.Open(f)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return tls.NewListener(l, store.Server()), nil
}

func (d *Daemon) serveHTTP(l net.Listener, h http.Handler, part logging.Part) {
	server := &http.Server{
		ErrorLog:          stdlog.New(logging.For(d.log, part).WriterLevel(logrus.DebugLevel), "", 0),
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       d.settings.Limits.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    d.settings.Limits.MaxHeaderBytes,
	}
	d.servers = append(d.servers, httpserver.Start(server, l, logging.For(d.log, part)))
}

func (d *Daemon) servePeers(ctx context.Context, l net.Listener) {
	handler := &peerServer{dispatcher: d.dispatcher, locator: d.locator, configuration: d.configuration, ledger: d.ledger, sharing: d.sharing, crashes: d.crashes, daemon: d.run}
	go func() {
		if err := peer.Serve(ctx, l, handler); err != nil && ctx.Err() == nil {
			logging.For(d.log, logging.Peer).WithError(err).Error("listener ended")
		}
	}()
}

// Ready waits until callers are served.
func (d *Daemon) Ready(ctx context.Context) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for d.state.NotReady() != "" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("not ready: %s", d.state.NotReady())
		}
	}
	return nil
}
