// Package daemon assembles a finchspoke daemon: gateway, home, placer, membership
// and settings, each a service under one suture supervisor.
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

// Version of the product.
const Version = "0.1.0"

const (
	// leaveSpread is the time for the news of leaving to spread before the
	// gateway stops to listen.
	leaveSpread = 500 * time.Millisecond
	// handOverTime bounds the wait for others to take over this daemon's claims.
	handOverTime = 15 * time.Second
	handOverPoll = 50 * time.Millisecond
	// suspicionIntervals is how many probe intervals a suspect has to refute.
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

// sockets are what a daemon listens on.
type sockets struct {
	gateway net.Listener
	rpc     net.Listener
	admin   net.Listener
	gossip  net.PacketConn
}

// Addresses are those a daemon listens on, host:port.
type Addresses struct {
	Gateway string
	RPC     string
	Gossip  string
	Admin   string
}

// New opens a daemon's sockets and assembles it; Run starts it.
func New(settingsFile config.Config, log logrus.FieldLogger) (*Daemon, error) {
	if err := settingsFile.Check(); err != nil {
		return nil, err
	}
	opened, err := listen(settingsFile)
	if err != nil {
		return nil, err
	}
	if settingsFile.ID == "" {
		settingsFile.ID = opened.rpc.Addr().String()
	}
	created := &Daemon{
		config: settingsFile, log: log.WithFields(logrus.Fields{"daemon": settingsFile.ID, "zone": settingsFile.Zone}),
		metrics: prometheus.NewRegistry(), sockets: opened, settings: &settings.Store{}, engines: engine.NewClient(),
		drain: make(chan struct{}),
	}
	created.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	created.assemble()
	return created, nil
}

func listen(settingsFile config.Config) (opened sockets, err error) {
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	if opened.gateway, err = listenTCP("gateway", settingsFile.Listen.Gateway); err != nil {
		return opened, err
	}
	if opened.gateway, err = withTLS(opened.gateway, settingsFile.TLS); err != nil {
		return opened, err
	}
	if opened.rpc, err = listenTCP("rpc", settingsFile.Listen.RPC); err != nil {
		return opened, err
	}
	if opened.admin, err = listenTCP("admin", settingsFile.Listen.Admin); err != nil {
		return opened, err
	}
	opened.gossip, err = net.ListenPacket("udp", settingsFile.Listen.Gossip)
	if err != nil {
		return opened, cannotListen(err, "gossip", settingsFile.Listen.Gossip)
	}
	return opened, nil
}

func listenTCP(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, cannotListen(err, name, address)
	}
	return listener, nil
}

func cannotListen(err error, name, address string) error {
	return failure.Wrap(err, failure.InvalidConfig, "give a free address of this machine under listen."+name, "cannot listen on %s for %s", address, name)
}

func withTLS(listener net.Listener, files config.TLS) (net.Listener, error) {
	if files.CertificateFile == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return listener, failure.Wrap(err, failure.InvalidConfig, "give a certificate and its key as PEM files", "the TLS files cannot be used")
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

// Addresses returns the addresses listened on, with the ports that were taken.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Gateway: d.sockets.gateway.Addr().String(),
		RPC:     d.sockets.rpc.Addr().String(),
		Gossip:  d.sockets.gossip.LocalAddr().String(),
		Admin:   d.sockets.admin.Addr().String(),
	}
}

// SettingsRevision returns the number of the settings revision in force here.
func (d *Daemon) SettingsRevision() uint64 { return d.settings.Number() }

// GossipTraffic returns the bytes of membership packets sent and received so far.
func (d *Daemon) GossipTraffic() (sent, received uint64) { return d.members.Traffic() }

// PlacerEpoch returns the epoch in which this daemon places; zero if it does not.
func (d *Daemon) PlacerEpoch() uint64 { return d.placer.Epoch() }

// ID returns the daemon's id.
func (d *Daemon) ID() string { return d.config.ID }

// assemble makes the parts and hands them to the supervisor.
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
	spread := newSpreader(d.settings, d.registry, d.members, d.log)
	d.registerMetrics()
	server := transport.NewServer(d.sockets.rpc)
	d.register(server, spread, group.NewService(d.claims, manager))
	d.supervisor = suture.New("finchspoke", suture.Spec{EventHook: d.logEvent})
	for _, service := range []suture.Service{
		d.members, server, spread, d.home, home.NewDemandReporter(d.home, d.config.Region), d.placer, manager, d.gateway,
		&adminServer{daemon: d, listener: d.sockets.admin},
	} {
		d.supervisor.Add(service)
	}
}

func (d *Daemon) register(server *transport.Server, spread *spreader, claims *group.Service) {
	mux := server.Mux()
	for _, err := range []error{
		rpc.DRPCRegisterHome(mux, d.home), rpc.DRPCRegisterPlacer(mux, d.placer),
		rpc.DRPCRegisterMembership(mux, d.members), rpc.DRPCRegisterSettings(mux, spread),
		rpc.DRPCRegisterGroups(mux, claims), rpc.DRPCRegisterExplain(mux, d.placer),
	} {
		if err != nil {
			panic(err) // a service registered twice: a mistake in this function
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
	d.log.WithField("event", event.String()).Warn("supervisor")
}

func (d *Daemon) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		d.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("finchspoke_settings_revision", "Settings revision in force.", func() float64 { return float64(d.settings.Number()) })
	gauge("finchspoke_members_running", "Members known as running.", func() float64 {
		return float64(len(d.members.View().RunningIn("")))
	})
	gauge("finchspoke_placer_epoch", "Epoch in which this daemon places; 0 if it does not.", func() float64 { return float64(d.placer.Epoch()) })
	gauge("finchspoke_gossip_sent_bytes", "Bytes of membership packets sent.", func() float64 {
		sent, _ := d.members.Traffic()
		return float64(sent)
	})
	gauge("finchspoke_gossip_received_bytes", "Bytes of membership packets received.", func() float64 {
		_, received := d.members.Traffic()
		return float64(received)
	})
}

// notReady returns why the daemon should not get callers, or nothing.
func (d *Daemon) notReady() string {
	switch {
	case d.draining.Load():
		return "draining"
	case d.settings.Current() == nil:
		return "no settings yet"
	}
	return ""
}

// BeginDrain starts a planned stop; Run returns when it is done.
func (d *Daemon) BeginDrain() {
	d.draining.Store(true)
	d.drainOnce.Do(func() { close(d.drain) })
}

// Run serves until ctx ends (at once) or a planned stop is done (no request cut).
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

// handClaimsOver waits until other daemons have taken this one's place in the
// run-once groups, if there are others and they do so soon: a rolling restart must
// not take two members from one group.
func (d *Daemon) handClaimsOver(ctx context.Context) {
	until := time.Now().Add(handOverTime)
	for d.claims.Serving() && time.Now().Before(until) && ctx.Err() == nil && len(d.members.View().RunningIn(d.config.Region)) > 0 {
		sleep.For(ctx, handOverPoll)
	}
}

// leave tells the members, so that queues move to other homes, and waits for the
// requests of this gateway.
func (d *Daemon) leave(ctx context.Context) error {
	d.log.Info("planned stop: leaving")
	d.members.Leave()
	sleep.For(ctx, leaveSpread)
	d.handClaimsOver(ctx)
	ctx, cancel := context.WithTimeout(ctx, d.config.DrainTimeout)
	defer cancel()
	if err := d.gateway.Drain(ctx); err != nil {
		return errors.Wrap(err, "planned stop")
	}
	return nil
}
