package loader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
)

// largeFleet is a holder before so many replicas that not every daemon knows them.
type largeFleet struct {
	*Leader
	isLarge bool
	now     time.Time
}

func newLargeFleet(daemons int) *largeFleet {
	made := &largeFleet{Leader: &Leader{Daemon: "holder", Address: "holder:1", Fleet: emptyFleet(), Log: discarding()}, isLarge: true, now: time.Now()}
	made.TooManyReplicas = func() bool { return made.isLarge }
	made.Prepare()
	made.yields.termBegan(made.now)
	made.attach("holder", "a", 80*time.Millisecond, true)
	for number := range daemons {
		delay := 300 * time.Millisecond
		if number%20 == 0 {
			delay = 75 * time.Millisecond // a strong machine
		}
		made.attach(fmt.Sprintf("d%d", number), string("abcde"[number/20%5]), delay, false)
	}
	return made
}

// attach lets a daemon attach.
func (f *largeFleet) attach(daemon, zone string, delay time.Duration, knows bool) {
	message := &rpc.LoadsDemand{DaemonId: daemon, Address: daemon + ":1", Zone: zone, TermDelayMs: delay.Milliseconds(), KnowsReplicas: knows}
	f.join(daemon)
	f.report(message)
	f.noteDaemon(message)
}

// learn tells that a daemon knows all replicas now.
func (f *largeFleet) learn(daemon string) {
	f.report(&rpc.LoadsDemand{DaemonId: daemon, KnowsReplicas: true})
}

// refresh lets some time pass and looks again.
func (f *largeFleet) refresh(after time.Duration) {
	f.now = f.now.Add(after)
	f.refreshDirectories(f.now)
}

func TestDirectoriesAreStrongAndSpreadOverTheZones(t *testing.T) {
	fleet := newLargeFleet(400)
	fleet.refresh(adoptTime)
	require.Len(t, fleet.directories.chosen, directoriesMost)
	inZone := map[string]int{}
	for id := range fleet.directories.chosen {
		known := fleet.daemons[id]
		require.Equal(t, 75*time.Millisecond, known.delay)
		inZone[known.zone]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "e": 2}, inZone)
	require.Empty(t, fleet.directories.addresses, "the holder is asked until they know all")

	first := true
	for id := range fleet.directories.chosen {
		fleet.learn(id)
		if first {
			fleet.refresh(directoriesPause)
			require.Empty(t, fleet.directories.addresses, "a single one would get the streams of all")
			first = false
		}
	}
	before := fleet.directories.chosen
	fleet.refresh(directoriesPause)
	require.Len(t, fleet.directories.addresses, directoriesMost)
	require.Equal(t, before, fleet.directories.chosen)

	// One is lost; another takes its place, the rest go on.
	lost := ""
	for id := range before {
		lost = id
	}
	fleet.daemons[lost].detached = fleet.now
	fleet.refresh(directoriesPause)
	require.Len(t, fleet.directories.chosen, directoriesMost)
	require.NotContains(t, fleet.directories.chosen, lost)
	require.Len(t, fleet.directories.addresses, directoriesMost-1)

	fleet.isLarge = false
	fleet.refresh(directoriesPause)
	require.Empty(t, fleet.directories.chosen)
	require.Empty(t, fleet.directories.addresses)
}

func TestANewHolderKeepsTheDirectoriesOfTheLastOne(t *testing.T) {
	fleet := newLargeFleet(200)
	fleet.learn("d0")
	fleet.learn("d40")
	fleet.refresh(0)
	require.False(t, fleet.directories.isDecided(), "not all have attached")
	fleet.refresh(adoptTime)
	require.True(t, fleet.directories.chosen["d0"])
	require.True(t, fleet.directories.chosen["d40"])
}

// 985 daemons that are told of 10,000 replicas are ten million messages.
func TestADaemonThatAsksDirectoriesIsToldOfThemOnly(t *testing.T) {
	fleet := newLargeFleet(20)
	fleet.refresh(adoptTime)
	fleet.states["r1"] = &loading.Replica{ID: "r1", Verified: true}
	directory := ""
	for id := range fleet.directories.chosen {
		directory = id
	}
	fleet.learn(directory)
	fleet.refresh(directoriesPause)

	var toldDirectory, toldOther told
	first, err := fleet.viewsFor(&toldOther, "d1", fleet.now)
	require.NoError(t, err)
	require.Len(t, first.messages, 2)
	require.False(t, first.messages[1].GetDirectories().GetServe())
	require.Equal(t, fleet.directories.addresses, first.messages[1].GetDirectories().GetAddresses())
	mine, err := fleet.viewsFor(&toldDirectory, directory, fleet.now)
	require.NoError(t, err)
	require.True(t, mine.messages[1].GetDirectories().GetServe())

	fleet.touch("r1")
	select {
	case <-first.changed:
		t.Fatal("a replica's change wakes the streams of all daemons")
	case <-mine.changed:
	}
	next, err := fleet.viewsFor(&toldOther, "d1", fleet.now)
	require.NoError(t, err)
	require.Len(t, next.messages, 1)
	require.False(t, saysSomething(next.messages[0]))
	mine, err = fleet.viewsFor(&toldDirectory, directory, fleet.now)
	require.NoError(t, err)
	require.Len(t, mine.messages[0].GetReplicas(), 1)

	// It knows all replicas from now on: then it is told of each from the beginning.
	fleet.learn("d1")
	<-next.changed
	next, err = fleet.viewsFor(&toldOther, "d1", fleet.now)
	require.NoError(t, err)
	require.Len(t, next.messages[0].GetReplicas(), 1)
}

// reportingReplicas tell what they hold, and count how often they are asked.
type reportingReplicas struct {
	recordingReplicas
	reports chan string
}

func (r reportingReplicas) Report(_ context.Context, replica fleet.Entry) (loading.Report, error) {
	r.reports <- replica.ID
	return loading.Report{Sequence: 4, Holdings: replica.Holdings}, nil
}

// received returns what comes on a channel within a second.
func received[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(time.Second):
		t.Fatal("nothing came")
	}
	return value
}

// A term before 10,000 replicas began with a connection to each, for a report that the first orders
// did not need; a process may have 4,100.
func TestReplicasAreAskedForTheirStateBeforeTheirFirstOrderOnly(t *testing.T) {
	log := discarding()
	made := elected(t, log)
	table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{
		MemoryMB: 200, LoadsPerSecond: 4, Models: map[string]*routing.Model{"m1": {Name: "m1", MemoryMB: 90, StoreLoadTime: 4 * time.Second}, "m2": {Name: "m2", MemoryMB: 90, StoreLoadTime: 4 * time.Second}},
	}}}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	replicas := reportingReplicas{recordingReplicas{orders: make(chan loading.Order, 10)}, make(chan string, 100)}
	holder := &Leader{
		Daemon: "d1", Fleet: emptyFleet(), Table: routes, Replicas: replicas, Election: made,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true, TooManyReplicas: func() bool { return true },
		Limits: Limits{Window: 5 * time.Second, Slack: 1, Extra: 3},
	}
	holder.Prepare()
	for number := range 50 {
		id := fmt.Sprintf("r%d", number)
		holder.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1", Holdings: fleet.Holdings{"m1": nil}}, time.Now())
	}
	holder.turn(t.Context(), time.Now())
	require.Empty(t, replicas.reports, "nothing is asked for")

	holder.report(&rpc.LoadsDemand{DaemonId: "d2", Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m2", Arrivals: 1, Waiting: 1}}})
	holder.turn(t.Context(), time.Now())
	asked := received(t, replicas.reports)
	require.Empty(t, replicas.orders, "its own word first")
	require.Eventually(t, func() bool {
		holder.mutex.Lock()
		defer holder.mutex.Unlock()
		return holder.states[asked].Verified
	}, time.Second, time.Millisecond)
	holder.turn(t.Context(), time.Now())
	order := received(t, replicas.orders)
	require.Equal(t, asked, order.ReplicaID)
	require.EqualValues(t, 4, order.Sequence, "bound to the orders that it has taken")
	require.Empty(t, replicas.reports)
}
