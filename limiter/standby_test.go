package limiter

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// startStandbyCandidate starts a client that other daemons reach.
func startStandbyCandidate(t *testing.T, leader string) (client *Client, stop func()) {
	t.Helper()
	log, _ := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client = &Client{Bounds: testBounds, Leader: func() string { return leader }, Address: listener.Addr().String(), Zone: "other", Log: log}
	client.Prepare()
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterQuotas(server.Mux(), &Server{Spend: client.SpendCredit, Log: log}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	go func() { _ = client.Serve(ctx) }()
	return client, cancel
}

func TestStandbyServesDaemonsWithoutLeader(t *testing.T) {
	tenant := testTenant(1000)
	leaderTerm, address := startLeader(t, tenant)
	standby, _ := startStandbyCandidate(t, address)
	require.Eventually(t, func() bool { return standby.IsStandby() && standby.Credit() > 0 }, 5*time.Second, 5*time.Millisecond)
	log, lines := test.NewNullLogger()
	client := &Client{Bounds: testBounds, Leader: func() string { return address }, Log: log}
	client.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = client.Serve(ctx) }()
	awaitAdmit(t, client, tenant)
	require.Zero(t, client.Credit(), "only the standby holds credit")

	leaderTerm.set(0, election.NoTerm)
	require.Eventually(t, func() bool { return !client.LeaderResponsive() && !standby.LeaderResponsive() }, 5*time.Second, 5*time.Millisecond)
	before := standby.Credit()
	require.GreaterOrEqual(t, before, 200.0)
	_, failed := admit(t, client, tenant)
	require.Nil(t, failed)
	require.InDelta(t, before-100, standby.Credit(), 0.1)
	_, failed = admit(t, standby, tenant)
	require.Nil(t, failed, "the standby spends its own credit")

	require.Eventually(t, func() bool {
		_, failed := admit(t, client, tenant)
		return failed != nil && failed.Kind == failure.LimitUnknown
	}, 5*time.Second, time.Millisecond)
	line := lines.LastEntry()
	require.Equal(t, logging.MessageLimitUnknown, line.Message)
	require.Equal(t, standby.Address, line.Data[logging.Standby])
	require.Less(t, line.Data[logging.Credit], 100.0)
	require.Positive(t, line.Data[logging.CreditAgeMs])

	leaderTerm.set(2, election.TermValid)
	require.Eventually(t, func() bool { return client.LeaderResponsive() && standby.LeaderResponsive() }, 5*time.Second, 5*time.Millisecond)
	awaitAdmit(t, client, tenant)
}

func TestStoppingStandbyReturnsItsCredit(t *testing.T) {
	tenant := testTenant(1000)
	_, address := startLeader(t, tenant)
	first, stop := startStandbyCandidate(t, address)
	holdsCredit := func(client *Client) func() bool {
		return func() bool { return client.IsStandby() && client.Credit() > 1000 }
	}
	require.Eventually(t, holdsCredit(first), 5*time.Second, 5*time.Millisecond)
	stop()
	second, _ := startStandbyCandidate(t, address)
	require.Eventually(t, holdsCredit(second), testBounds.Window/2, 5*time.Millisecond, "lost credit would count as outstanding until it expires")
}

// A new leader prefers the standby of the term before it, and in the first term one in another zone.
func TestPreferredStandbyIsAppointed(t *testing.T) {
	log, _ := test.NewNullLogger()
	now := time.Now()
	server := &Server{Address: "leader", Zone: "a", Log: log, termStart: now, firstTerm: true}
	near, far := peer{"near", "near:1", "a"}, peer{"far", "far:1", "b"}
	require.False(t, server.observe(peer{process: "old"}, false, now), "its version has no address")
	require.False(t, server.observe(peer{"own", "leader", "b"}, false, now), "the leader itself")
	require.False(t, server.observe(near, false, now))
	require.True(t, server.observe(far, false, now))
	require.False(t, server.observe(near, true, now.Add(standbyTimeout)))
	require.True(t, server.observe(near, false, now.Add(preferredDelay)), "the standby is silent")

	later := &Server{Address: "leader", Zone: "a", Log: log, termStart: now}
	require.False(t, later.observe(far, false, now))
	require.True(t, later.observe(near, true, now), "it has marks")
}

// While the lease is uncertain, the standby keeps its credit and its part, and goes on afterwards.
func TestStandbyServesWhileLeaseIsUncertain(t *testing.T) {
	tenant := testTenant(1000)
	leaderTerm, address := startLeader(t, tenant)
	standby, _ := startStandbyCandidate(t, address)
	require.Eventually(t, func() bool { return standby.IsStandby() && standby.Credit() > 0 }, 5*time.Second, 5*time.Millisecond)
	client := startClient(t, address)
	awaitAdmit(t, client, tenant)

	leaderTerm.set(1, election.TermUncertain)
	time.Sleep(3 * syncInterval)
	before := standby.Credit()
	require.GreaterOrEqual(t, before, 200.0)
	_, failed := admit(t, client, tenant)
	require.Nil(t, failed)
	require.InDelta(t, before-100, standby.Credit(), 0.1)
	require.True(t, standby.IsStandby())

	leaderTerm.set(1, election.TermValid)
	require.Eventually(t, func() bool { return standby.Credit() >= before }, 5*time.Second, 5*time.Millisecond, "it syncs again")
}

// Credit that is bound to the term is valid for as long as no other leader can begin one.
func TestStandbyIsToldWhenItsTermBoundCreditEnds(t *testing.T) {
	const lease = 500 * time.Millisecond
	now := time.Now()
	standby := peer{process: "standby", address: "standby:1", zone: "other"}
	sync := &rpc.QuotaQuestions{Process: standby.process, Sync: &rpc.QuotaSyncRequest{Id: 1, TermBound: true}}
	for name, validFor := range map[string]func() time.Duration{
		"valid": func() time.Duration { return lease }, "ended": func() time.Duration { return 0 }, "unknown": nil,
	} {
		server, _ := countingServer(t, &term{fence: 1, status: election.TermValid})
		server.ValidFor = validFor
		answers, err := server.handle(standby, 0, sync, now)
		require.NoError(t, err)
		reply, malformed := syncOf(answers.GetSync())
		require.Zero(t, malformed)
		require.True(t, reply.Marked, name)
		expected := time.Duration(0)
		if name == "valid" {
			expected = lease
		}
		require.Equal(t, expected, reply.TermBoundFor, name)
	}
	for _, termBoundMs := range []int64{-1, math.MinInt64, math.MaxInt64} {
		reply, malformed := syncOf(&rpc.QuotaSync{Id: 1, TermBoundMs: termBoundMs})
		require.Equal(t, 1, malformed)
		require.Zero(t, reply.TermBoundFor)
	}
}

func TestTermThatBeganEarlyIsLogged(t *testing.T) {
	server, _ := countingServer(t, &term{fence: 1, status: election.TermValid})
	log, lines := test.NewNullLogger()
	now := time.Now()
	server.Log, server.IsFirstTerm, server.PreviousLeaderActive = log, func() bool { return false }, func() time.Time { return now }
	_, err := server.handle(peer{process: "a"}, 0, &rpc.QuotaQuestions{Process: "a"}, now)
	require.NoError(t, err)
	require.Equal(t, true, lines.LastEntry().Data[logging.BeforeExpiry])
}
