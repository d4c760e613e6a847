package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers that compete, beside a standby that holds the credit.

// newCompetitionWithStandby returns a model of callers that compete, whose leaders appoint standbys.
func newCompetitionWithStandby(seed uint64, daemons int, limits map[string]Limit) (*model, *returns) {
	m, returns := newCompetition(seed, daemons, limits)
	m.withStandby = true
	return m, returns
}

// newFaultyCompetitionWithStandby returns a model of callers that compete, whose standby and leader are lost at
// random times beside other faults.
func newFaultyCompetitionWithStandby(seed uint64) (*model, *returns) {
	const daemons = 60
	m, returns := newCompetitionWithStandby(seed, daemons, map[string]Limit{
		"small": {PerSecond: 20_000, Burst: 20_000}, "large": {PerSecond: 40_000 + 50_000*float64(seed%3), Burst: 40_000 * float64(1+seed%4)},
	})
	m.faultyStandby = true
	if seed%2 == 0 { // the slack of one request
		m.bounds.Slack = 11_000
		m.startTerm(true, 0)
	}
	for _, tenant := range m.tenants() {
		limit := m.limits[tenant]
		loadFactor := 0.5 + 5*m.random.Float64()
		idle := m.random.Float64() < 0.5
		returns.latest = time.Duration(m.random.Float64() * 2 * float64(time.Second))
		returns.generate(tenant, func() float64 {
			if idle && int(m.now.Unix())%8 < 5 {
				return limit.PerSecond / 10
			}
			return loadFactor * limit.PerSecond
		}, func() int { return m.random.IntN(3) }, 0.1*m.random.Float64())
	}
	m.injectFaults(faultyStandbyRunLength)
	m.loseStandbyOrLeader(faultyStandbyRunLength)
	return m, returns
}

func TestNoWindowExceedsLimitWithReservationsAndStandby(t *testing.T) {
	const seeds = 300
	kept, due := 0, 0
	for seed := range uint64(seeds) {
		m, returns := newFaultyCompetitionWithStandby(seed)
		m.run(faultyStandbyRunLength)
		for tenant := range m.limits {
			require.LessOrEqual(t, m.maxUtilization(tenant), 1.0, "seed %d, %s", seed, tenant)
		}
		sum := returns.sum("", "")
		kept, due = kept+sum.kept, due+sum.due
	}
	require.NotZero(t, due)
	t.Logf("%d of %d reservations kept beside faults", kept, due)
}

// The standby's credit costs no reservation, and little of the limit.
func TestReservationsAreKeptBesideStandby(t *testing.T) {
	due, kept := 0, 0
	for seed := range uint64(20) {
		limit := Limit{PerSecond: 20_000 + 20_000*float64(seed%6), Burst: 20_000 + 20_000*float64(seed%6)}
		m, returns := newCompetitionWithStandby(seed, 80, map[string]Limit{"one": limit})
		returns.generate("one", func() float64 { return 3 * limit.PerSecond }, onePriority, 0)
		const length = 40 * time.Second
		m.run(length)
		sum := returns.sum("", "")
		due, kept = due+sum.due, kept+sum.kept
		require.LessOrEqual(t, m.maxUtilization("one"), 1.0)
		require.GreaterOrEqual(t, m.granted["one"], 0.95*limit.PerSecond*length.Seconds())
		require.NotNil(t, m.leader.standby.daemon)
		usage := m.leader.ledger.tenants["one"]
		t.Logf("%.0f per second: %d of %d, credit %.2f of what is kept for a loss", limit.PerSecond, sum.kept, sum.due, usage.creditTotal/usage.minStandbyCredit())
	}
	t.Logf("%d of %d", kept, due)
	require.NotZero(t, due)
	require.GreaterOrEqual(t, float64(kept), minKeptShare*float64(due))
}

// Credit is not granted to the standby from what is reserved.
func TestStandbyGetsNoReservedTokens(t *testing.T) {
	ledger := exhausted()
	cost := 2 * testBounds.overdraft() // needs what the bucket holds
	refused := ledger.Answer("a", claimed(1, cost), testStart)
	require.True(t, refused.Reserved)
	due := testStart.Add(refused.RetryIn)
	ledger.Sync("standby", SyncRequest{ID: 1}, due)
	returned := ledger.Answer("b", claimed(1, cost), due)
	require.True(t, returned.Redeemed)
}

// Neither a newcomer nor a return gets more than the bucket with one overdraft.
func TestOverdraftOfCompetingRequestsIsBounded(t *testing.T) {
	ledger := exhausted()
	cost := 2 * testBounds.overdraft()
	now := testStart.Add(100 * time.Millisecond)
	newcomer := ledger.Answer("a", claimed(1, cost), now)
	require.True(t, newcomer.Reserved, "the bucket holds something, but too little")
	due := now.Add(newcomer.RetryIn)
	ledger.RecordUsage("silent", "one", cost, due) // credit that was not known of
	returned := ledger.Answer("a", claimed(1, cost), due)
	require.False(t, returned.Granted)
	require.True(t, returned.Reserved, "it is kept for later")
	require.True(t, ledger.Answer("a", claimed(1, cost), due.Add(returned.RetryIn)).Redeemed)
}

// Who is refused while the standby has credit for it is served there, and gets no reservation.
func TestRequestThatStandbyServesGetsNoReservation(t *testing.T) {
	ledger := ledgerAt(true, testStart)
	ledger.Sync("standby", SyncRequest{ID: 1}, testStart)
	refused := Answer{Granted: true}
	for number := 0; refused.Granted; number++ {
		refused = ledger.Answer("a", claimed(number, 100), testStart)
	}
	require.True(t, refused.Unsettled)
	require.False(t, refused.Reserved)
}

// A new leader keeps what callers were told by the daemons of the earlier one, beside marks.
func TestReservationsOutliveALeaderWithStandby(t *testing.T) {
	limit := Limit{PerSecond: 137_000, Burst: 137_000}
	due, kept := 0, 0
	for seed := range uint64(20) {
		m, returns := newCompetitionWithStandby(seed, 80, map[string]Limit{"one": limit})
		returns.generate("one", func() float64 { return 3 * limit.PerSecond }, onePriority, 0)
		m.run(15 * time.Second)
		m.loseLeader()
		m.startTerm(false, 200*time.Millisecond)
		before := returns.sum("", "")
		m.run(4 * time.Second)
		after := returns.sum("", "")
		due, kept = due+after.due-before.due, kept+after.kept-before.kept
		require.LessOrEqual(t, m.maxUtilization("one"), 1.0)
	}
	t.Logf("%d of %d", kept, due)
	require.GreaterOrEqual(t, float64(kept), 0.8*float64(due))
}
