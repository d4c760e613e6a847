package limiter

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// owner is a daemon that hands out permits; the test says what it knows.
type owner struct {
	*Server
	*term
	address string
	reached atomic.Int64 // percent
	first   bool
}

func startOwner(t *testing.T, first bool) *owner {
	t.Helper()
	log, _ := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	made := &owner{term: &term{fence: 1, standing: election.TermValid}, address: listener.Addr().String(), first: first}
	made.reached.Store(100)
	made.Server = &Server{
		Bounds: testBounds, Table: &routing.Store{}, Term: made.get, IsFirstTerm: func() bool { return first },
		Reached: func() float64 { return float64(made.reached.Load()) / 100 }, Log: log,
	}
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterQuotas(server.Mux(), made.Server))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	return made
}

func permitAsk(perSecond float64, patience time.Duration) permit.Request {
	return permit.Request{Replica: fleet.Incarnation{ID: "r1", Born: 1000}, PerSecond: perSecond, MaxWait: patience}
}

// connected returns a client that the holder answers.
func connected(t *testing.T, address string) *Client {
	t.Helper()
	client := clientOf(t, address)
	require.Eventually(t, client.LeaderResponsive, 5*time.Second, time.Millisecond)
	return client
}

func TestDaemonsGetTurnsOneAfterTheOther(t *testing.T) {
	held := startOwner(t, true)
	first, second := connected(t, held.address), connected(t, held.address)
	ask := permitAsk(4, time.Second)
	var turns []time.Time
	for _, client := range []*Client{first, second, first, second} {
		granted, _ := client.RequestPermit(t.Context(), ask)
		require.NotNil(t, granted)
		require.Equal(t, sourceHolder, granted.Source())
		turns = append(turns, granted.(*Permit).turn)
		require.LessOrEqual(t, granted.(*Permit).until.Sub(granted.(*Permit).turn), permit.Validity, "its life counts from the question")
	}
	require.InDelta(t, 0.75, turns[3].Sub(turns[0]).Seconds(), 0.1)
	require.GreaterOrEqual(t, held.PendingReservations(), 2)
	refused, none := first.RequestPermit(t.Context(), permitAsk(4, 0))
	require.Nil(t, refused)
	require.InDelta(t, 1, none.RetryIn.Seconds(), 0.15)
	_, later := second.RequestPermit(t.Context(), permitAsk(4, 0))
	require.Greater(t, later.RetryIn, none.RetryIn)
	taken, _ := held.TryReserve(ask)
	require.False(t, taken, "the holder's own messages wait for a free turn")
}

func TestAPermitIsGoodOnceAndForAShortWhile(t *testing.T) {
	held := startOwner(t, true)
	client := connected(t, held.address)
	asked := func() core.ReplicaPermit {
		var granted core.ReplicaPermit
		require.Eventually(t, func() bool {
			granted, _ = client.RequestPermit(t.Context(), permitAsk(0.05, 0))
			return granted != nil
		}, 5*time.Second, time.Millisecond)
		return granted
	}
	unused := asked()
	require.Zero(t, unused.Delay())
	unused.Return()
	unused.Return()
	require.False(t, unused.Use())
	used := asked() // it was given back
	require.True(t, used.Use())
	require.False(t, used.Use())
	used.Return()
	none, _ := client.RequestPermit(t.Context(), permitAsk(0.05, 0))
	require.Nil(t, none, "what was used is not given back")
	used.(*Permit).spent = false
	used.(*Permit).until = time.Now().Add(-time.Millisecond)
	require.False(t, used.Use(), "its process stood still")
}

func TestAHolderGivesOutThePartOfTheDaemonsThatReachIt(t *testing.T) {
	held := startOwner(t, true)
	client := connected(t, held.address)
	held.reached.Store(50)
	_, _ = client.RequestPermit(t.Context(), permitAsk(1, 0))
	_, none := client.RequestPermit(t.Context(), permitAsk(1, 0))
	require.InDelta(t, 2, none.RetryIn.Seconds(), 0.1)
	held.set(1, election.TermStoreUnreachable)
	_, none = client.RequestPermit(t.Context(), permitAsk(1, 0))
	require.Greater(t, none.RetryIn, 2*time.Second, "it goes on without the key-value service")
	held.set(1, election.TermUncertain)
	refused, none := client.RequestPermit(t.Context(), permitAsk(1, time.Second))
	require.Nil(t, refused, "another may have begun")
	require.Equal(t, unsureReturn, none.RetryIn)
	held.reached.Store(0)
	taken, _ := held.TryReserve(permitAsk(1, 0))
	require.False(t, taken)
}

func TestAFurtherHolderCountsTheTurnsThatAreOutFromTheBeginOfItsTerm(t *testing.T) {
	held := startOwner(t, false)
	held.BeginTerm()
	begun := time.Now()
	client := connected(t, held.address)
	time.Sleep(200 * time.Millisecond)
	_, none := client.RequestPermit(t.Context(), permitAsk(2, 0))
	require.InDelta(t, (permit.MaxReservationDelay + 500*time.Millisecond).Seconds(), (time.Since(begun) + none.RetryIn).Seconds(), 0.05)
}

func TestAMessageThatGoesWithoutATurnIsCounted(t *testing.T) {
	held := startOwner(t, true)
	client := connected(t, held.address)
	ask := permitAsk(1, 0)
	for range 3 {
		client.Charge(ask.Replica, ask.PerSecond)
	}
	require.Eventually(t, func() bool {
		held.Server.mutex.Lock()
		defer held.Server.mutex.Unlock()
		return held.book != nil && held.book.PendingReservations(time.Now()) >= 2
	}, 5*time.Second, time.Millisecond)
}

// At first a daemon without a holder waits for the next; then it uses its own share.
func TestWithoutAHolderADaemonUsesItsOwnShareAfterAWhile(t *testing.T) {
	held := startOwner(t, true)
	client := connected(t, held.address)
	var daemons atomic.Int64
	client.Daemons = func() int { return int(daemons.Load()) }
	ask := permitAsk(1000, 10*time.Millisecond)
	held.set(0, election.NoTerm)
	require.Eventually(t, func() bool {
		none, _ := client.RequestPermit(t.Context(), ask)
		return none == nil
	}, 5*time.Second, time.Millisecond)
	refused, none := client.RequestPermit(t.Context(), ask)
	require.Nil(t, refused)
	require.Equal(t, core.PermitDenial{RetryIn: ownerReturn, Source: sourceNone}, none)

	client.mutex.Lock()
	client.heardAt = client.heardAt.Add(-ownerSilent)
	client.mutex.Unlock()
	refused, _ = client.RequestPermit(t.Context(), ask)
	require.Nil(t, refused, "nobody knows how many share the limit")
	daemons.Store(3)
	granted, _ := client.RequestPermit(t.Context(), ask)
	require.NotNil(t, granted)
	require.Equal(t, sourceOwn, granted.Source())
	granted.Return()
	require.False(t, granted.Use())
}

// The daemons of an earlier version answer that they know no such tenant.
func TestAHolderOfAnEarlierVersionIsAsGoodAsNone(t *testing.T) {
	held := startOwner(t, true)
	client := connected(t, held.address)
	client.Daemons = func() int { return 3 }
	own, alone := client.ownTurn(permitAsk(1000, time.Second), true)
	require.True(t, alone)
	require.True(t, own.Granted)
	_, alone = client.ownTurn(permitAsk(1000, time.Second), false)
	require.False(t, alone, "it was there just now")
}

func TestNonsenseGetsNoPermit(t *testing.T) {
	held := startOwner(t, true)
	held.BeginTerm()
	for _, asked := range []*rpc.PermitQuestion{{}, {PerSecond: -1}, {PatienceMs: -5}} {
		require.False(t, held.answerPermit(7, asked, election.TermValid, time.Now()).GetGranted())
	}
	held.ledger.RecordContact("d1", time.Now())
	held.book.Return(fleet.Incarnation{})
}

// A turn that passed unused is lost: given out again, it would come beside the turns of that time.
func TestATurnThatPassedIsNotGivenOutAgain(t *testing.T) {
	held := startOwner(t, true)
	client := connected(t, held.address)
	granted, _ := client.RequestPermit(t.Context(), permitAsk(1, 0))
	require.NotNil(t, granted)
	granted.(*Permit).turn = time.Now().Add(-giveBackTime - time.Millisecond)
	client.mutex.Lock()
	asked := client.permitQuestion(permitAsk(1, 0))
	id := asked.put(time.Now())
	client.account.Abandon(id)
	client.settle(quota.Answer{ID: id, Granted: true}, time.Now()) // the answer came late
	client.mutex.Unlock()
	granted.Return()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	require.Empty(t, client.outbox.unused)
	require.Empty(t, client.outbox.refunds)
	client.outbox = outbox{}
}

// A thousand daemons keep no streams to the holder for limits that were lifted.
func TestAStreamOnWhichNothingIsAskedEnds(t *testing.T) {
	held := startOwner(t, true)
	var needed, passed atomic.Int64
	needed.Store(1)
	log, _ := test.NewNullLogger()
	client := &Client{Bounds: testBounds, Leader: func() string { return held.address }, HasLimits: func() bool { return needed.Load() == 1 },
		Now: func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }, Log: log}
	client.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = client.Serve(ctx) }()
	require.Eventually(t, client.LeaderResponsive, 5*time.Second, time.Millisecond)
	needed.Store(0)
	time.Sleep(3 * connectPause)
	require.True(t, client.LeaderResponsive(), "a limit may be named again")
	passed.Store(int64(unneededTime))
	require.Eventually(t, func() bool { return !client.LeaderResponsive() }, 5*time.Second, time.Millisecond)
	needed.Store(1)
	require.Eventually(t, client.LeaderResponsive, 5*time.Second, time.Millisecond)
}
