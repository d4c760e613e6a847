package discovery

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	testService = "press"
	settleTime  = 3 * time.Second
	settlePoll  = time.Millisecond
)

// directory is a daemon that knows all replicas.
type directory struct {
	*Server
	address string
	all     atomic.Bool
	age     atomic.Int64 // of its knowledge
	stop    context.CancelFunc
}

func startDirectory(t *testing.T) *directory {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	made := &directory{address: listener.Addr().String()}
	made.all.Store(true)
	made.Server = &Server{
		Fleet: fleet.NewDirectory("a", func() float64 { return 0 }), HasAllReplicas: made.all.Load, IsLoading: func() bool { return false }, Now: time.Now,
		ContactAge: func() (time.Duration, bool) { return time.Duration(made.age.Load()), true },
	}
	made.Prepare()
	made.StartObserving()
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterDiscovery(server.Mux(), made.Server))
	ctx, stop := context.WithCancel(context.Background())
	made.stop = stop
	t.Cleanup(stop)
	go func() { _ = server.Serve(ctx) }()
	return made
}

// put lists a replica that holds a model.
func (d *directory) put(id, zone string, holdings fleet.Holdings) {
	d.Fleet.Put(fleet.Entry{ID: id, Service: testService, Address: id + ":80", Zone: zone, Slots: 12, Holdings: holdings}, time.Now())
}

// daemon is one that asks directories.
type daemon struct {
	*Client
	fleet *fleet.Directory
}

func startDaemon(t *testing.T, directories ...*directory) *daemon {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	made := &daemon{fleet: fleet.NewDirectory("a", func() float64 { return 0 })}
	var addresses []string
	for _, one := range directories {
		addresses = append(addresses, one.address)
	}
	made.Client = &Client{Daemon: "d", Zone: "a", Fleet: made.fleet, Directories: func() []string { return addresses }, Log: log}
	made.Prepare()
	made.fleet.Limit(made.Client)
	made.Enable(true)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = made.Serve(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended // it writes to the test's log
	})
	return made
}

// choose asks for a replica until the answer is no longer that nothing is known.
func (d *daemon) choose(t *testing.T, target fleet.Target) (string, fleet.Miss) {
	t.Helper()
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); {
		changed := d.fleet.Changed(testService, target)
		pick, miss := d.fleet.Choose(fleet.Ask{Service: testService, Target: target}, time.Now())
		switch {
		case pick != nil:
			pick.Cancel()
			return pick.ID, miss
		case miss != fleet.Undiscovered:
			return "", miss
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Fatal("no word came")
	return "", fleet.Undiscovered
}

func (d *daemon) knows(id string) func() bool {
	return func() bool {
		_, known := d.fleet.Entry(id)
		return known
	}
}

func model(name string) fleet.Target { return fleet.Target{Model: name} }

func TestADaemonIsToldOfTheReplicasThatItsCallersNeed(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	for number := range 100 {
		known.put(fmt.Sprintf("r%d", number), "b", fleet.Holdings{fmt.Sprintf("m%d", number): nil})
	}
	asking := startDaemon(t, known)
	id, _ := asking.choose(t, model("m7"))
	require.Equal(t, "r7", id)
	require.Equal(t, 1, asking.fleet.Len(), "and of no others")
}

// A model that is loaded nowhere is to be loaded; a service without replicas serves nobody.
func TestADaemonTellsAModelThatIsNotLoadedFromAServiceWithoutReplicas(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	asking := startDaemon(t, known)
	_, miss := asking.choose(t, model("m"))
	require.Equal(t, fleet.NoReplica, miss)
	known.put("r1", "b", fleet.Holdings{"other": nil})
	_, miss = asking.choose(t, model("nowhere"))
	require.Equal(t, fleet.NotLoaded, miss)
}

func TestADaemonIsToldOfSomeOfManyReplicasItsOwnZoneFirst(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	for number := range 500 {
		known.put(fmt.Sprintf("r%d", number), string("abcde"[number%5]), fleet.Holdings{"m": nil})
	}
	asking := startDaemon(t, known)
	id, _ := asking.choose(t, model("m"))
	require.Eventually(t, func() bool { return asking.fleet.Len() == shareMost }, settleTime, settlePoll)
	entry, _ := asking.fleet.Entry(id)
	require.Equal(t, "a", entry.Zone)
}

func TestWhatChangesOnAReplicaIsTold(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	known.put("r1", "a", fleet.Holdings{"m": nil})
	known.put("r2", "a", fleet.Holdings{"other": nil})
	asking := startDaemon(t, known)
	adapted := fleet.Target{Model: "m", Adapter: "a1"}
	_, miss := asking.choose(t, adapted)
	require.Equal(t, fleet.AdapterNotLoaded, miss)

	// The adapter is loaded elsewhere, together with the model.
	known.Fleet.ApplyLeaderRecord("r2", fleet.LeaderRecord{Fence: 3, Sequence: 1, Holdings: fleet.Holdings{"other": nil},
		Loading: map[fleet.Target]time.Time{adapted: time.Now().Add(time.Minute)}}, time.Now())
	require.Eventually(t, func() bool {
		_, expected := asking.fleet.ExpectedLoad(testService, adapted, time.Now())
		return expected
	}, settleTime, settlePoll)
	known.Fleet.ApplyLeaderRecord("r2", fleet.LeaderRecord{Fence: 3, Sequence: 2, Holdings: fleet.Holdings{"m": {"a1"}}}, time.Now())
	require.Eventually(t, func() bool {
		id, _ := asking.choose(t, adapted)
		return id == "r2"
	}, settleTime, settlePoll)

	known.Fleet.SetRemoteInflight("r2", 9, time.Now())
	require.Eventually(t, func() bool {
		state, _ := asking.fleet.State("r2", time.Now())
		return state.Requests == 9
	}, settleTime, settlePoll)

	leaving := fleet.Entry{ID: "r2", Service: testService, Address: "r2:80", Zone: "a", Slots: 12, Draining: true}
	known.Fleet.Put(leaving, time.Now())
	require.Eventually(t, func() bool {
		id, _ := asking.choose(t, adapted)
		return id == ""
	}, settleTime, settlePoll)
	known.Fleet.Remove("r2", time.Now())
	require.Eventually(t, func() bool { return !asking.knows("r2")() }, settleTime, settlePoll)
}

// Whoever breaks off with a replica asks whether it was going to end anyway.
func TestAReplicaThatIsGoneIsForgottenThoughARequestIsThere(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	known.put("r1", "a", fleet.Holdings{"m": nil})
	asking := startDaemon(t, known)
	asking.choose(t, model("m"))
	pick, _ := asking.fleet.Choose(fleet.Ask{Service: testService, Target: model("m")}, time.Now())
	known.Fleet.Remove("r1", time.Now())
	require.Eventually(t, func() bool { return !asking.knows("r1")() }, settleTime, settlePoll)
	pick.Release(fleet.Unreachable, model("m"), time.Now())
}

// A crowded replica gives way to one with free places; its requests still end well.
func TestACrowdedReplicaIsReplaced(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	for number := range 3 * shareMost {
		known.put(fmt.Sprintf("r%d", number), "a", fleet.Holdings{"m": nil})
	}
	asking := startDaemon(t, known)
	asking.choose(t, model("m"))
	pick, _ := asking.fleet.Choose(fleet.Ask{Service: testService, Target: model("m")}, time.Now())
	known.Fleet.SetRemoteInflight(pick.ID, 12, time.Now())
	require.Eventually(t, func() bool { return asking.fleet.Len() == shareMost+1 }, settleTime, settlePoll)
	require.Equal(t, map[string]uint32{pick.ID: 1}, asking.fleet.Running(), "what runs there is still counted")
	pick.Release(fleet.Answered, model("m"), time.Now())
	require.False(t, asking.knows(pick.ID)())
}

func TestADaemonGoesOnWithAnotherDirectoryAndForgetsWhatIsGone(t *testing.T) {
	t.Parallel()
	first, second := startDirectory(t), startDirectory(t)
	for _, one := range []*directory{first, second} {
		one.put("r1", "a", fleet.Holdings{"m": nil})
	}
	first.put("r2", "a", fleet.Holdings{"m": nil})
	asking := startDaemon(t, first, second)
	asking.choose(t, model("m"))
	require.Eventually(t, asking.knows("r2"), settleTime, settlePoll)
	first.stop()
	require.Eventually(t, func() bool { return !asking.knows("r2")() }, settleTime, settlePoll)
	require.True(t, asking.knows("r1")())
	id, _ := asking.choose(t, model("m"))
	require.Equal(t, "r1", id, "known all the while")
	_, miss := asking.choose(t, model("other"))
	require.Equal(t, fleet.NotLoaded, miss, "the second answers")
}

func TestADaemonThatDoesNotKnowAllIsNoDirectory(t *testing.T) {
	t.Parallel()
	first, second := startDirectory(t), startDirectory(t)
	first.all.Store(false)
	second.put("r1", "a", fleet.Holdings{"m": nil})
	asking := startDaemon(t, first, second)
	id, _ := asking.choose(t, model("m"))
	require.Equal(t, "r1", id)
}

func TestADirectoryThatLiesBehindIsLeftOnce(t *testing.T) {
	t.Parallel()
	first, second := startDirectory(t), startDirectory(t)
	first.age.Store(int64(time.Minute))
	second.age.Store(int64(time.Minute))
	second.put("r1", "a", fleet.Holdings{"m": nil})
	asking := startDaemon(t, first, second)
	require.Eventually(t, func() bool {
		id, _ := asking.choose(t, model("m"))
		return id == "r1"
	}, settleTime, settlePoll)
	time.Sleep(1500 * time.Millisecond) // beats go on
	require.True(t, asking.knows("r1")(), "the key-value service is away: all are alike")
}

// A message that names nothing, or nonsense, costs the directory nothing.
func TestNonsenseDoesNoHarm(t *testing.T) {
	t.Parallel()
	known := startDirectory(t)
	conn, err := transport.Dial(t.Context(), known.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	stream, err := rpc.NewDRPCDiscoveryClient(conn).Subscribe(t.Context())
	require.NoError(t, err)
	nothing := &rpc.InterestTarget{}
	require.NoError(t, stream.Send(&rpc.Interest{Added: []*rpc.InterestTarget{nothing, nothing, {Adapter: "a"}}, Dropped: []*rpc.InterestTarget{{Service: "never"}}}))
	message, err := stream.Recv()
	require.NoError(t, err)
	require.Len(t, message.GetAnswered(), 3)
	require.Empty(t, message.GetReplicas())
	require.NoError(t, stream.Send(&rpc.Interest{Dropped: []*rpc.InterestTarget{nothing, {Adapter: "a"}}}))
	require.NoError(t, stream.Close())
	require.Eventually(t, func() bool {
		known.hub.mutex.Lock()
		defer known.hub.mutex.Unlock()
		return len(known.hub.byKey) == 0 && len(known.hub.byReplica) == 0
	}, settleTime, settlePoll, "nothing is left of a stream")
}

// What a change costs the directory is what those are that were told of the replica.
func BenchmarkChangeAtDirectory(b *testing.B) {
	const (
		daemons  = 1000
		replicas = 10_000
	)
	known := &Server{Fleet: fleet.NewDirectory("a", func() float64 { return 0 })}
	known.Prepare()
	known.StartObserving()
	now := time.Now()
	entry := func(number int) fleet.Entry {
		return fleet.Entry{ID: fmt.Sprintf("r%d", number), Service: testService, Zone: string("abcde"[number%5]), Slots: 12,
			Holdings: fleet.Holdings{fmt.Sprintf("m%d", number%574): nil, "popular": nil}}
	}
	for number := range replicas {
		known.Fleet.Put(entry(number), now)
	}
	served := make([]*subscriber, daemons)
	for number := range served {
		served[number] = newSubscriber(known.Fleet, known.hub, fmt.Sprintf("d%d", number), string("abcde"[number%5]))
		added := []*rpc.InterestTarget{{Service: testService, Model: "popular"}, {Service: testService, Model: fmt.Sprintf("m%d", number%574)}}
		served[number].change(&rpc.Interest{Added: added}, now)
	}
	b.ReportAllocs()
	for round := 0; b.Loop(); round++ {
		known.Fleet.Put(entry(round%replicas), now)
		for _, one := range served {
			select {
			case <-one.wake:
				one.changes(now)
			default:
			}
		}
	}
}
