package limiter

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/rpc"
)

// bidOf returns the bid of a request; different numbers are different requests.
func bidOf(number uint32) *core.Bid {
	var fingerprint quota.Fingerprint
	binary.LittleEndian.PutUint32(fingerprint[:], number)
	return &core.Bid{RequestID: "request", Claim: quota.Claim{
		Fingerprint: fingerprint, Class: "route", Priority: 1, ObjectiveLeft: time.Second, Patience: 5 * time.Second,
	}}
}

// A refused caller that returns at the time told, at another daemon, is served though newcomers crowd.
func TestReturningCallerIsServedAtAnotherDaemon(t *testing.T) {
	tenant := testTenant(1000)
	_, address := startLeader(t, tenant)
	first, second := startClient(t, address), startClient(t, address)
	awaitAdmit(t, first, tenant)
	awaitAdmit(t, second, tenant)
	var refused *failure.Error
	for refused == nil {
		_, refused = first.Admit(t.Context(), tenant, 0, 0, bidOf(1))
	}
	require.Equal(t, failure.LimitExceeded, refused.Kind)
	deadline := time.Now().Add(refused.RetryAfter)
	for number := uint32(2); time.Now().Before(deadline); number++ {
		_, _ = second.Admit(t.Context(), tenant, 0, 0, bidOf(number))
	}
	_, failed := second.Admit(t.Context(), tenant, 0, 0, bidOf(1))
	require.Nil(t, failed)
}

// The daemon names the reservations that it told callers of in its first message to a new leader.
func TestNewLeaderHearsOfReservations(t *testing.T) {
	leaderTerm := &term{fence: 1, status: election.TermValid}
	server, counted := countingServer(t, leaderTerm)
	client := startClient(t, "")
	ask := func(number byte) *rpc.QuotaQuestions {
		return &rpc.QuotaQuestions{Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: 100, Claim: claimMessageOf(number)}}}
	}
	fence := int64(0)
	var refused *rpc.QuotaAnswer
	for refused == nil {
		answers := mustHandle(t, server, fence, ask(1))
		fence = answers.GetFence()
		if answer := answers.GetAnswers()[0]; !answer.GetGranted() {
			refused = answer
		}
	}
	require.True(t, refused.GetReserved())
	answer, ok := answerOf(refused)
	require.True(t, ok)
	client.recordDecision(testTenant(1000), 100, bidOf(1), leaderAnswer{Answer: answer, requested: client.Now()})

	leaderTerm.set(2, election.TermValid)
	first := client.firstMessage()
	require.Len(t, first.GetReservations(), 1)
	mustHandle(t, server, 0, first)
	require.Equal(t, 1, counted[outcomeAdopted])
	require.Zero(t, counted[outcomeNotAdopted])
	redeemed := false
	for deadline := time.Now().Add(3 * time.Second); !redeemed && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		redeemed = mustHandle(t, server, 2, ask(1)).GetAnswers()[0].GetRedeemed()
	}
	require.True(t, redeemed)
}

// A daemon that reconnects to the same leader names reservations that were redeemed at others; they are not kept again.
func TestReconnectedDaemonsReservationsAreNotAdoptedAgain(t *testing.T) {
	server, counted := countingServer(t, &term{fence: 1, status: election.TermValid})
	named := &rpc.QuotaReservation{Tenant: "brewery", Fingerprint: claimMessageOf(1).GetFingerprint(), Cost: 100, InMs: 500}
	first := &rpc.QuotaQuestions{Process: "a", Reservations: []*rpc.QuotaReservation{named}}
	handle := func() {
		_, err := server.handle(peer{process: "a"}, 0, first, time.Now())
		require.NoError(t, err)
	}
	handle()
	require.Equal(t, 1, counted[outcomeAdopted])
	redeem := &rpc.QuotaQuestions{Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: 100, Claim: claimMessageOf(1)}}}
	answers, err := server.handle(peer{process: "b"}, 1, redeem, time.Now())
	require.NoError(t, err)
	require.True(t, answers.GetAnswers()[0].GetRedeemed())
	handle()
	require.Equal(t, 1, counted[outcomeAdopted])
}

func TestDecisionsAreLoggedAndCounted(t *testing.T) {
	log, hook := test.NewNullLogger()
	counted := map[string]int{}
	client := &Client{Bounds: testBounds, Leader: func() string { return "" }, Log: log, CountReservation: func(outcome string, number int) { counted[outcome] += number }}
	client.Prepare()
	tenant := testTenant(1000)
	for _, answer := range []quota.Answer{{Reserved: true, RetryIn: 700 * time.Millisecond}, {RetryIn: 9 * time.Second}, {Granted: true, Redeemed: true}, {Granted: true}} {
		client.recordDecision(tenant, 9300, bidOf(1), leaderAnswer{Answer: answer, requested: client.Now()})
	}
	client.recordDecision(tenant, 9300, nil, leaderAnswer{})
	require.Equal(t, map[string]int{outcomeReserved: 1, outcomeRefused: 1, outcomeRedeemed: 1}, counted)
	require.Len(t, hook.AllEntries(), 3)
	entry := hook.AllEntries()[0]
	require.Equal(t, logging.MessageLimitReached, entry.Message)
	for _, field := range []string{logging.RequestID, logging.Fingerprint, logging.Tenant, logging.Cost, logging.Outcome, logging.RetryAfterMs, logging.PatienceMs, logging.AgeMs} {
		require.Contains(t, entry.Data, field)
	}
	require.Equal(t, int64(700), entry.Data[logging.RetryAfterMs])
}

func TestRefusalLinesAreBounded(t *testing.T) {
	log, hook := test.NewNullLogger()
	now, counted := time.Unix(1000, 0), 0
	client := &Client{Bounds: testBounds, Leader: func() string { return "" }, Log: log, Now: func() time.Time { return now }, CountReservation: func(_ string, number int) { counted += number }}
	client.Prepare()
	refuse := func() { client.recordDecision(testTenant(1000), 9300, bidOf(1), leaderAnswer{requested: now}) }
	for range 3 * maxLinesPerSecond {
		refuse()
	}
	require.Len(t, hook.AllEntries(), maxLinesPerSecond)
	now = now.Add(time.Second)
	refuse()
	require.Equal(t, 2*maxLinesPerSecond, hook.LastEntry().Data[logging.Suppressed])
	require.Equal(t, 3*maxLinesPerSecond+1, counted)
}

// mutexHook notes whether the server's mutex is free when a line is written.
type mutexHook struct {
	server *Server
	free   []bool
}

func (h *mutexHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *mutexHook) Fire(entry *logrus.Entry) error {
	if entry.Message != logging.MessageReservationLapsed {
		return nil
	}
	free := h.server.mutex.TryLock()
	if free {
		h.server.mutex.Unlock()
	}
	h.free = append(h.free, free)
	return nil
}

func TestLapsesAreLoggedWithoutTheMutex(t *testing.T) {
	server, counted := countingServer(t, &term{fence: 1, status: election.TermValid})
	log, _ := test.NewNullLogger()
	hook := &mutexHook{server: server}
	log.AddHook(hook)
	server.Log = log
	now := time.Now()
	named := &rpc.QuotaReservation{Tenant: "brewery", Fingerprint: claimMessageOf(1).GetFingerprint(), Cost: 100, InMs: 500}
	_, err := server.handle(peer{process: "a"}, 0, &rpc.QuotaQuestions{Process: "a", Reservations: []*rpc.QuotaReservation{named}}, now)
	require.NoError(t, err)
	_, err = server.handle(peer{process: "a"}, 1, &rpc.QuotaQuestions{}, now.Add(3*time.Second))
	require.NoError(t, err)
	require.Equal(t, 1, counted[outcomeLapsed])
	require.Equal(t, []bool{true}, hook.free)
}

// Who has no reservation is never told less than the usual minimum; a reservation's time is told as it is.
func TestToldTimeIsTrue(t *testing.T) {
	soon := leaderAnswer{Answer: quota.Answer{RetryIn: 40 * time.Millisecond}}
	require.Equal(t, minRetryAfter, retryAfter(soon, bidOf(1)))
	soon.Reserved = true
	require.Equal(t, 40*time.Millisecond, retryAfter(soon, bidOf(1)))
	require.Equal(t, minRetryAfter, retryAfter(soon, nil))
}
