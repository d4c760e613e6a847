package loader

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
)

// grantingStore grants every lease and every term.
type grantingStore struct{ kv.LeaseStore }

func (grantingStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	return kv.LeaseID{Number: 1}, nil
}

func (grantingStore) Commit(context.Context, kv.Txn) (kv.TxnResult, error) {
	return kv.TxnResult{Succeeded: true, Revision: 7}, nil
}

func (grantingStore) RenewLease(context.Context, kv.LeaseID) error { return nil }

// silentReplicas fail every call.
type silentReplicas struct{}

func (silentReplicas) Order(context.Context, fleet.Entry, loading.Order, string, int64) (OrderResponse, error) {
	return 0, errors.New("no response")
}

func (silentReplicas) Report(context.Context, fleet.Entry) (loading.Report, error) {
	return loading.Report{}, errors.New("no response")
}

// discardLog returns a logger without output, since background goroutines may log after the end of a test.
func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// emptyFleet returns a directory without replicas and with deterministic tie-breaking.
func emptyFleet() *fleet.Directory { return fleet.NewDirectory("a", func() float64 { return 0 }) }

// electedLeader returns an election in which this daemon has just won the term.
func electedLeader(t *testing.T, log logrus.FieldLogger) *election.Election {
	t.Helper()
	return electedLeaderByClock(t, log, time.Now)
}

// electedLeaderByClock is electedLeader for an election with another clock.
func electedLeaderByClock(t *testing.T, log logrus.FieldLogger, now func() time.Time) *election.Election {
	t.Helper()
	campaign := election.New(election.Config{Key: "term", Daemon: "d1", Address: "a:1", TTL: 3 * time.Second, Now: now}, grantingStore{}, log)
	began := make(chan struct{})
	campaign.Subscribe(func(leader election.Leader) {
		if leader.Nonce != "" {
			close(began)
		}
	})
	campaign.ObserveAbsent(0)
	go func() { _ = campaign.Serve(t.Context()) }()
	<-began
	return campaign
}

// A term can begin before the operator has written a routing table.
func TestRoundWithoutRoutingTableDoesNothing(t *testing.T) {
	log := discardLog()
	campaign := electedLeader(t, log)
	leader := &Leader{
		Daemon: "d1", Fleet: emptyFleet(), Table: &routing.Store{}, ReplicaClient: silentReplicas{},
		Election: campaign, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true,
	}
	leader.Prepare()
	require.NotPanics(t, func() { leader.runRound(t.Context(), time.Now()) })
}

func TestLeaderIsFollowedWhileMostDaemonsAreAttached(t *testing.T) {
	leader := &Leader{Fleet: emptyFleet()}
	leader.Prepare()
	for _, example := range []struct {
		fence             int64
		attached, highest int
		followed          bool
	}{
		{0, 3, 3, false}, {7, 3, 3, true}, {7, 2, 3, true}, {7, 1, 3, false}, {7, 1, 2, false}, {7, 1, 1, true}, {7, 0, 0, false},
	} {
		leader.fence, leader.attachedStreams, leader.maxAttachedStreams = example.fence, example.attached, example.highest
		require.Equal(t, example.followed, leader.Followed(), example)
	}
}

// recordingReplicas record the orders that they receive, and respond that each is done.
type recordingReplicas struct {
	silentReplicas
	orders chan loading.Order
}

func (r recordingReplicas) Order(_ context.Context, _ fleet.Entry, order loading.Order, _ string, _ int64) (OrderResponse, error) {
	r.orders <- order
	return Done, nil
}

// Replicas that do not check fencing tokens would take a probe of a former leader as an order.
func TestProbesAreSentOnlyDuringTheTerm(t *testing.T) {
	log := discardLog()
	campaign := electedLeader(t, log)
	table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{
		MemoryMB: 200, Models: map[string]*routing.Model{"m1": {Name: "m1", MemoryMB: 90, StoreLoadTime: 4 * time.Second, DiskLoadTime: time.Second}},
	}}}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	directory := emptyFleet()
	directory.Put(fleet.Entry{ID: "r1", Service: "press", Address: "b:1"}, time.Now())
	replicas := recordingReplicas{orders: make(chan loading.Order, 10)}
	leader := &Leader{
		Daemon: "d1", Fleet: directory, Table: routes, ReplicaClient: replicas,
		Election: campaign, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true,
	}
	leader.Prepare()
	fence, _ := campaign.Term()
	replicaWithOverdueLoad := func() *loading.Replica {
		state := &loading.Replica{ID: "r1", Service: "press", Verified: true, LoadedAt: map[string]time.Time{}}
		state.MarkAccepted(loading.Order{ReplicaID: "r1", Verb: loading.Load, Target: fleet.Target{Model: "m1"}, Origin: loading.FromDisk, ExpectedDuration: time.Second}, time.Now().Add(-time.Second))
		return state
	}
	leader.fence = fence
	leader.states["r1"] = replicaWithOverdueLoad()
	leader.runRound(t.Context(), time.Now())
	require.Equal(t, "m1", (<-replicas.orders).Target.Model, "the probe is sent during the term")
	require.Eventually(t, func() bool {
		leader.mutex.Lock()
		defer leader.mutex.Unlock()
		return leader.states["r1"].Holdings.Has(fleet.Target{Model: "m1"})
	}, time.Second, time.Millisecond, "the response Done to a probe completes the load")

	leader.states["r1"] = replicaWithOverdueLoad()
	campaign.StepDown("a test")
	leader.runRound(t.Context(), time.Now())
	require.Empty(t, replicas.orders)
}

// leaderWithDemand returns a leader whose demand requires a load, and the replicas that receive its orders.
func leaderWithDemand(t *testing.T) (*Leader, reportingReplicas) {
	t.Helper()
	log := discardLog()
	table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{
		MemoryMB: 200, LoadsPerSecond: 4, Models: map[string]*routing.Model{"m1": {Name: "m1", MemoryMB: 90, StoreLoadTime: 4 * time.Second}},
	}}}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	replicas := reportingReplicas{recordingReplicas{orders: make(chan loading.Order, 10)}, make(chan string, 10)}
	leader := &Leader{
		Daemon: "d1", Fleet: emptyFleet(), Table: routes, ReplicaClient: replicas, Election: electedLeader(t, log),
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true, Limits: Limits{Window: 5 * time.Second, Slack: 1, Extra: 3},
	}
	leader.Prepare()
	return leader, replicas
}

// A replica that asked for a back-off must receive neither orders nor probes.
func TestReplicaBackingOffGetsNoMessages(t *testing.T) {
	const backoff = 3 * time.Second
	leader, replicas := leaderWithDemand(t)
	now := time.Now()
	leader.Fleet.Put(fleet.Entry{ID: "r1", Service: "press", Address: "r1:1"}, now)
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d2", Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m1", Arrivals: 1, Waiting: 1}}})

	leader.Fleet.ApplyHint(fleet.Hint{Replica: "r1", Backoff: backoff}, now)
	leader.runRound(t.Context(), now)
	require.Empty(t, leader.inFlight, "no report is requested during the back-off")
	leader.runRound(t.Context(), now.Add(backoff))
	require.Equal(t, "r1", receive(t, replicas.reports))
	require.Eventually(t, func() bool {
		leader.mutex.Lock()
		defer leader.mutex.Unlock()
		return leader.states["r1"].Verified
	}, time.Second, time.Millisecond)

	leader.Fleet.ApplyHint(fleet.Hint{Replica: "r1", Backoff: backoff}, now.Add(backoff))
	leader.RegistryChanged("r1")
	leader.runRound(t.Context(), now.Add(backoff))
	require.Empty(t, leader.inFlight, "no order is sent during the back-off")
	leader.runRound(t.Context(), now.Add(2*backoff))
	require.Equal(t, "m1", receive(t, replicas.orders).Target.Model)
}

// A daemon that was suspended between the decision on an order and its sending may have lost its term
// meanwhile, and no other daemon has told it.
func TestOrdersDecidedBeforeASuspensionAreNotSent(t *testing.T) {
	var suspended atomic.Int64 // nanoseconds
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	log := discardLog()
	campaign := election.New(election.Config{Key: "term", Daemon: "d1", Address: "a:1", TTL: 3 * time.Second, Now: now}, grantingStore{}, log)
	began := make(chan struct{})
	campaign.Subscribe(func(leader election.Leader) {
		if leader.Nonce != "" {
			close(began)
		}
	})
	campaign.ObserveAbsent(0)
	ctx, stopRenewals := context.WithCancel(t.Context())
	go func() { _ = campaign.Serve(ctx) }()
	<-began
	stopRenewals()
	replicas := recordingReplicas{orders: make(chan loading.Order, 2)}
	leader := &Leader{Daemon: "d1", Fleet: emptyFleet(), ReplicaClient: replicas, Election: campaign, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log}
	leader.Prepare()
	leader.fence, _ = campaign.Term()
	answered := make(chan error, 1)
	send := func() error {
		leader.mutex.Lock()
		leader.states = map[string]*loading.Replica{"r1": {ID: "r1", Verified: true}}
		leader.sendOrder(t.Context(), fleet.Entry{ID: "r1"}, loading.Order{ReplicaID: "r1"}, leader.fence,
			func(_ *loading.Replica, _ loading.Order, _ OrderResponse, err error, _ time.Time) { answered <- err })
		leader.mutex.Unlock()
		return <-answered
	}
	require.NoError(t, send())
	suspended.Store(int64(7 * time.Second))
	require.ErrorIs(t, send(), errTermUncertain)
	require.Len(t, replicas.orders, 1)
}
