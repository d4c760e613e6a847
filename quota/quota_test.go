package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	testStart  = time.Unix(1_000, 0)
	testBounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 1000}
	testLimit  = Limit{PerSecond: 1000, Burst: 1000}
)

func ledgerAt(first bool, now time.Time) *Ledger {
	ledger := NewLedger(testBounds, first, now)
	ledger.SetLimits(map[string]Limit{"one": testLimit}, now)
	return ledger
}

// grantAll asks until the limit is reached and returns what was granted.
func grantAll(ledger *Ledger, daemon string, cost float64, now time.Time) (granted float64, refused Answer) {
	for {
		answer := ledger.Answer(daemon, Request{Tenant: "one", Cost: cost}, now)
		if !answer.Granted {
			return granted, answer
		}
		granted += cost
	}
}

func TestAFurtherTermBeginsWithAnEmptyBucket(t *testing.T) {
	first, _ := grantAll(ledgerAt(true, testStart), "a", 10, testStart)
	require.Greater(t, first, testLimit.Burst)
	further, refused := grantAll(ledgerAt(false, testStart), "a", 10, testStart)
	require.Zero(t, further)
	require.True(t, refused.Unsettled)
	ledger := ledgerAt(false, testStart)
	later, _ := grantAll(ledger, "a", 10, testStart.Add(time.Second))
	require.InDelta(t, testLimit.PerSecond, later+ledger.tenants["one"].lentNow, 20)
}

func TestAGrantThatIsReturnedCountsNoLonger(t *testing.T) {
	ledger := ledgerAt(true, testStart)
	answer := ledger.Answer("a", Request{Tenant: "one", Cost: 100}, testStart)
	ledger.Return(Refund{Tenant: "one", Cost: 100, Slot: answer.Slot})
	returned, _ := grantAll(ledger, "a", 10, testStart)
	untouched, _ := grantAll(ledgerAt(true, testStart), "a", 10, testStart)
	require.InDelta(t, untouched, returned, 120)

	full := ledgerAt(true, testStart)
	grantAll(full, "a", 10, testStart)
	for _, wrong := range []Refund{{"one", 100, answer.Slot - 5}, {"one", 1e9, answer.Slot}, {"other", 100, answer.Slot}, {"one", 100, noSlot}} {
		full.Return(wrong)
	}
	granted, _ := grantAll(full, "a", 10, testStart)
	require.Zero(t, granted, "what was not granted there gives nothing back")
}

func TestThoseRefusedTogetherComeBackOneAfterTheOther(t *testing.T) {
	ledger := ledgerAt(true, testStart)
	_, first := grantAll(ledger, "a", 100, testStart)
	last := first.RetryIn
	for range 20 {
		next := ledger.Answer("a", Request{Tenant: "one", Cost: 100}, testStart)
		require.Equal(t, 100*time.Millisecond, next.RetryIn-last, "the time in which the limit has room for one")
		last = next.RetryIn
	}
	for range 1000 {
		last = ledger.Answer("a", Request{Tenant: "one", Cost: 100}, testStart).RetryIn
	}
	require.Equal(t, mostReturn, last)
}

func TestUnknownTenantsAndThoseWithoutALimit(t *testing.T) {
	ledger := NewLedger(testBounds, true, testStart)
	ledger.SetLimits(map[string]Limit{"free": {}}, testStart)
	require.True(t, ledger.Answer("a", Request{Tenant: "none"}, testStart).Unknown)
	for range 100 {
		require.True(t, ledger.Answer("a", Request{Tenant: "free", Cost: 1e6}, testStart).Granted)
	}
}

func TestALoweredLimitHoldsAtOnceAndARaisedOneToo(t *testing.T) {
	ledger := ledgerAt(true, testStart)
	grantAll(ledger, "a", 10, testStart)
	now := testStart.Add(time.Minute)
	ledger.SetLimits(map[string]Limit{"one": {PerSecond: 10, Burst: 10}}, now)
	granted, _ := grantAll(ledger, "a", 10, now)
	require.LessOrEqual(t, granted, 80*1.1+11+1000)
	ledger.SetLimits(map[string]Limit{"one": {PerSecond: 100_000, Burst: 100_000}}, now)
	granted, _ = grantAll(ledger, "a", 100, now)
	require.Greater(t, granted, 50_000.0)
}

// Credit that a daemon did not speak of since it lapsed may have been used to the last.
func TestLapsedCreditOfASilentDaemonStaysCounted(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		ledger := ledgerAt(true, testStart)
		lent := ledger.Answer("a", Request{Tenant: "one", Cost: 100}, testStart).Ahead
		require.Positive(t, lent)
		use := ledger.tenants["one"]
		after := testStart.Add(testBounds.lapse() + settleTime)
		if speaks {
			ledger.RecordContact("a", after)
		}
		ledger.settle(use, after)
		require.Equal(t, !speaks, ledger.outstanding(use, after) > 0)
		ledger.settle(use, after.Add(testBounds.Window))
		require.Zero(t, ledger.outstanding(use, after.Add(testBounds.Window)))
	}
}

func TestCreditCountsFromTheQuestionAndDoesNotComeBack(t *testing.T) {
	account := NewAccount(testBounds)
	ask := account.Request("one", 100, testStart)
	late := testStart.Add(7 * time.Second) // the process stood still
	account.ApplyAnswer(Answer{ID: ask.ID, Granted: true, Renewed: true, Ahead: 500}, late)
	require.Equal(t, 500.0, account.Ahead("one", late))
	lapsed := testStart.Add(testBounds.lapse())
	require.Zero(t, account.Ahead("one", lapsed))
	require.False(t, account.UseCredit("one", 1, lapsed))

	ask = account.Request("one", 100, lapsed)
	account.ApplyAnswer(Answer{ID: ask.ID, Granted: true, Renewed: true, Ahead: 20}, lapsed)
	require.Equal(t, 20.0, account.Ahead("one", lapsed), "the rest may be lent to others by now")
}

func TestAGrantWhoseRequestWaitsNoLongerIsGivenBack(t *testing.T) {
	account := NewAccount(testBounds)
	ask := account.Request("one", 100, testStart)
	account.Abandon(ask.ID)
	require.Equal(t, &Refund{Tenant: "one", Cost: 100, Slot: 7}, account.ApplyAnswer(Answer{ID: ask.ID, Granted: true, Slot: 7}, testStart))
	require.Nil(t, account.ApplyAnswer(Answer{ID: ask.ID, Granted: true, Slot: 7}, testStart), "once")
}

func TestUseIsReportedUntilItIsConfirmed(t *testing.T) {
	account := NewAccount(testBounds)
	ask := account.Request("one", 100, testStart)
	account.ApplyAnswer(Answer{ID: ask.ID, Granted: true, Renewed: true, Ahead: 500}, testStart)
	require.True(t, account.UseCredit("one", 300, testStart))
	require.False(t, account.UseCredit("one", 300, testStart))
	_, used := account.ReportUsage()
	require.Equal(t, map[string]float64{"one": 300}, used)
	account.HandleDisconnect()
	number, used := account.ReportUsage()
	require.Equal(t, map[string]float64{"one": 300}, used)
	account.ConfirmReport(number)
	account.HandleDisconnect()
	_, used = account.ReportUsage()
	require.Empty(t, used)
	require.Equal(t, 200.0, account.Ahead("one", testStart))
}

// A holder that is not sure of its lease grants no more than what was called in.
func TestCalledInCreditIsGrantedOnceToAnybody(t *testing.T) {
	ledger := ledgerAt(true, testStart)
	lent := ledger.Answer("a", Request{Tenant: "one", Cost: 100}, testStart).Ahead
	use := ledger.tenants["one"]
	before := ledger.outstanding(use, testStart)
	require.False(t, ledger.AnswerUncertain("b", Request{Tenant: "one", Cost: lent}, testStart).Granted)
	credits := []Credit{{Tenant: "one", Left: lent, TTL: time.Second}}
	ledger.AcceptReturned("a", credits, testStart)
	ledger.AcceptReturned("a", credits, testStart) // said twice
	require.Equal(t, before, ledger.outstanding(use, testStart))
	require.True(t, ledger.AnswerUncertain("b", Request{Tenant: "one", Cost: lent}, testStart).Granted)
	refused := ledger.AnswerUncertain("b", Request{Tenant: "one", Cost: 1}, testStart)
	require.False(t, refused.Granted)
	require.Positive(t, refused.RetryIn)

	ledger.AcceptReturned("a", credits, testStart)
	require.False(t, ledger.AnswerUncertain("b", Request{Tenant: "one", Cost: 1}, testStart.Add(time.Second)).Granted, "it has lapsed")
}

// A daemon that connects again does not have its credit of this term counted as an earlier
// holder's.
func TestCreditOfThisTermIsNotAdopted(t *testing.T) {
	ledger := ledgerAt(false, testStart)
	now := testStart.Add(4 * time.Second)
	lent := ledger.Answer("a", Request{Tenant: "one", Cost: 100}, now).Ahead
	require.Positive(t, lent)
	use := ledger.tenants["one"]
	before := ledger.outstanding(use, now)
	ledger.Adopt("a", []Credit{{Tenant: "one", Left: lent, TTL: time.Second}}, now)
	require.Equal(t, before, ledger.outstanding(use, now))
	ledger.Adopt("b", []Credit{{Tenant: "one", Left: 50, TTL: time.Second}}, now)
	require.Equal(t, before, ledger.outstanding(use, now), "an earlier holder's is counted already")
}
