// Package daemon assembles a finchspoke daemon from its gateway, home, placer, membership
// and settings services, which run under one suture supervisor.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/finchspoke/finchspoke/config"
	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/gateway"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/home"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/placer"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

// Version is the version that the status endpoint reports.
const Version = "0.1.0"

const (
	// leavePropagationDelay lets the other members learn by gossip that this daemon leaves
	// before its gateway closes its listener.
	leavePropagationDelay = 500 * time.Millisecond
	// handoverTimeout bounds the wait for others to replace this daemon in its groups.
	handoverTimeout      = 15 * time.Second
	handoverPollInterval = 50 * time.Millisecond
	// suspicionIntervals is the number of probe intervals within which a suspected member
	// must answer before it is declared dead.
	suspicionIntervals  = 3
	probeTimeoutDivisor = 3
)

// Daemon is one finchspoke process.
type Daemon struct {
	config     config.Config
	log        logrus.FieldLogger
	metrics    *prometheus.Registry
	sockets    sockets
	settings   *settings.Store
	registry   *settings.Registry
	members    *membership.Service
	home       *home.Server
	homes      *home.Client
	placer     *placer.Service
	gateway    *gateway.Server
	engines    *engine.Client
	pool       *transport.Pool
	claims     *group.Member
	supervisor *suture.Supervisor
	draining   atomic.Bool
	drain      chan struct{}
	drainOnce  sync.Once
}

// sockets are a daemon's listening sockets.
type sockets struct {
	gateway net.Listener
	rpc     net.Listener
	admin   net.Listener
	gossip  net.PacketConn
}

// Addresses are a daemon's listening addresses, as host:port.
type Addresses struct {
	Gateway string
	RPC     string
	Gossip  string
	Admin   string
}

// New opens a daemon's sockets and assembles its services; Run starts them.
func New(cfg config.Config, log logrus.FieldLogger) (*Daemon, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	opened, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	if cfg.ID == "" {
		cfg.ID = opened.rpc.Addr().String()
	}
	created := &Daemon{
		config: cfg, log: log.WithFields(logrus.Fields{"daemon": cfg.ID, "zone": cfg.Zone}),
		metrics: prometheus.NewRegistry(), sockets: opened, settings: &settings.Store{}, engines: engine.NewClient(),
		drain: make(chan struct{}),
	}
	created.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	created.assemble()
	return created, nil
}

func listen(cfg config.Config) (opened sockets, err error) {
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	if opened.gateway, err = listenTCP("gateway", cfg.Listen.Gateway); err != nil {
		return opened, err
	}
	if opened.gateway, err = withTLS(opened.gateway, cfg.TLS); err != nil {
		return opened, err
	}
	if opened.rpc, err = listenTCP("rpc", cfg.Listen.RPC); err != nil {
		return opened, err
	}
	if opened.admin, err = listenTCP("admin", cfg.Listen.Admin); err != nil {
		return opened, err
	}
	opened.gossip, err = net.ListenPacket("udp", cfg.Listen.Gossip)
	if err != nil {
		return opened, listenError(err, "gossip", cfg.Listen.Gossip)
	}
	return opened, nil
}

func listenTCP(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, listenError(err, name, address)
	}
	return listener, nil
}

func listenError(err error, name, address string) error {
	return failure.Wrap(err, failure.InvalidConfig, "set an unused address of this machine in listen."+name, "cannot listen on %s for %s", address, name)
}

func withTLS(listener net.Listener, files config.TLS) (net.Listener, error) {
	if files.CertificateFile == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return listener, failure.Wrap(err, failure.InvalidConfig, "provide a certificate and its key as PEM files", "cannot load the TLS certificate and key")
	}
	return tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}), nil
}

func (s sockets) close() {
	for _, listener := range []net.Listener{s.gateway, s.rpc, s.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if s.gossip != nil {
		_ = s.gossip.Close()
	}
}

// Addresses returns the addresses listened on, with the ports actually assigned.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Gateway: d.sockets.gateway.Addr().String(),
		RPC:     d.sockets.rpc.Addr().String(),
		Gossip:  d.sockets.gossip.LocalAddr().String(),
		Admin:   d.sockets.admin.Addr().String(),
	}
}

// SettingsRevision returns the number of the settings revision in effect on this daemon.
func (d *Daemon) SettingsRevision() uint64 { return d.settings.Number() }

// GossipTraffic returns the bytes of membership packets sent and received so far.
func (d *Daemon) GossipTraffic() (sent, received uint64) { return d.members.Traffic() }

// PlacerEpoch returns the epoch in which this daemon is the placer; zero if it is not.
func (d *Daemon) PlacerEpoch() uint64 { return d.placer.Epoch() }

// ID returns the configured id, or the rpc address if none is configured.
func (d *Daemon) ID() string { return d.config.ID }

// assemble creates the services and adds them to the supervisor.
func (d *Daemon) assemble() {
	store := kv.NewClient(d.config.Platform.KeyValue)
	d.registry = settings.NewRegistry(store, time.Now)
	d.members = membership.NewService(d.membershipConfig(), d.self(), d.config.Peers, d.gossipKeys(), d.sockets.gossip, d.log)
	d.home = home.NewServer(d.config.ID, d.settings, d.members.View, d.log)
	d.homes = home.NewClient(d.config.ID, d.config.Zone, d.members.View, d.home, d.log)
	d.members.Subscribe(d.home.MembersChanged)
	d.members.Subscribe(d.homes.MembersChanged)
	d.settings.Subscribe(func(*settings.Revision) { d.home.SettingsChanged() })
	d.pool = transport.NewPool()
	d.placer = placer.New(placer.Dependencies{
		Region: d.config.Region, SelfID: d.config.ID, View: d.members.View, Settings: d.settings,
		Register: group.NewRegister(d.members.View, d.pool, d.config.Region, fmt.Sprintf("%s/%d", d.config.ID, d.members.View().Self().Process)),
		Machines: machinelist.NewClient(d.config.Platform.MachineList), Engines: d.engines, Log: d.log,
	})
	d.claims = group.NewMember(d.members.View().Self().Process)
	manager := group.NewManager(d.config.ID, store, d.members.View, d.claims, d.pool, d.log)
	d.gateway = gateway.New(gateway.Dependencies{
		Settings: d.settings, Engines: d.engines, Ledger: group.NewLedger(d.members.View, d.pool), Log: d.log,
		Registerer: d.metrics, MaxConnections: d.config.MaxConnections,
	}, d.homes, d.sockets.gateway)
	distributor := newSettingsDistributor(d.settings, d.registry, d.members, d.log)
	d.registerMetrics()
	server := transport.NewServer(d.sockets.rpc)
	d.registerServices(server, distributor, group.NewService(d.claims, manager))
	d.supervisor = suture.New("finchspoke", suture.Spec{EventHook: d.logEvent})
	for _, service := range []suture.Service{
		d.members, server, distributor, d.home, home.NewDemandReporter(d.home, d.config.Region), d.placer, manager, d.gateway, d.engines,
		&adminServer{daemon: d, listener: d.sockets.admin},
	} {
		d.supervisor.Add(service)
	}
}

func (d *Daemon) registerServices(server *transport.Server, distributor *settingsDistributor, claims *group.Service) {
	mux := server.Mux()
	for _, err := range []error{
		rpc.DRPCRegisterHome(mux, d.home), rpc.DRPCRegisterPlacer(mux, d.placer),
		rpc.DRPCRegisterMembership(mux, d.members), rpc.DRPCRegisterSettings(mux, distributor),
		rpc.DRPCRegisterGroups(mux, claims), rpc.DRPCRegisterExplain(mux, d.placer),
	} {
		if err != nil {
			panic(err) // only if this function registers a service twice
		}
	}
}

func (d *Daemon) membershipConfig() membership.Config {
	timing := membership.DefaultConfig()
	timing.ProbeInterval = d.config.ProbeInterval
	timing.ProbeTimeout = d.config.ProbeInterval / probeTimeoutDivisor
	timing.SuspicionTimeout = suspicionIntervals * d.config.ProbeInterval
	return timing
}

func (d *Daemon) self() membership.Member {
	addresses := d.Addresses()
	return membership.Member{
		ID: d.config.ID, RPCAddress: addresses.RPC, GossipAddress: addresses.Gossip, Region: d.config.Region, Zone: d.config.Zone,
	}
}

func (d *Daemon) gossipKeys() [][]byte {
	keys := make([][]byte, 0, len(d.config.GossipKeys))
	for _, key := range d.config.GossipKeys {
		keys = append(keys, []byte(key))
	}
	return keys
}

func (d *Daemon) logEvent(event suture.Event) {
	d.log.WithField("event", event.String()).Warn("supervisor event")
}

func (d *Daemon) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		d.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("finchspoke_settings_revision", "Settings revision in effect.", func() float64 { return float64(d.settings.Number()) })
	gauge("finchspoke_members_running", "Members known to be running.", func() float64 {
		return float64(len(d.members.View().RunningIn("")))
	})
	gauge("finchspoke_placer_epoch", "Epoch in which this daemon is the placer; 0 if it is not.", func() float64 { return float64(d.placer.Epoch()) })
	gauge("finchspoke_gossip_sent_bytes", "Bytes of membership packets sent.", func() float64 {
		sent, _ := d.members.Traffic()
		return float64(sent)
	})
	gauge("finchspoke_gossip_received_bytes", "Bytes of membership packets received.", func() float64 {
		_, received := d.members.Traffic()
		return float64(received)
	})
}

// notReady returns why the daemon should get no requests, or "" if it is ready.
func (d *Daemon) notReady() string {
	switch {
	case d.draining.Load():
		return "draining"
	case d.settings.Current() == nil:
		return "no settings yet"
	}
	return ""
}

// BeginDrain starts a planned stop; Run returns when the stop is complete.
func (d *Daemon) BeginDrain() {
	d.draining.Store(true)
	d.drainOnce.Do(func() { close(d.drain) })
}

// Run serves until ctx ends, which stops the daemon at once, or until a planned stop
// is complete, which lets running requests end within the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	ended := d.supervisor.ServeBackground(serving)
	addresses := d.Addresses()
	d.log.WithFields(logrus.Fields{"gateway": addresses.Gateway, "rpc": addresses.RPC, "gossip": addresses.Gossip,
		"admin": addresses.Admin, "region": d.config.Region}).Info("daemon started")
	var err error
	select {
	case <-ctx.Done():
	case <-d.drain:
		err = d.leave(ctx)
	}
	stop()
	<-ended
	d.homes.Close()
	d.engines.Close()
	d.pool.Close()
	d.sockets.close()
	d.log.Info("daemon stopped")
	return err
}

// handOverClaims waits, up to handoverTimeout, until other daemons of the region have
// replaced this one in the claim groups (package group). Otherwise a rolling restart
// could remove two members of one group.
func (d *Daemon) handOverClaims(ctx context.Context) {
	deadline := time.Now().Add(handoverTimeout)
	for d.claims.Serving() && time.Now().Before(deadline) && ctx.Err() == nil && len(d.members.View().RunningIn(d.config.Region)) > 0 {
		sleep.For(ctx, handoverPollInterval)
	}
}

// leave announces the stop to the members, so that queues move to other homes, and waits
// for the gateway's requests to end.
func (d *Daemon) leave(ctx context.Context) error {
	d.log.Info("planned stop: leaving the cluster")
	d.members.Leave()
	sleep.For(ctx, leavePropagationDelay)
	d.handOverClaims(ctx)
	ctx, cancel := context.WithTimeout(ctx, d.config.DrainTimeout)
	defer cancel()
	if err := d.gateway.Drain(ctx); err != nil {
		return errors.Wrap(err, "planned stop")
	}
	return nil
}
