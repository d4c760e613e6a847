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

// permitLeader is a leader that grants permits; the test controls its term and the share of
// reachable daemons.
type permitLeader struct {
	*Server
	*term
	address          string
	reachablePercent atomic.Int64
	first            bool
}

func startPermitLeader(t *testing.T, first bool) *permitLeader {
	t.Helper()
	log, _ := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	leader := &permitLeader{term: &term{fence: 1, status: election.TermValid}, address: listener.Addr().String(), first: first}
	leader.reachablePercent.Store(100)
	leader.Server = &Server{
		Bounds: testBounds, Table: &routing.Store{}, Term: leader.get, IsFirstTerm: func() bool { return first },
		AttachedShare: func() float64 { return float64(leader.reachablePercent.Load()) / 100 }, Log: log,
	}
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterQuotas(server.Mux(), leader.Server))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	return leader
}

func newPermitRequest(perSecond float64, maxWait time.Duration) permit.Request {
	return permit.Request{Replica: fleet.Incarnation{ID: "r1", Born: 1000}, PerSecond: perSecond, MaxWait: maxWait}
}

// startConnectedClient returns a client that has received an answer from the leader.
func startConnectedClient(t *testing.T, address string) *Client {
	t.Helper()
	client := startClient(t, address)
	require.Eventually(t, client.LeaderResponsive, 5*time.Second, time.Millisecond)
	return client
}

func TestDaemonsReceiveConsecutiveReservations(t *testing.T) {
	leader := startPermitLeader(t, true)
	first, second := startConnectedClient(t, leader.address), startConnectedClient(t, leader.address)
	request := newPermitRequest(4, time.Second)
	var reservations []time.Time
	for _, client := range []*Client{first, second, first, second} {
		granted, _ := client.RequestPermit(t.Context(), request)
		require.NotNil(t, granted)
		require.Equal(t, sourceLeader, granted.Source())
		reservations = append(reservations, granted.(*Permit).reservedAt)
		require.LessOrEqual(t, granted.(*Permit).expiresAt.Sub(granted.(*Permit).reservedAt), permit.Validity, "the validity counts from the request")
	}
	require.InDelta(t, 0.75, reservations[3].Sub(reservations[0]).Seconds(), 0.1)
	require.GreaterOrEqual(t, leader.PendingReservations(), 2)
	refused, denial := first.RequestPermit(t.Context(), newPermitRequest(4, 0))
	require.Nil(t, refused)
	require.InDelta(t, 1, denial.RetryIn.Seconds(), 0.15)
	_, later := second.RequestPermit(t.Context(), newPermitRequest(4, 0))
	require.Greater(t, later.RetryIn, denial.RetryIn)
	reserved, _ := leader.TryReserve(request)
	require.False(t, reserved, "the leader's own messages need a free slot")
}

func TestPermitIsUsableOnceUntilItExpires(t *testing.T) {
	leader := startPermitLeader(t, true)
	client := startConnectedClient(t, leader.address)
	requestPermit := func() core.ReplicaPermit {
		var granted core.ReplicaPermit
		require.Eventually(t, func() bool {
			granted, _ = client.RequestPermit(t.Context(), newPermitRequest(0.05, 0))
			return granted != nil
		}, 5*time.Second, time.Millisecond)
		return granted
	}
	unused := requestPermit()
	require.Zero(t, unused.Delay())
	unused.Return()
	unused.Return()
	require.False(t, unused.Use())
	used := requestPermit() // unused was returned
	require.True(t, used.Use())
	require.False(t, used.Use())
	used.Return()
	none, _ := client.RequestPermit(t.Context(), newPermitRequest(0.05, 0))
	require.Nil(t, none, "a used permit is not returned")
	used.(*Permit).consumed = false
	used.(*Permit).expiresAt = time.Now().Add(-time.Millisecond)
	require.False(t, used.Use(), "the permit has expired")
}

func TestLeaderGrantsShareOfReachableDaemons(t *testing.T) {
	leader := startPermitLeader(t, true)
	client := startConnectedClient(t, leader.address)
	leader.reachablePercent.Store(50)
	_, _ = client.RequestPermit(t.Context(), newPermitRequest(1, 0))
	_, denial := client.RequestPermit(t.Context(), newPermitRequest(1, 0))
	require.InDelta(t, 2, denial.RetryIn.Seconds(), 0.1)
	leader.set(1, election.TermStoreUnreachable)
	_, denial = client.RequestPermit(t.Context(), newPermitRequest(1, 0))
	require.Greater(t, denial.RetryIn, 2*time.Second, "the leader continues without the key-value service")
	leader.set(1, election.TermUncertain)
	refused, denial := client.RequestPermit(t.Context(), newPermitRequest(1, time.Second))
	require.Nil(t, refused, "another leader may exist")
	require.Equal(t, uncertainRetryIn, denial.RetryIn)
	leader.reachablePercent.Store(0)
	reserved, _ := leader.TryReserve(newPermitRequest(1, 0))
	require.False(t, reserved)
}

func TestNewLeaderDelaysFromStartOfTerm(t *testing.T) {
	leader := startPermitLeader(t, false)
	leader.BeginTerm()
	begun := time.Now()
	client := startConnectedClient(t, leader.address)
	time.Sleep(200 * time.Millisecond)
	_, denial := client.RequestPermit(t.Context(), newPermitRequest(2, 0))
	require.InDelta(t, (permit.MaxReservationDelay + 500*time.Millisecond).Seconds(), (time.Since(begun) + denial.RetryIn).Seconds(), 0.05)
}

func TestChargedMessageUsesReservation(t *testing.T) {
	leader := startPermitLeader(t, true)
	client := startConnectedClient(t, leader.address)
	request := newPermitRequest(1, 0)
	for range 3 {
		client.Charge(request.Replica, request.PerSecond)
	}
	require.Eventually(t, func() bool {
		leader.Server.mutex.Lock()
		defer leader.Server.mutex.Unlock()
		return leader.pacer != nil && leader.pacer.PendingReservations(time.Now()) >= 2
	}, 5*time.Second, time.Millisecond)
}

// A daemon without a leader first waits for a new one, then uses its local share.
func TestDaemonFallsBackToLocalShareWithoutLeader(t *testing.T) {
	leader := startPermitLeader(t, true)
	client := startConnectedClient(t, leader.address)
	var daemons atomic.Int64
	client.DaemonCount = func() int { return int(daemons.Load()) }
	request := newPermitRequest(1000, 10*time.Millisecond)
	leader.set(0, election.NoTerm)
	require.Eventually(t, func() bool {
		none, _ := client.RequestPermit(t.Context(), request)
		return none == nil
	}, 5*time.Second, time.Millisecond)
	refused, none := client.RequestPermit(t.Context(), request)
	require.Nil(t, refused)
	require.Equal(t, core.PermitDenial{RetryIn: unansweredRetryIn, Source: sourceUnanswered}, none)

	client.mutex.Lock()
	client.lastAnswerAt = client.lastAnswerAt.Add(-fallbackDelay)
	client.mutex.Unlock()
	refused, _ = client.RequestPermit(t.Context(), request)
	require.Nil(t, refused, "the number of daemons is unknown")
	daemons.Store(3)
	granted, _ := client.RequestPermit(t.Context(), request)
	require.NotNil(t, granted)
	require.Equal(t, sourceLocalShare, granted.Source())
	granted.Return()
	require.False(t, granted.Use())
}

// A leader of an earlier version answers permit requests with an unknown tenant.
func TestLeaderWithoutPermitSupportCausesFallback(t *testing.T) {
	leader := startPermitLeader(t, true)
	client := startConnectedClient(t, leader.address)
	client.DaemonCount = func() int { return 3 }
	local, allowed := client.requestLocally(newPermitRequest(1000, time.Second), true)
	require.True(t, allowed)
	require.True(t, local.Granted)
	_, allowed = client.requestLocally(newPermitRequest(1000, time.Second), false)
	require.False(t, allowed, "the leader answered recently")
}

func TestInvalidPermitRequestsAreRefused(t *testing.T) {
	leader := startPermitLeader(t, true)
	leader.BeginTerm()
	for _, invalid := range []*rpc.PermitQuestion{{}, {PerSecond: -1}, {PatienceMs: -5}} {
		require.False(t, leader.answerPermit(7, invalid, election.TermValid, time.Now()).GetGranted())
	}
	leader.ledger.RecordContact("d1", time.Now())
	leader.pacer.Return(fleet.Incarnation{})
}

// A slot that has passed unused must not be granted again: it would add to the current ones.
func TestPassedReservationIsNotReturned(t *testing.T) {
	leader := startPermitLeader(t, true)
	client := startConnectedClient(t, leader.address)
	granted, _ := client.RequestPermit(t.Context(), newPermitRequest(1, 0))
	require.NotNil(t, granted)
	granted.(*Permit).reservedAt = time.Now().Add(-maxReturnDelay - time.Millisecond)
	client.mutex.Lock()
	request := client.permitRequest(newPermitRequest(1, 0))
	id := request.enqueue(time.Now())
	client.account.Abandon(id)
	client.applyAnswer(quota.Answer{ID: id, Granted: true}, time.Now()) // a late answer
	client.mutex.Unlock()
	granted.Return()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	require.Empty(t, client.outbox.unusedPermits)
	require.Empty(t, client.outbox.refunds)
	client.outbox = outbox{}
}

// Daemons must not keep streams to the leader after the last limit is gone.
func TestUnusedStreamIsClosed(t *testing.T) {
	leader := startPermitLeader(t, true)
	var limited, elapsed atomic.Int64
	limited.Store(1)
	log, _ := test.NewNullLogger()
	client := &Client{Bounds: testBounds, Leader: func() string { return leader.address }, HasLimits: func() bool { return limited.Load() == 1 },
		Now: func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) }, Log: log}
	client.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = client.Serve(ctx) }()
	require.Eventually(t, client.LeaderResponsive, 5*time.Second, time.Millisecond)
	limited.Store(0)
	time.Sleep(3 * reconnectDelay)
	require.True(t, client.LeaderResponsive(), "a limit may be set again soon")
	elapsed.Store(int64(unusedStreamTimeout))
	require.Eventually(t, func() bool { return !client.LeaderResponsive() }, 5*time.Second, time.Millisecond)
	limited.Store(1)
	require.Eventually(t, client.LeaderResponsive, 5*time.Second, time.Millisecond)
}
