// Package node assembles the daemon that routes requests to the replicas of a registry according to an
// imported routing table. One daemon at a time is the leader, which decides what replicas load. Adapters
// connect the daemon to the platform's interfaces.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/finchspoke/finchspoke/access"
	"github.com/finchspoke/finchspoke/balancer"
	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/frontend"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/limiter"
	"github.com/finchspoke/finchspoke/loader"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/records"
	"github.com/finchspoke/finchspoke/relay"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
	"github.com/finchspoke/finchspoke/upstream"
)

// Config holds the settings of a node. Addresses are host:port.
type Config struct {
	ID             string
	Zone           string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string // advertised to other daemons
	MetricsAddress string // empty: metrics are not served
	// Seeds are the peer addresses of some daemons; they may be out of date.
	Seeds []string
	// FirstStart states that the system starts for the first time, so no earlier leader can exist.
	FirstStart bool
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
	// TermKey is the key of the record that names the leader; LeaseTTL is the duration of its lease.
	TermKey  string
	LeaseTTL time.Duration
	// BaseCampaignDelay is how long this daemon waits before it campaigns for the term.
	BaseCampaignDelay time.Duration
	// MemoryLimitBytes is the memory available to the process; zero: unknown.
	MemoryLimitBytes int64
	Retries          core.RetryPolicy
	LoadLimits       loader.Limits
	// ConfigurationAge bounds the time since the configuration was last known to be current.
	ConfigurationAge access.AgeLimit
	// QuotaBounds bounds how far the limits of tenants may be exceeded.
	QuotaBounds quota.Bounds
	// CompetingTenants states that tenants compete for limited capacity, so that it is shared among them.
	CompetingTenants bool
	RecordsPrefix    string // key prefix of the records that are mirrored
	// SettledKey is the key of the record of the electorate (election.MarkSettled).
	SettledKey string
	// FleetSizeKey is the key of the record that states whether the fleet is larger than FullMirrorLimit.
	FleetSizeKey string
	// FullMirrorLimit is the size of the fleet up to which every daemon knows all replicas; zero: the
	// constant FullMirrorLimit.
	FullMirrorLimit int
	// DialReplica opens connections to replicas; nil: upstream.Dial.
	DialReplica upstream.DialFunc
	// DialPeer opens connections to other daemons; nil: over TCP.
	DialPeer transport.DialFunc
	// CrashPrefix is the key prefix of the records of replicas that ended while they served requests.
	CrashPrefix string
	// VersionsKey is the key of the record of services with several software versions.
	VersionsKey string
}

// EnableMetrics serves metrics on a port of the peer address's IP, unless MetricsAddress is set already;
// port 0 changes nothing.
func (c *Config) EnableMetrics(port int) {
	if c.MetricsAddress != "" || port == 0 {
		return
	}
	if ip, _, err := net.SplitHostPort(c.PeerAddress); err == nil {
		c.MetricsAddress = net.JoinHostPort(ip, strconv.Itoa(port))
	}
}

// Adapters implement the platform's interfaces.
type Adapters struct {
	Store kv.LongPollStore
	// ReplicaPrefix is the key prefix of the registry's records; DecodeReplica decodes one.
	ReplicaPrefix string
	DecodeReplica func(kv.Pair) (fleet.Entry, error)
	// TableKey is the key of the routing table's record; DecodeTable decodes it.
	TableKey    string
	DecodeTable func(kv.Pair) (routing.Revision, error)
	// ReplicaClient returns the clients of the protocol that replicas speak.
	ReplicaClient func(*upstream.Pool, ReplicaCallbacks) ReplicaProtocol
	// NewCallerHandler returns the handler of callers' requests.
	NewCallerHandler func(*routing.Store, *access.Gate, *core.Core) http.Handler
	ReadyPath        string // of the readiness check
}

// ReplicaProtocol holds the clients of the protocol that replicas speak: Driver sends requests, Orders sends
// load orders, and Prober checks whether a replica's process runs.
type ReplicaProtocol struct {
	Driver core.Driver
	Orders loader.ReplicaClient
	Prober quarantine.Prober
}

// Node is a daemon. New assembles it, and Run serves until it is stopped.
type Node struct {
	config         Config
	log            logrus.FieldLogger
	metrics        *prometheus.Registry
	routes         *routing.Store
	fleet          *fleet.Directory
	core           *core.Core
	mirror         *records.Mirror
	registryLog    *registryLog
	gate           *access.Gate
	limitServer    *limiter.Server
	limitClient    *limiter.Client
	balanceServer  *balancer.Server
	balanceClient  *balancer.Client
	quarantine     *quarantine.Guard
	election       *election.Election
	leader         *loader.Leader
	follower       *loader.Follower
	replicas       *replicaDiscovery
	peers          *transport.Server
	relay          *relay.Server
	origins        *origin.Client
	versionRecord  *origin.VersionRecord // nil if there is none
	ended          chan struct{}         // closed by Kill
	frontend       *frontend.Server
	pool           *upstream.Pool
	listeners      listeners
	hints          *hintCounters
	supervisor     *suture.Supervisor
	seeds          atomic.Pointer[[]string]
	tableAppliedAt atomic.Pointer[time.Time] // when the current routing table was applied; nil: none
}

type listeners struct {
	callers, ready, peers, metrics net.Listener
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func openListeners(config Config) (opened listeners, err error) {
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	for _, spec := range []struct {
		name, address string
		target        *net.Listener
	}{
		{"callers", config.CallerAddress, &opened.callers}, {"readiness", config.ReadyAddress, &opened.ready},
		{"daemons", config.PeerAddress, &opened.peers}, {"metrics", config.MetricsAddress, &opened.metrics},
	} {
		if spec.address == "" && spec.name == "metrics" {
			continue
		}
		if *spec.target, err = net.Listen("tcp", spec.address); err != nil {
			return opened, failure.Wrap(err, failure.InvalidConfig, "give a free address of this machine", "cannot listen on %q for %s", spec.address, spec.name)
		}
	}
	return opened, nil
}

// New opens a node's listeners and assembles its services; Run starts them.
func New(config Config, adapters Adapters, log logrus.FieldLogger) (*Node, error) {
	opened, err := openListeners(config)
	if err != nil {
		return nil, err
	}
	config.PeerAddress = opened.peers.Addr().String()
	node := &Node{
		config: config, log: log.WithField(logging.Daemon, config.ID), metrics: prometheus.NewRegistry(),
		routes: &routing.Store{}, fleet: fleet.NewDirectory(config.Zone, rand.Float64), listeners: opened,
		ended: make(chan struct{}),
	}
	node.seeds.Store(&config.Seeds)
	node.assemble(adapters)
	return node, nil
}

func (n *Node) assemble(adapters Adapters) {
	adapters.Store = n.meterStore(adapters.Store)
	n.pool = n.newReplicaPool()
	n.assembleRelay()
	n.fleet.SetConnected(n.pool.HasIdle)
	n.hints = newHintCounters(n.metrics)
	replicas := adapters.ReplicaClient(n.pool, ReplicaCallbacks{OnHint: n.handleHint, Admit: func(replica string, permit fleet.Permit) error { return n.fleet.Admit(replica, permit, time.Now()) }})
	tracker := demand.NewTracker()
	requestCore := &core.Core{
		Fleet: n.fleet, Demand: tracker, Driver: replicas.Driver, Retries: n.config.Retries,
		Metrics: core.NewMetrics(n.metrics), Log: n.log, Memory: n.newMemoryBudget(),
	}
	requestCore.Prepare()
	n.core = requestCore
	n.mirror = records.NewMirror(adapters.Store, n.config.RecordsPrefix, n.log)
	n.mirror.SetClock(boottime.Now)
	n.gate = &access.Gate{Table: n.routes, VerifiedAt: n.mirror.VerifiedAt, AgeLimit: n.config.ConfigurationAge, Now: boottime.Now}
	requestCore.Gate = n.gate
	if n.config.ConfigurationAge.Strict {
		n.mirror.VerifyWithin(adapters.TableKey, time.Duration(storeVerificationShare*float64(n.config.ConfigurationAge.MaxAge)))
	}
	n.registryLog = &registryLog{log: n.log, isLeading: n.mirror.Leading, now: time.Now}
	n.election = election.New(election.Config{
		Key: n.config.TermKey, Daemon: n.config.ID, Address: n.config.PeerAddress, TTL: n.config.LeaseTTL, FirstStart: n.config.FirstStart,
		RenewInterval: n.config.LoadLimits.RenewInterval(), OrderValidity: n.config.LoadLimits.OrderValidity(), SettledKey: n.config.SettledKey,
		HasLeaderHistory: func() bool { return n.leader.HasLeaderHistory() }, Followed: func() bool { return n.leader.Followed() }, CampaignDelay: n.campaignDelay,
		Now: boottime.Now, OnWritten: n.mirror.PollNow, // the mirror forwards the record to the other daemons
	}, adapters.Store, n.log)
	n.leader = &loader.Leader{
		Daemon: n.config.ID, Fleet: n.fleet, Table: n.routes, ReplicaClient: replicas.Orders, Election: n.election,
		Limits: n.config.LoadLimits, Metrics: loader.NewMetrics(n.metrics), Log: n.log, FirstStart: n.config.FirstStart,
		BaseCampaignDelay: n.config.BaseCampaignDelay, Address: n.config.PeerAddress, TooManyReplicas: n.mirror.TooManyReplicas, KnowsAllReplicas: func() bool { return n.replicas.knowsAll() },
		ExpectedDaemons: requestCore.DaemonCount,
	}
	n.leader.Prepare()
	n.replicas = newReplicaDiscovery(n)
	n.follower = &loader.Follower{Daemon: n.config.ID, Demand: tracker, Fleet: n.fleet, Leader: n.leader, Log: n.log, DaemonCount: n.setDaemonCount,
		BaseCampaignDelay: n.config.BaseCampaignDelay, KnowsAllReplicas: n.replicas.knowsAll, SetDirectories: n.replicas.setDirectories, Address: n.config.PeerAddress, Zone: n.config.Zone}
	n.follower.Prepare()
	n.assembleOrigins(requestCore, adapters)
	requestCore.LeaderAttached = n.follower.Attached
	n.election.Subscribe(func(leader election.Leader) {
		n.follower.LeaderChanged(leader)
		if leader.Daemon != n.config.ID {
			n.leader.ObserveOtherLeader()
		}
		n.mirror.SetLeading(leader.Daemon == n.config.ID)
		n.leader.Wake()
	})
	n.quarantine = &quarantine.Guard{
		Prefix: n.config.CrashPrefix, Store: adapters.Store, Prober: replicas.Prober, IsDraining: n.isDraining, BackoffUntil: n.fleet.BackoffUntil, Leading: n.mirror.Leading,
		DaemonCount: requestCore.DaemonCount, Now: time.Now, Metrics: quarantine.NewMetrics(n.metrics), Log: n.log,
	}
	n.quarantine.Prepare()
	requestCore.Quarantine = n.quarantine
	n.followRecords(adapters)
	countReservation := newReservationCounter(n.metrics)
	n.limitClient = &limiter.Client{Bounds: n.config.QuotaBounds, Leader: n.election.LeaderAddress, HasLimits: n.hasLimits, Now: boottime.Now,
		DaemonCount: requestCore.DaemonCount, CountPermit: newPermitCounter(n.metrics), CountReservation: countReservation,
		Address: n.config.PeerAddress, Zone: n.config.Zone, Log: n.log}
	n.limitClient.Prepare()
	requestCore.Limits, requestCore.Permits, requestCore.CompetingTenants = n.limitClient, n.limitClient, n.config.CompetingTenants
	n.assembleBalancer(requestCore)
	n.quarantine.RequestLimiter = &probeLimiter{fleet: n.fleet, limitClient: n.limitClient}
	n.limitServer = &limiter.Server{Bounds: n.config.QuotaBounds, Table: n.routes, Term: n.election.Term, IsFirstTerm: n.leader.FirstTerm, Now: boottime.Now,
		ValidFor: n.election.ValidFor, PreviousLeaderActive: n.election.PreviousLeaderActive,
		AttachedShare: n.leader.AttachedShare, LimitOf: n.fleet.LimitOf, CountReservation: countReservation,
		Address: n.config.PeerAddress, Zone: n.config.Zone, Spend: n.limitClient.SpendCredit, Log: n.log}
	n.leader.RequestLimiter = n.limitServer
	subscriber := &records.Subscriber{Daemon: n.config.ID, Mirror: n.mirror, Source: n.recordSource, Standby: n.standbySource, Seeds: n.replicas.recordPeers, Log: n.log}
	n.registerGauges()
	n.frontend = frontend.New(n.listeners.callers, adapters.NewCallerHandler(n.routes, n.gate, requestCore), frontend.Options{
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Memory: requestCore.Memory, IdleTimeout: n.idleTimeout, ShutdownDelay: shutdownDelay, Log: n.log,
	})
	server := transport.NewServer(n.listeners.peers)
	n.peers = server
	n.registerRPC(server)
	n.supervisor = suture.New("finchspoke", suture.Spec{EventHook: func(event suture.Event) {
		n.log.WithField(logging.Cause, event.String()).Warn("supervisor event")
	}})
	for _, service := range []suture.Service{
		n.mirror, n.election, n.leader, n.follower, n.limitClient, n.balanceClient, n.quarantine, server, n.frontend, subscriber, n.replicas.client, n.origins, &connectionSweeper{node: n},
		&readiness{node: n, path: adapters.ReadyPath, listener: n.listeners.ready},
	} {
		n.supervisor.Add(service)
	}
	if n.versionRecord != nil {
		n.supervisor.Add(n.versionRecord)
	}
	if n.listeners.metrics != nil {
		n.supervisor.Add(&metricsServer{registry: n.metrics, listener: n.listeners.metrics})
	}
}

// storeVerificationShare is the age of the last verification at which a daemon queries the key-value service
// itself, as a share of the maximum age. It exceeds the lag of verifications that the leader relays, which is up to
// three of its polls of the service, so that
// daemons normally need no query of their own.
const storeVerificationShare = 0.7

func (n *Node) registerRPC(server *transport.Server) {
	for _, err := range []error{
		rpc.DRPCRegisterLoads(server.Mux(), n.leader), rpc.DRPCRegisterRecords(server.Mux(), &records.Feed{Mirror: n.mirror}),
		rpc.DRPCRegisterQuotas(server.Mux(), n.limitServer), rpc.DRPCRegisterDiscovery(server.Mux(), n.replicas.server),
		rpc.DRPCRegisterBalance(server.Mux(), n.balanceServer), rpc.DRPCRegisterRelay(server.Mux(), n.relay),
		rpc.DRPCRegisterOrigins(server.Mux(), &origin.Server{Client: n.origins}),
	} {
		if err != nil {
			panic(err) // a service was registered twice, which is a programming error
		}
	}
}

// Reload applies changed seeds. Other settings need a restart.
func (n *Node) Reload(changed Config) {
	n.seeds.Store(&changed.Seeds)
	n.log.WithField(logging.Outcome, "seeds taken").Info("settings reloaded")
}

// isDraining reports whether a replica may stop as planned: it is draining, or no longer in the registry.
func (n *Node) isDraining(replica string) bool {
	entry, listed := n.fleet.Entry(replica)
	return !listed || entry.Draining
}

// idleTimeout returns the routing table's idle timeout for callers' connections; zero without a table.
func (n *Node) idleTimeout() time.Duration {
	if table := n.routes.Current(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

// setDaemonCount receives the number of daemons that are attached to the leader.
func (n *Node) setDaemonCount(daemons int) {
	n.core.SetDaemonCount(daemons)
	n.fleet.SetDaemonCount(daemons)
}

// hasLimits reports whether any tenant or replica has a limit or is brittle, so that the leader must admit some requests.
func (n *Node) hasLimits() bool {
	return n.hasTenantLimits() || n.fleet.RateLimitedCount() > 0 || n.fleet.BrittleServices() > 0
}

func (n *Node) hasTenantLimits() bool {
	table := n.routes.Current()
	return table != nil && slices.ContainsFunc(table.Tenants(), func(tenant *routing.Tenant) bool { return !tenant.Limit.Unlimited() })
}

// ready reports whether the node should receive requests.
func (n *Node) ready() bool {
	return !n.frontend.Stopping() && n.gate.Ready() && n.replicas.ready()
}

const (
	// maxHeaderBytes bounds the request headers that are read; the handler applies the routing table's
	// own limit.
	maxHeaderBytes    = 1 << 20
	readHeaderTimeout = 10 * time.Second
	// shutdownDelay is how long a stopping daemon still accepts new connections, until load balancers
	// notice that it is not ready.
	shutdownDelay = 3 * time.Second
	// stopMargin is the part of StopTimeout that is left for closing the services.
	stopMargin = 600 * time.Millisecond
	// finalResponseTime is left to send final responses to calls that did not finish in time.
	finalResponseTime = 200 * time.Millisecond
	// resignTimeout bounds the write that ends this daemon's term.
	resignTimeout = 500 * time.Millisecond
)

// Run serves until ctx ends, and then stops gracefully: the readiness check fails, and requests that are
// running or still arrive are served until the stop's time limits. It returns after the stop.
func (n *Node) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	if n.config.DialPeer != nil {
		serveCtx = transport.WithDialer(serveCtx, n.config.DialPeer)
	}
	ended := n.supervisor.ServeBackground(serveCtx)
	n.log.WithFields(logrus.Fields{logging.Address: n.listeners.callers.Addr().String(), logging.Zone: n.config.Zone}).Info("daemon started")
	var err error
	select {
	case <-ctx.Done():
		err = n.shutdown()
	case <-n.ended:
	case err = <-ended:
		return errors.Wrap(err, "supervisor stopped unexpectedly")
	}
	stop()
	<-ended
	n.pool.Close()
	n.listeners.close()
	n.log.Info("daemon stopped")
	return err
}

// Kill makes Run return without a planned stop, as if the process was killed: the term is not handed over, and
// no request is finished. It is for simulations and must be called at most once.
func (n *Node) Kill() { close(n.ended) }

// Status is a snapshot of a node's state.
type Status struct {
	Ready            bool
	ConfigVersion    int64
	Replicas         int   // known to this node
	KnowsAllReplicas bool  // whether Replicas counts all of them
	Fence            int64 // of this node's term; zero if it is not the leader
	Attached         int   // daemons attached to the leader, as last reported by it
	PeerTraffic      transport.Traffic
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	fence, _ := n.election.Term()
	return Status{
		Ready: n.ready(), ConfigVersion: n.routes.Version(), Replicas: n.fleet.Len(), KnowsAllReplicas: n.replicas.knowsAll(), Fence: fence,
		Attached: n.core.DaemonCount(), PeerTraffic: n.peers.Traffic(),
	}
}

// Query chooses a replica for a model as for a request, but sends nothing. It is for simulations.
func (n *Node) Query(service, model string) {
	if pick, _ := n.fleet.Choose(fleet.Query{Service: service, Target: fleet.Target{Model: model}}, time.Now()); pick != nil {
		pick.Cancel()
	}
}

// shutdown carries out a planned stop: it gives up the term and drains callers' connections.
func (n *Node) shutdown() error {
	n.log.Info("planned stop started")
	ctx, cancel := context.WithTimeout(context.Background(), n.config.StopTimeout-stopMargin)
	now := time.Now()
	n.core.Stop(core.StopDeadlines{AcceptUntil: now.Add(shutdownDelay), EndBy: now.Add(n.config.StopTimeout - stopMargin - finalResponseTime)})
	defer cancel()
	resignCtx, cancelResign := context.WithTimeout(ctx, resignTimeout)
	defer cancelResign()
	go n.election.Resign(resignCtx, n.leader.Handover)
	if err := n.frontend.Drain(ctx); err != nil {
		n.log.WithField(logging.Cause, err.Error()).Warn("planned stop timed out with requests still running")
	}
	if err := n.relay.Drain(ctx); err != nil {
		n.log.WithField(logging.Cause, err.Error()).Warn("planned stop timed out with relayed connections still open")
	}
	return nil
}
