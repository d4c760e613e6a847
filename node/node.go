// Package node assembles the daemon that routes requests by an imported table to
// replicas which a registry lists, and that takes its turn in deciding what is
// loaded on them. What the platform's interfaces look like is given by Adapters.
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
	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/records"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
	"github.com/finchspoke/finchspoke/upstream"
)

// Config is what a node is started with. Addresses are host:port.
type Config struct {
	ID             string
	Zone           string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string // for daemons; advertised to them
	MetricsAddress string // empty: none
	// Seeds are peer addresses of some daemons, which may be out of date.
	Seeds []string
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// TermKey is the record of who holds the load orders; LeaseTTL is its lease.
	TermKey  string
	LeaseTTL time.Duration
	// TermDelay is how much later than others this daemon campaigns for the term.
	TermDelay time.Duration
	// MemoryBytes is how much memory the process may have; zero: no bound is known.
	MemoryLimitBytes int64
	Retries          core.RetryPolicy
	LoadLimits       loader.Limits
	// Configurations bounds how old the configuration may be that requests are judged by.
	ConfigurationAge access.AgeLimit
	// Quotas bounds how closely tenants' limits are kept.
	QuotaBounds   quota.Bounds
	RecordsPrefix string // prefix of the records that are followed
	// FleetSizeKey is the record that says whether there are more replicas than every daemon knows.
	FleetSizeKey string
	// KnownByAll is up to how many replicas every daemon knows them all; zero: KnownByAll of this
	// package.
	KnownByAll int
	// CrashPrefix is that of the records of replicas that ended while they had requests.
	CrashPrefix string
}

// EnableMetrics gives metrics a port on the peer address's IP, unless the settings name an
// address of their own; port 0 changes nothing.
func (c *Config) EnableMetrics(port int) {
	if c.MetricsAddress != "" || port == 0 {
		return
	}
	if ip, _, err := net.SplitHostPort(c.PeerAddress); err == nil {
		c.MetricsAddress = net.JoinHostPort(ip, strconv.Itoa(port))
	}
}

// Adapters are the platform's interfaces.
type Adapters struct {
	Store kv.LongPollStore
	// ReplicaPrefix is the prefix of the registry's records; ReadReplica reads one.
	ReplicaPrefix string
	ReadReplica   func(kv.Pair) (fleet.Entry, error)
	// TableKey is the record of the routing table; ReadTable reads it.
	TableKey  string
	ReadTable func(kv.Pair) (routing.Revision, error)
	// Replicas makes the protocol of the replicas.
	Replicas func(*upstream.Pool, ReplicaCallbacks) ReplicaProtocol
	// Callers serves the caller interface; ReadyPath is where readiness is asked.
	NewCallerHandler func(*routing.Store, *access.Gate, *core.Core) http.Handler
	ReadyPath        string
}

// ReplicaProtocol is the protocol that replicas speak: Driver for requests, Orders for what they are to
// load, and Prober asks whether they run.
type ReplicaProtocol struct {
	Driver core.Driver
	Orders loader.Replicas
	Prober quarantine.Prober
}

// Node is one daemon.
type Node struct {
	config  Config
	log     logrus.FieldLogger
	metrics *prometheus.Registry
	routes  *routing.Store
	fleet   *fleet.Directory
	core    *core.Core
	mirror  *records.Mirror
	// registryLog writes what the registry says of replicas.
	registryLog *registryLog
	gate        *access.Gate
	limits      *limiter.Server
	quotas      *limiter.Client
	quarantine  *quarantine.Guard
	election    *election.Election
	holder      *loader.Leader
	follower    *loader.Follower
	replicas    *replicaKnowledge
	peers       *transport.Server
	ended       chan struct{} // closed by End
	frontend    *frontend.Server
	pool        *upstream.Pool
	listeners   listeners
	notices     *noticeCounts
	supervisor  *suture.Supervisor
	seeds       atomic.Pointer[[]string]
	tableAt     atomic.Pointer[time.Time] // when the table in force was taken; nil: none
}

type listeners struct {
	callers, ready, peers, metrics net.Listener
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.ready, l.peers, l.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func listen(config Config) (opened listeners, err error) {
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	for _, one := range []struct {
		name, address string
		into          *net.Listener
	}{
		{"callers", config.CallerAddress, &opened.callers}, {"readiness", config.ReadyAddress, &opened.ready},
		{"daemons", config.PeerAddress, &opened.peers}, {"metrics", config.MetricsAddress, &opened.metrics},
	} {
		if one.address == "" && one.name == "metrics" {
			continue
		}
		if *one.into, err = net.Listen("tcp", one.address); err != nil {
			return opened, failure.Wrap(err, failure.InvalidConfig, "give a free address of this machine", "cannot listen on %q for %s", one.address, one.name)
		}
	}
	return opened, nil
}

// New opens a node's sockets and assembles it; Run starts it.
func New(config Config, adapters Adapters, log logrus.FieldLogger) (*Node, error) {
	opened, err := listen(config)
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
	adapters.Store = n.meter(adapters.Store)
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_replica_connections_opened_total", Help: "Connections opened to replicas.",
	})
	n.metrics.MustRegister(opened)
	n.pool = upstream.NewPool(opened.Inc)
	n.fleet.SetConnected(n.pool.HasIdle)
	n.notices = newNoticeCounts(n.metrics)
	replicas := adapters.Replicas(n.pool, ReplicaCallbacks{OnHint: n.hear, Admit: func(replica string, held fleet.Permit) error { return n.fleet.Admit(replica, held, time.Now()) }})
	tracker := demand.NewTracker()
	requests := &core.Core{
		Fleet: n.fleet, Demand: tracker, Driver: replicas.Driver, Retries: n.config.Retries,
		Metrics: core.NewMetrics(n.metrics), Log: n.log,
	}
	requests.Prepare()
	n.core = requests
	n.mirror = records.NewMirror(adapters.Store, n.config.RecordsPrefix, n.log)
	n.mirror.SetClock(boottime.Now)
	n.gate = &access.Gate{Table: n.routes, VerifiedAt: n.mirror.VerifiedAt, AgeLimit: n.config.ConfigurationAge, Now: boottime.Now}
	requests.Gate = n.gate
	if n.config.ConfigurationAge.Strict {
		n.mirror.VerifyWithin(adapters.TableKey, time.Duration(proofShare*float64(n.config.ConfigurationAge.MaxAge)))
	}
	n.registryLog = &registryLog{log: n.log, leading: n.mirror.Leading, now: time.Now}
	n.election = election.New(election.Config{
		Key: n.config.TermKey, Daemon: n.config.ID, Address: n.config.PeerAddress, TTL: n.config.LeaseTTL,
		HasLeaderHistory: func() bool { return n.holder.HasLeaderHistory() }, CampaignDelay: n.termDelay,
		Now: boottime.Now, OnWritten: n.mirror.PollNow, // other daemons hear of it from this one
	}, adapters.Store, n.log)
	n.holder = &loader.Leader{
		Daemon: n.config.ID, Fleet: n.fleet, Table: n.routes, Replicas: replicas.Orders, Election: n.election,
		Limits: n.config.LoadLimits, Metrics: loader.NewMetrics(n.metrics), Log: n.log, FirstStart: n.config.FirstStart,
		TermDelay: n.config.TermDelay, Address: n.config.PeerAddress, TooManyReplicas: n.mirror.TooManyReplicas, KnowsReplicas: func() bool { return n.replicas.all() },
		ExpectedDaemons: requests.Daemons,
	}
	n.holder.Prepare()
	n.replicas = newReplicaKnowledge(n)
	n.follower = &loader.Follower{Daemon: n.config.ID, Demand: tracker, Fleet: n.fleet, Leader: n.holder, Log: n.log, Daemons: requests.SetDaemons,
		TermDelay: n.config.TermDelay, KnowsReplicas: n.replicas.all, SetDirectories: n.replicas.setDirectories, Address: n.config.PeerAddress, Zone: n.config.Zone}
	n.follower.Prepare()
	requests.LeaderAttached = n.follower.Attached
	n.election.AddListener(func(holder election.Leader) {
		n.follower.LeaderChanged(holder)
		if holder.Daemon != n.config.ID {
			n.holder.ObserveOtherLeader()
		}
		n.mirror.SetLeading(holder.Daemon == n.config.ID)
		n.holder.Wake()
	})
	n.quarantine = &quarantine.Guard{
		Prefix: n.config.CrashPrefix, Store: adapters.Store, Prober: replicas.Prober, IsDraining: n.leaves, RestsUntil: n.fleet.RestsUntil, Leading: n.mirror.Leading,
		Now: time.Now, Metrics: quarantine.NewMetrics(n.metrics), Log: n.log,
	}
	n.quarantine.Prepare()
	requests.Quarantine = n.quarantine
	n.follow(adapters)
	n.quotas = &limiter.Client{Bounds: n.config.QuotaBounds, Leader: n.election.LeaderAddress, HasLimits: n.needsQuotas, Now: boottime.Now,
		Daemons: requests.Daemons, CountPermit: newPermitCounts(n.metrics), Log: n.log}
	n.quotas.Prepare()
	requests.Limits, requests.Permits = n.quotas, n.quotas
	n.quarantine.Turns = &replicaTurns{fleet: n.fleet, quotas: n.quotas}
	n.limits = &limiter.Server{Bounds: n.config.QuotaBounds, Table: n.routes, Term: n.election.Term, IsFirstTerm: n.holder.FirstTerm, Now: boottime.Now,
		Reached: n.holder.Reached, LimitOf: n.fleet.LimitOf, Log: n.log}
	n.holder.Turns = n.limits
	subscriber := &records.Subscriber{Daemon: n.config.ID, Mirror: n.mirror, Source: n.recordSource, Standby: n.deputySource, Seeds: n.replicas.recordPeers, Log: n.log}
	n.registerGauges()
	n.frontend = frontend.New(n.listeners.callers, adapters.NewCallerHandler(n.routes, n.gate, requests), frontend.Options{
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: n.idleTime, ShutdownDelay: turnAway, Log: n.log,
	})
	server := transport.NewServer(n.listeners.peers)
	n.peers = server
	n.register(server)
	n.supervisor = suture.New("finchspoke", suture.Spec{EventHook: func(event suture.Event) {
		n.log.WithField(logging.Cause, event.String()).Warn("supervisor")
	}})
	for _, service := range []suture.Service{
		n.mirror, n.election, n.holder, n.follower, n.quotas, n.quarantine, server, n.frontend, subscriber, n.replicas.client, &sweeper{node: n},
		&readiness{node: n, path: adapters.ReadyPath, listener: n.listeners.ready},
	} {
		n.supervisor.Add(service)
	}
	if n.listeners.metrics != nil {
		n.supervisor.Add(&metricsServer{registry: n.metrics, listener: n.listeners.metrics})
	}
}

// proofShare is the share of the age that the configuration may have from which a daemon asks
// the key-value service itself. With what the holder of load orders passes on, proofs are up to
// 2.1 s old: three calls of 0.7 s, of which one is under way, one is the newest that was
// answered and one was under way when the question was sent.
const proofShare = 0.7

func (n *Node) register(server *transport.Server) {
	for _, err := range []error{
		rpc.DRPCRegisterLoads(server.Mux(), n.holder), rpc.DRPCRegisterRecords(server.Mux(), &records.Feed{Mirror: n.mirror}),
		rpc.DRPCRegisterQuotas(server.Mux(), n.limits), rpc.DRPCRegisterDiscovery(server.Mux(), n.replicas.server),
	} {
		if err != nil {
			panic(err) // a service registered twice: a mistake in this function
		}
	}
}

// Reload takes in settings that changed: the seeds. Others need a restart.
func (n *Node) Reload(changed Config) {
	n.seeds.Store(&changed.Seeds)
	n.log.WithField(logging.Outcome, "seeds taken").Info("settings reloaded")
}

// leaves tells whether a replica was going to end anyway: it says so, or the registry has it no
// more.
func (n *Node) leaves(replica string) bool {
	entry, listed := n.fleet.Entry(replica)
	return !listed || entry.Draining
}

// idleTime returns how long callers' connections may rest by the table; zero without one.
func (n *Node) idleTime() time.Duration {
	if table := n.routes.Current(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

// needsQuotas tells whether the holder of load orders has to be asked for some requests.
func (n *Node) needsQuotas() bool { return n.limitsTenants() || n.fleet.RateLimitedCount() > 0 }

// limitsTenants tells whether a tenant of the table has a limit.
func (n *Node) limitsTenants() bool {
	table := n.routes.Current()
	return table != nil && slices.ContainsFunc(table.Tenants(), func(one *routing.Tenant) bool { return !one.Limit.Unlimited() })
}

// ready tells whether the node should get callers.
func (n *Node) ready() bool {
	return !n.frontend.Stopping() && n.gate.Ready() && n.replicas.ready()
}

const (
	// maxHeaderBytes bounds what is read of a caller's headers; the table's own limit is
	// applied by the caller interface.
	maxHeaderBytes    = 1 << 20
	readHeaderTimeout = 10 * time.Second
	// turnAway is how long a stopping daemon goes on to take new connections, for
	// the entry to notice that it is not ready.
	turnAway = 3 * time.Second
	// stopMargin is kept from the time that a planned stop may take.
	stopMargin = 600 * time.Millisecond
	// lastAnswers is the time for the final answers of calls that still run then.
	lastAnswers = 200 * time.Millisecond
	// resignTime is how long the end of this daemon's term may take to be recorded.
	resignTime = 500 * time.Millisecond
)

// Run serves until ctx ends, which begins a planned stop: callers are sent
// elsewhere, what still comes is served, and what runs is finished.
func (n *Node) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	ended := n.supervisor.ServeBackground(serving)
	n.log.WithFields(logrus.Fields{logging.Address: n.listeners.callers.Addr().String(), logging.Zone: n.config.Zone}).Info("daemon started")
	var err error
	select {
	case <-ctx.Done():
		err = n.leave()
	case <-n.ended:
	case err = <-ended:
		return errors.Wrap(err, "the daemon's services ended")
	}
	stop()
	<-ended
	n.pool.Close()
	n.listeners.close()
	n.log.Info("daemon stopped")
	return err
}

// End makes Run end as a killed process does: nothing is handed over, and no request is finished. It
// is for laboratories, and called once.
func (n *Node) Kill() { close(n.ended) }

// Status is a node's own view of itself.
type Status struct {
	Ready            bool
	ConfigVersion    int64
	Replicas         int   // that it knows
	KnowsAllReplicas bool  // all of them
	Fence            int64 // of its term; zero without one
	Attached         int   // daemons attached to the holder, as it last told
	PeerTraffic      transport.Traffic
}

// Status returns the node's view of itself.
func (n *Node) Status() Status {
	fence, _ := n.election.Term()
	return Status{
		Ready: n.ready(), ConfigVersion: n.routes.Version(), Replicas: n.fleet.Len(), KnowsAllReplicas: n.replicas.all(), Fence: fence,
		Attached: n.core.Daemons(), PeerTraffic: n.peers.Traffic(),
	}
}

// Ask looks for a replica that serves a model as a caller's request does, and sends nothing. It is for
// laboratories.
func (n *Node) Ask(service, model string) {
	if pick, _ := n.fleet.Choose(fleet.Ask{Service: service, Target: fleet.Target{Model: model}}, time.Now()); pick != nil {
		pick.Cancel()
	}
}

// leave is a planned stop.
func (n *Node) leave() error {
	n.log.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(context.Background(), n.config.StopTimeout-stopMargin)
	now := time.Now()
	n.core.Stop(core.StopTimes{AcceptUntil: now.Add(turnAway), EndBy: now.Add(n.config.StopTimeout - stopMargin - lastAnswers)})
	defer cancel()
	resigning, done := context.WithTimeout(ctx, resignTime)
	defer done()
	go n.election.Resign(resigning, n.holder.Handover)
	if err := n.frontend.Drain(ctx); err != nil {
		n.log.WithField(logging.Cause, err.Error()).Warn("requests were still running at the end of the stop")
	}
	return nil
}
