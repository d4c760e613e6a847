package limiter

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/rpc"
)

func claimMessageOf(number byte) *rpc.QuotaClaim {
	return &rpc.QuotaClaim{Fingerprint: append([]byte{number}, make([]byte, quota.FingerprintBytes-1)...), Route: "route", Priority: 1, ObjectiveMs: 1000, PatienceMs: 5000}
}

// countingServer returns a server and its counts of reservations by outcome.
func countingServer(t *testing.T, leaderTerm *term) (*Server, map[string]int) {
	t.Helper()
	server := newServer(t, leaderTerm, testTenant(1000))
	counted := map[string]int{}
	server.CountReservation = func(outcome string, number int) { counted[outcome] += number }
	return server, counted
}

func TestMalformedMessagesAreNotUsedButCounted(t *testing.T) {
	fingerprint := make([]byte, quota.FingerprintBytes)
	for name, message := range map[string]*rpc.QuotaQuestions{
		"cost not a number":            {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: math.NaN()}}},
		"cost infinite":                {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: math.Inf(1)}}},
		"cost negative":                {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: -1}}},
		"cost huge":                    {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: 1e300}}},
		"use not a number":             {Used: []*rpc.QuotaCost{{Tenant: "brewery", Cost: math.NaN()}}},
		"use negative":                 {Used: []*rpc.QuotaCost{{Tenant: "brewery", Cost: -1e6}}},
		"credit not a number":          {Credits: []*rpc.QuotaCredit{{Tenant: "brewery", Left: math.NaN(), ForMs: 1000}}},
		"credit of no tenant":          {Credits: []*rpc.QuotaCredit{{Left: 1, ForMs: 1000}}},
		"credit for ages":              {Credits: []*rpc.QuotaCredit{{Tenant: "brewery", Left: 1, ForMs: math.MaxInt64}}},
		"returned credit negative":     {Returned: []*rpc.QuotaCredit{{Tenant: "brewery", Left: -1, ForMs: 1000}}},
		"refund not a number":          {Refunds: []*rpc.QuotaRefund{{Tenant: "brewery", Cost: math.NaN()}}},
		"refund negative":              {Refunds: []*rpc.QuotaRefund{{Tenant: "brewery", Cost: -1e6}}},
		"mark not a number":            {Marks: []*rpc.QuotaMark{{Tenant: "brewery", MaxHeld: math.NaN(), OtherCredit: 1}}},
		"mark negative":                {Marks: []*rpc.QuotaMark{{Tenant: "brewery", MaxHeld: -1e6, OtherCredit: 1}}},
		"mark of infinite credit":      {Marks: []*rpc.QuotaMark{{Tenant: "brewery", MaxHeld: 1, OtherCredit: math.Inf(1)}}},
		"mark of no tenant":            {Marks: []*rpc.QuotaMark{{MaxHeld: 1, OtherCredit: 1}}},
		"reservation not a number":     {Reservations: []*rpc.QuotaReservation{{Tenant: "brewery", Fingerprint: fingerprint, Cost: math.NaN(), InMs: 1}}},
		"reservation of no tenant":     {Reservations: []*rpc.QuotaReservation{{Fingerprint: fingerprint, Cost: 1, InMs: 1}}},
		"reservation without a name":   {Reservations: []*rpc.QuotaReservation{{Tenant: "brewery", Cost: 1, InMs: 1}}},
		"reservation in ages":          {Reservations: []*rpc.QuotaReservation{{Tenant: "brewery", Fingerprint: fingerprint, Cost: 1, InMs: math.MinInt64}}},
		"claim with a short name":      {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: 1, Claim: &rpc.QuotaClaim{Fingerprint: []byte{1}}}}},
		"claim of a huge patience":     {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: 1, Claim: &rpc.QuotaClaim{Fingerprint: fingerprint, PatienceMs: math.MaxInt64}}}},
		"claim of a negative lifetime": {Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: 1, Claim: &rpc.QuotaClaim{Fingerprint: fingerprint, ObjectiveMs: math.MinInt64}}}},
	} {
		server, counted := countingServer(t, &term{fence: 1, status: election.TermValid})
		mustHandle(t, server, 0, message)
		require.Equal(t, 1, counted[outcomeMalformed], name)
		granted := 0.0
		for mustHandle(t, server, 1, admissionRequest(100)).GetAnswers()[0].GetGranted() {
			granted += 100
			require.LessOrEqual(t, granted, (8*1000+1000)*1.1+testBounds.Slack, "%s: the limit is as before", name)
		}
		require.GreaterOrEqual(t, granted, 1000.0, "%s: the limit is as before", name)
	}
}

// A caller with much time keeps its claim.
func TestTimesOfAClaimAreSentWithinBounds(t *testing.T) {
	for _, sent := range []time.Duration{-100 * time.Hour, 100 * time.Hour} {
		claim, ok := claimOf(claimMessage(&quota.Claim{ObjectiveLeft: sent, Patience: sent}))
		require.True(t, ok)
		require.Equal(t, maxWireTime, claim.Patience.Abs())
		require.Equal(t, sent > 0, claim.Patience > 0)
		require.Equal(t, claim.Patience, claim.ObjectiveLeft)
	}
	claim, ok := claimOf(claimMessage(&quota.Claim{ObjectiveLeft: time.Second, Patience: 2 * time.Second}))
	require.True(t, ok)
	require.Equal(t, []time.Duration{time.Second, 2 * time.Second}, []time.Duration{claim.ObjectiveLeft, claim.Patience})
}

func TestMalformedAnswersAreNotUsedButCounted(t *testing.T) {
	for name, result := range map[string]*rpc.QuotaAnswer{
		"credit not a number": {Id: 1, Granted: true, Renewed: true, Ahead: math.NaN()},
		"credit negative":     {Id: 1, Granted: true, Renewed: true, Ahead: -1},
		"credit infinite":     {Id: 1, Granted: true, Renewed: true, Ahead: math.Inf(1)},
		"a time out of range": {Id: 1, RetryMs: math.MaxInt64, Reserved: true},
	} {
		answer, ok := answerOf(result)
		require.False(t, ok, name)
		require.False(t, answer.Renewed, name)
		require.False(t, answer.Reserved, name)
		require.GreaterOrEqual(t, answer.RetryIn, time.Duration(0), name)
	}
}

func TestMalformedSharesOfTheStandbyAreNotUsedButCounted(t *testing.T) {
	good := func() *rpc.QuotaShare {
		return &rpc.QuotaShare{Tenant: "brewery", Ahead: 1, Keep: 1, Room: -1, MaxRoom: 1, PerSecond: 1, Mark: &rpc.QuotaMark{Tenant: "brewery", MaxHeld: 1}}
	}
	for name, spoil := range map[string]func(share *rpc.QuotaShare){
		"no tenant":                 func(share *rpc.QuotaShare) { share.Tenant = "" },
		"credit not a number":       func(share *rpc.QuotaShare) { share.Ahead = math.NaN() },
		"credit negative":           func(share *rpc.QuotaShare) { share.Ahead = -1 },
		"credit to keep infinite":   func(share *rpc.QuotaShare) { share.Keep = math.Inf(1) },
		"term-bound not a number":   func(share *rpc.QuotaShare) { share.TermBound = math.NaN() },
		"room not a number":         func(share *rpc.QuotaShare) { share.Room = math.NaN() },
		"room infinite":             func(share *rpc.QuotaShare) { share.MaxRoom = math.Inf(1) },
		"rate negative":             func(share *rpc.QuotaShare) { share.PerSecond = -1 },
		"no mark":                   func(share *rpc.QuotaShare) { share.Mark = nil },
		"mark not a number":         func(share *rpc.QuotaShare) { share.Mark.MaxHeld = math.NaN() },
		"mark with negative credit": func(share *rpc.QuotaShare) { share.Mark.OtherCredit = -1 },
	} {
		spoiled := good()
		spoil(spoiled)
		reply, malformed := syncOf(&rpc.QuotaSync{Id: 1, Marked: true, Shares: []*rpc.QuotaShare{good(), spoiled}})
		require.Equal(t, 1, malformed, name)
		require.Len(t, reply.Shares, 1, name)
	}
}

func TestMalformedSpendingIsNotUsedButCounted(t *testing.T) {
	server, counted := countingServer(t, &term{fence: 1, status: election.TermValid})
	asked := 0
	server.Spend = func(string, float64) Spending { asked++; return Spending{Spent: true} }
	for _, cost := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		answer, err := server.SpendCredit(t.Context(), &rpc.CreditSpending{Tenant: "brewery", Cost: cost})
		require.NoError(t, err)
		require.False(t, answer.GetSpent())
	}
	require.Zero(t, asked)
	require.Equal(t, 4, counted[outcomeMalformed])
	for name, answer := range map[string]*rpc.CreditSpent{
		"credit not a number": {Left: math.NaN(), Exceeded: true, RetryMs: 1},
		"a time out of range": {Exceeded: true, RetryMs: math.MaxInt64},
		"an age out of range": {Exceeded: true, AgeMs: math.MinInt64},
	} {
		spending, ok := spendingOf(answer)
		require.False(t, ok, name)
		require.Equal(t, Spending{}, spending, name)
	}
}

// Whatever a message contains, the server answers, and grants no more than the limit.
func FuzzQuestions(f *testing.F) {
	f.Add("brewery", 100.0, 50.0, int64(1000), []byte("0123456789abcdef"), "route", int32(1), int64(5000))
	f.Add("", math.NaN(), math.Inf(-1), int64(math.MinInt64), []byte{}, "", int32(math.MinInt32), int64(math.MaxInt64))
	f.Add("brewery", 1e300, -5.0, int64(-1), []byte("0123456789abcdef"), "route", int32(math.MaxInt32), int64(-7))
	f.Fuzz(func(t *testing.T, tenant string, cost, amount float64, milliseconds int64, fingerprint []byte, route string, priority int32, patience int64) {
		server, _ := countingServer(t, &term{fence: 1, status: election.TermValid})
		message := &rpc.QuotaQuestions{
			Used:         []*rpc.QuotaCost{{Tenant: tenant, Cost: amount}},
			Credits:      []*rpc.QuotaCredit{{Tenant: tenant, Left: amount, ForMs: milliseconds}},
			Returned:     []*rpc.QuotaCredit{{Tenant: tenant, Left: cost, ForMs: milliseconds}},
			Refunds:      []*rpc.QuotaRefund{{Tenant: tenant, Cost: cost, Slot: milliseconds}},
			Reservations: []*rpc.QuotaReservation{{Tenant: tenant, Fingerprint: fingerprint, Cost: cost, InMs: milliseconds}},
			Marks:        []*rpc.QuotaMark{{Tenant: tenant, MaxHeld: amount, OtherCredit: cost}},
			Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: tenant, Cost: cost, Claim: &rpc.QuotaClaim{
				Fingerprint: fingerprint, Route: route, Priority: priority, ObjectiveMs: milliseconds, PatienceMs: patience,
			}}},
		}
		granted := 0.0
		for number := range 50 {
			fence := int64(min(number, 1))
			answers := mustHandle(t, server, fence, message)
			require.Len(t, answers.GetAnswers(), 1)
			if answer := answers.GetAnswers()[0]; answer.GetGranted() {
				granted += cost
			}
		}
		if !(granted <= (8*1000+1000)*1.1+testBounds.Slack) {
			t.Fatalf("granted %v", granted)
		}
	})
}
