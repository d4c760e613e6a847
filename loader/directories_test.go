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

// largeFleetLeader is a leader of so many replicas that not every daemon has the records of all.
type largeFleetLeader struct {
	*Leader
	isLarge bool
	now     time.Time
}

func newLargeFleetLeader(daemons int) *largeFleetLeader {
	f := &largeFleetLeader{Leader: &Leader{Daemon: "holder", Address: "holder:1", Fleet: emptyFleet(), Log: discardLog()}, isLarge: true, now: time.Now()}
	f.TooManyReplicas = func() bool { return f.isLarge }
	f.Prepare()
	f.handovers.termBegan(f.now)
	f.attach("holder", "a", 80*time.Millisecond, true)
	for number := range daemons {
		delay := 300 * time.Millisecond
		if number%20 == 0 {
			delay = 75 * time.Millisecond // a strong machine
		}
		f.attach(fmt.Sprintf("d%d", number), string("abcde"[number/20%5]), delay, false)
	}
	return f
}

// attach opens a daemon's stream and applies its first message.
func (f *largeFleetLeader) attach(daemon, zone string, delay time.Duration, knows bool) {
	message := &rpc.LoadsDemand{DaemonId: daemon, Address: daemon + ":1", Zone: zone, TermDelayMs: delay.Milliseconds(), KnowsReplicas: knows}
	f.addStream(daemon)
	f.applyDemand(message)
	f.recordDaemon(message)
}

// reportKnowsReplicas reports that a daemon has all replica records.
func (f *largeFleetLeader) reportKnowsReplicas(daemon string) {
	f.applyDemand(&rpc.LoadsDemand{DaemonId: daemon, KnowsReplicas: true})
}

// refresh advances the clock and refreshes the directories.
func (f *largeFleetLeader) refresh(after time.Duration) {
	f.now = f.now.Add(after)
	f.refreshDirectories(f.now)
}

func TestDirectoriesAreStrongAndSpreadOverZones(t *testing.T) {
	leader := newLargeFleetLeader(400)
	leader.refresh(minTermAgeForDirectories)
	require.Len(t, leader.directories.chosen, maxDirectories)
	countByZone := map[string]int{}
	for id := range leader.directories.chosen {
		state := leader.daemons[id]
		require.Equal(t, 75*time.Millisecond, state.baseCampaignDelay)
		countByZone[state.zone]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "e": 2}, countByZone)
	require.Empty(t, leader.directories.addresses, "the list stays empty until the directories are ready")

	first := true
	for id := range leader.directories.chosen {
		leader.reportKnowsReplicas(id)
		if first {
			leader.refresh(directoriesInterval)
			require.Empty(t, leader.directories.addresses, "a single ready directory is not listed alone")
			first = false
		}
	}
	before := leader.directories.chosen
	leader.refresh(directoriesInterval)
	require.Len(t, leader.directories.addresses, maxDirectories)
	require.Equal(t, before, leader.directories.chosen)

	// A lost directory is replaced; the others stay.
	lostID := ""
	for id := range before {
		lostID = id
	}
	leader.daemons[lostID].detachedAt = leader.now
	leader.refresh(directoriesInterval)
	require.Len(t, leader.directories.chosen, maxDirectories)
	require.NotContains(t, leader.directories.chosen, lostID)
	require.Len(t, leader.directories.addresses, maxDirectories-1)

	leader.isLarge = false
	leader.refresh(directoriesInterval)
	require.Empty(t, leader.directories.chosen)
	require.Empty(t, leader.directories.addresses)
}

func TestNewLeaderKeepsEarlierDirectories(t *testing.T) {
	leader := newLargeFleetLeader(200)
	leader.reportKnowsReplicas("d0")
	leader.reportKnowsReplicas("d40")
	leader.refresh(0)
	require.False(t, leader.directories.decided(), "too few daemons are attached")
	leader.refresh(minTermAgeForDirectories)
	require.True(t, leader.directories.chosen["d0"])
	require.True(t, leader.directories.chosen["d40"])
}

// Sending every replica to every daemon would not scale.
func TestDaemonWithoutReplicaRecordsReceivesOnlyDirectories(t *testing.T) {
	leader := newLargeFleetLeader(20)
	leader.refresh(minTermAgeForDirectories)
	leader.states["r1"] = &loading.Replica{ID: "r1", Verified: true}
	directory := ""
	for id := range leader.directories.chosen {
		directory = id
	}
	leader.reportKnowsReplicas(directory)
	leader.refresh(directoriesInterval)

	var sentToDirectory, sentToOther sentState
	first, err := leader.nextViews(&sentToOther, "d1", leader.now)
	require.NoError(t, err)
	require.Len(t, first.messages, 2)
	require.False(t, first.messages[1].GetDirectories().GetServe())
	require.Equal(t, leader.directories.addresses, first.messages[1].GetDirectories().GetAddresses())
	mine, err := leader.nextViews(&sentToDirectory, directory, leader.now)
	require.NoError(t, err)
	require.True(t, mine.messages[1].GetDirectories().GetServe())

	leader.markChanged("r1")
	select {
	case <-first.changed:
		t.Fatal("a replica's change woke the stream of a daemon without replica records")
	case <-mine.changed:
	}
	next, err := leader.nextViews(&sentToOther, "d1", leader.now)
	require.NoError(t, err)
	require.Len(t, next.messages, 1)
	require.False(t, viewHasChanges(next.messages[0]))
	mine, err = leader.nextViews(&sentToDirectory, directory, leader.now)
	require.NoError(t, err)
	require.Len(t, mine.messages[0].GetReplicas(), 1)

	// Once it has all replica records, it receives the loads of every replica.
	leader.reportKnowsReplicas("d1")
	<-next.changed
	next, err = leader.nextViews(&sentToOther, "d1", leader.now)
	require.NoError(t, err)
	require.Len(t, next.messages[0].GetReplicas(), 1)
}

// reportingReplicas report their registry records, and record from which of them a report was fetched.
type reportingReplicas struct {
	recordingReplicas
	reports chan string
}

func (r reportingReplicas) Report(_ context.Context, replica fleet.Entry) (loading.Report, error) {
	r.reports <- replica.ID
	return loading.Report{Sequence: 4, Holdings: replica.Holdings}, nil
}

// receive returns the next value of a channel, and fails the test if none arrives within a second.
func receive[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(time.Second):
		t.Fatal("nothing received within a second")
	}
	return value
}

// Connecting to every replica at the start of a term could exhaust the connections of the process.
func TestReportIsFetchedOnlyBeforeAReplicasFirstOrder(t *testing.T) {
	log := discardLog()
	campaign := electedLeader(t, log)
	table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{
		MemoryMB: 200, LoadsPerSecond: 4, Models: map[string]*routing.Model{"m1": {Name: "m1", MemoryMB: 90, StoreLoadTime: 4 * time.Second}, "m2": {Name: "m2", MemoryMB: 90, StoreLoadTime: 4 * time.Second}},
	}}}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	replicas := reportingReplicas{recordingReplicas{orders: make(chan loading.Order, 10)}, make(chan string, 100)}
	leader := &Leader{
		Daemon: "d1", Fleet: emptyFleet(), Table: routes, ReplicaClient: replicas, Election: campaign,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true, TooManyReplicas: func() bool { return true },
		Limits: Limits{Window: 5 * time.Second, Slack: 1, Extra: 3},
	}
	leader.Prepare()
	for number := range 50 {
		id := fmt.Sprintf("r%d", number)
		leader.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1", Holdings: fleet.Holdings{"m1": nil}}, time.Now())
	}
	leader.runRound(t.Context(), time.Now())
	require.Empty(t, replicas.reports, "no report is fetched without demand")

	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d2", Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m2", Arrivals: 1, Waiting: 1}}})
	leader.runRound(t.Context(), time.Now())
	replicaID := receive(t, replicas.reports)
	require.Empty(t, replicas.orders, "the report comes before the first order")
	require.Eventually(t, func() bool {
		leader.mutex.Lock()
		defer leader.mutex.Unlock()
		return leader.states[replicaID].Verified
	}, time.Second, time.Millisecond)
	leader.runRound(t.Context(), time.Now())
	order := receive(t, replicas.orders)
	require.Equal(t, replicaID, order.ReplicaID)
	require.EqualValues(t, 4, order.Sequence, "the order states how many orders the replica has taken")
	require.Empty(t, replicas.reports)
}
