package loader

import (
	"context"
	"io"
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

// grantingStore gives every lease and every term.
type grantingStore struct{ kv.LeaseStore }

func (grantingStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	return kv.LeaseID{Number: 1}, nil
}

func (grantingStore) Commit(context.Context, kv.Txn) (kv.TxnResult, error) {
	return kv.TxnResult{Succeeded: true, Revision: 7}, nil
}

func (grantingStore) RenewLease(context.Context, kv.LeaseID) error { return nil }

// silentReplicas answer nothing.
type silentReplicas struct{}

func (silentReplicas) Order(context.Context, fleet.Entry, loading.Order, string, int64) (OrderResponse, error) {
	return 0, errors.New("no answer")
}

func (silentReplicas) Report(context.Context, fleet.Entry) (loading.Report, error) {
	return loading.Report{}, errors.New("no answer")
}

// discarding returns a log without output: answers and the election are logged after a test's end, too.
func discarding() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// emptyFleet returns a directory without replicas that breaks ties in the same way each time.
func emptyFleet() *fleet.Directory { return fleet.NewDirectory("a", func() float64 { return 0 }) }

// elected returns an election in which this daemon has just taken the term.
func elected(t *testing.T, log logrus.FieldLogger) *election.Election {
	t.Helper()
	made := election.New(election.Config{Key: "term", Daemon: "d1", Address: "a:1", TTL: 3 * time.Second}, grantingStore{}, log)
	began := make(chan struct{})
	made.AddListener(func(holder election.Leader) {
		if holder.Nonce != "" {
			close(began)
		}
	})
	made.ObserveAbsent(0)
	go func() { _ = made.Serve(t.Context()) }()
	<-began
	return made
}

// A term can begin before any routing table is known: the store answers the
// campaign before the operator has written one.
func TestATermThatBeginsBeforeATableIsKnownWaitsForIt(t *testing.T) {
	log := discarding()
	made := elected(t, log)
	holder := &Leader{
		Daemon: "d1", Fleet: emptyFleet(), Table: &routing.Store{}, Replicas: silentReplicas{},
		Election: made, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true,
	}
	holder.Prepare()
	require.NotPanics(t, func() { holder.turn(t.Context(), time.Now()) })
}

// recordingReplicas count the orders that they get; each says that the order is done.
type recordingReplicas struct {
	silentReplicas
	orders chan loading.Order
}

func (r recordingReplicas) Order(_ context.Context, _ fleet.Entry, order loading.Order, _ string, _ int64) (OrderResponse, error) {
	r.orders <- order
	return Done, nil
}

// Replicas that check no fence obey a holder of an ended term: asking them whether a load
// has ended is an order too, and is given in a term only.
func TestAHolderAsksByOrdersOnlyInItsTerm(t *testing.T) {
	log := discarding()
	made := elected(t, log)
	table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{
		MemoryMB: 200, Models: map[string]*routing.Model{"m1": {Name: "m1", MemoryMB: 90, StoreLoadTime: 4 * time.Second, DiskLoadTime: time.Second}},
	}}}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	directory := emptyFleet()
	directory.Put(fleet.Entry{ID: "r1", Service: "press", Address: "b:1"}, time.Now())
	replicas := recordingReplicas{orders: make(chan loading.Order, 10)}
	holder := &Leader{
		Daemon: "d1", Fleet: directory, Table: routes, Replicas: replicas,
		Election: made, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true,
	}
	holder.Prepare()
	fence, _ := made.Term()
	underWay := func() *loading.Replica {
		state := &loading.Replica{ID: "r1", Service: "press", Verified: true, LoadedAt: map[string]time.Time{}}
		state.MarkAccepted(loading.Order{ReplicaID: "r1", Verb: loading.Load, Target: fleet.Target{Model: "m1"}, Origin: loading.FromDisk, ExpectedDuration: time.Second}, time.Now().Add(-time.Second))
		return state
	}
	holder.fence = fence
	holder.states["r1"] = underWay()
	holder.turn(t.Context(), time.Now())
	require.Equal(t, "m1", (<-replicas.orders).Target.Model, "asked in the term")
	require.Eventually(t, func() bool {
		holder.mutex.Lock()
		defer holder.mutex.Unlock()
		return holder.states["r1"].Holdings.Has(fleet.Target{Model: "m1"})
	}, time.Second, time.Millisecond, "done tells that it is loaded")

	holder.states["r1"] = underWay()
	made.StepDown("a test")
	holder.turn(t.Context(), time.Now())
	require.Empty(t, replicas.orders)
}

// orderingHolder returns a holder that is to load a model, with the replicas that hear its orders.
func orderingHolder(t *testing.T) (*Leader, reportingReplicas) {
	t.Helper()
	log := discarding()
	table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{
		MemoryMB: 200, LoadsPerSecond: 4, Models: map[string]*routing.Model{"m1": {Name: "m1", MemoryMB: 90, StoreLoadTime: 4 * time.Second}},
	}}}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	replicas := reportingReplicas{recordingReplicas{orders: make(chan loading.Order, 10)}, make(chan string, 10)}
	holder := &Leader{
		Daemon: "d1", Fleet: emptyFleet(), Table: routes, Replicas: replicas, Election: elected(t, log),
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true, Limits: Limits{Window: 5 * time.Second, Slack: 1, Extra: 3},
	}
	holder.Prepare()
	return holder, replicas
}

// A replica that asked this daemon for rest wants neither orders nor questions of it.
func TestAHolderLeavesAReplicaAloneThatAskedItForRest(t *testing.T) {
	const rest = 3 * time.Second
	holder, replicas := orderingHolder(t)
	now := time.Now()
	holder.Fleet.Put(fleet.Entry{ID: "r1", Service: "press", Address: "r1:1"}, now)
	holder.report(&rpc.LoadsDemand{DaemonId: "d2", Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m1", Arrivals: 1, Waiting: 1}}})

	holder.Fleet.ApplyHint(fleet.Hint{Replica: "r1", Backoff: rest}, now)
	holder.turn(t.Context(), now)
	require.Empty(t, holder.calling, "not asked for its state")
	holder.turn(t.Context(), now.Add(rest))
	require.Equal(t, "r1", received(t, replicas.reports))
	require.Eventually(t, func() bool {
		holder.mutex.Lock()
		defer holder.mutex.Unlock()
		return holder.states["r1"].Verified
	}, time.Second, time.Millisecond)

	holder.Fleet.ApplyHint(fleet.Hint{Replica: "r1", Backoff: rest}, now.Add(rest))
	holder.RegistryChanged("r1")
	holder.turn(t.Context(), now.Add(rest))
	require.Empty(t, holder.calling, "no order")
	holder.turn(t.Context(), now.Add(2*rest))
	require.Equal(t, "m1", received(t, replicas.orders).Target.Model)
}
