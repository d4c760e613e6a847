package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// termPlay is a standby that hears nothing from its leader, and leaders that grant all they may.
type termPlay struct {
	account *Account
	ledger  *Ledger // of the leader; nil if there is none
	now     time.Time
	used    []admission
	maxUsed float64 // in a window
}

// use records usage and keeps that within the window.
func (p *termPlay) use(cost float64) {
	p.used = slices.DeleteFunc(append(p.used, admission{p.now, cost}), func(a admission) bool { return p.now.Sub(a.at) > testBounds.Window })
	sum := 0.0
	for _, admitted := range p.used {
		sum += admitted.cost
	}
	p.maxUsed = max(p.maxUsed, sum)
}

const (
	termPlayStep = 10 * time.Millisecond
	testLease    = 1200 * time.Millisecond // left of the term at a sync
)

// newTermPlay returns a play in which the standby has synced for two seconds, in the second one beside a burst if
// there is one.
func newTermPlay(burst bool) *termPlay {
	p := &termPlay{account: NewAccount(testBounds), ledger: ledgerAt(true, testStart), now: testStart}
	for number := range 20 {
		p.sync(testLease)
		if burst && number >= 10 {
			p.spend(modelSyncInterval, false)
		} else {
			p.now = p.now.Add(modelSyncInterval)
		}
	}
	p.sync(testLease)
	return p
}

// sync renews the term and syncs.
func (p *termPlay) sync(lease time.Duration) {
	p.ledger.RenewTerm(p.now.Add(lease))
	p.ledger.Release("standby", p.account.ApplySync(p.ledger.Sync("standby", p.account.Sync(p.now), p.now), 1, p.now))
}

// spend lets the leader, and the standby if it spends, use all they may for a time.
func (p *termPlay) spend(length time.Duration, standby bool) {
	const cost = 5
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(termPlayStep) {
		if p.ledger != nil {
			granted, _ := grantAll(p.ledger, "other", cost, p.now)
			p.use(granted)
		}
		for standby && p.account.UseCredit("one", cost, p.now) {
			p.use(cost)
		}
	}
}

// replaceLeader begins a later term. early means that the lease of the one before has not expired.
func (p *termPlay) replaceLeader(early bool) {
	p.ledger = NewLedger(testBounds, false, p.now)
	if early {
		p.ledger.BeginEarly(p.now)
	}
	p.ledger.SetLimits(map[string]Limit{"one": testLimit}, p.now)
}

// joinLeader makes the standby join the leader with its marks.
func (p *termPlay) joinLeader() {
	_, used := p.account.ReportUsage()
	p.ledger.Join("standby", used, p.account.ReportCredits(p.now), p.now)
	p.ledger.AdoptMarks("standby", p.account.TakeMarks(2, p.now), p.now)
}

// Guards against a limit that is passed because the next leader grants what the standby may still spend.
func TestCreditBoundToATermStaysWithinTheLimit(t *testing.T) {
	for name, play := range map[string]func(p *termPlay, standby bool){
		"leader goes on": func(p *termPlay, standby bool) {
			p.spend(testLease, standby)
		},
		"leader goes on and syncs again": func(p *termPlay, standby bool) {
			p.spend(600*time.Millisecond, standby)
			p.sync(testLease)
		},
		"next leader after the lease": func(p *termPlay, standby bool) {
			p.spend(testLease, standby)
			p.replaceLeader(false)
		},
		"leader lost, next one after the lease": func(p *termPlay, standby bool) {
			p.ledger = nil
			p.spend(testLease, standby)
			p.replaceLeader(false)
		},
		"handed over": func(p *termPlay, standby bool) {
			p.spend(300*time.Millisecond, standby)
			p.replaceLeader(true)
		},
		"handed over, marks told later": func(p *termPlay, standby bool) {
			p.spend(300*time.Millisecond, standby)
			p.replaceLeader(true)
			p.spend(500*time.Millisecond, true)
			p.joinLeader()
		},
	} {
		for _, burst := range []bool{true, false} {
			for _, standbySpends := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, burst %v, standby spends at once %v", name, burst, standbySpends), func(t *testing.T) {
					p := newTermPlay(burst)
					play(p, standbySpends)
					p.spend(2*testBounds.Window, true)
					require.LessOrEqual(t, p.maxUsed, testBounds.budgetFor(testLimit).maxUse-testBounds.overdraft(), "the other overdraft is for later terms")
				})
			}
		}
	}
}

// requireCredit requires that the standby has a share of the reserve as credit.
func (p *termPlay) requireCredit(t *testing.T, share float64) {
	t.Helper()
	require.InDelta(t, share*testBounds.budgetFor(testLimit).reserve, p.account.Ahead("one", p.now), 1)
}

func TestCreditBoundToATermEndsWithIt(t *testing.T) {
	p := newTermPlay(false)
	p.requireCredit(t, standbyCreditShare+termBoundShare)
	p.now = p.now.Add(testLease - time.Millisecond)
	p.requireCredit(t, standbyCreditShare+termBoundShare)
	p.now = p.now.Add(time.Millisecond)
	p.requireCredit(t, standbyCreditShare)
	p.sync(testLease)
	p.requireCredit(t, standbyCreditShare)
	p.now = p.now.Add(modelSyncInterval)
	p.sync(testLease)
	p.requireCredit(t, standbyCreditShare+termBoundShare) // the leader has learned that it ended
}

func TestCreditBoundToATermIsSpentFirst(t *testing.T) {
	p := newTermPlay(false)
	bound := testBounds.budgetFor(testLimit).termBound
	require.True(t, p.account.UseCredit("one", bound, p.now))
	p.now = p.now.Add(testLease)
	p.requireCredit(t, standbyCreditShare)
	p.account.RefundCredit("one", bound)
	p.requireCredit(t, standbyCreditShare) // what is refunded has ended as well
}

func TestCreditBoundToATermIsNotTakenToAnother(t *testing.T) {
	p := newTermPlay(false)
	reported := p.account.ReportCredits(p.now)
	require.InDelta(t, standbyCreditShare*testBounds.budgetFor(testLimit).reserve, reported[0].Left, 1)
	p.requireCredit(t, standbyCreditShare)
}

// A reply that a suspended leader sends late, or that arrives late, brings no credit that should have ended.
func TestLateReplyBringsNoCreditBoundToATerm(t *testing.T) {
	ledger := ledgerAt(true, testStart)
	ledger.RenewTerm(testStart.Add(testLease))
	p := &termPlay{account: NewAccount(testBounds), now: testStart.Add(testLease)}
	p.account.ApplySync(ledger.Sync("standby", p.account.Sync(testStart), testStart), 1, p.now)
	p.requireCredit(t, standbyCreditShare)
}

// A standby that reconnects reports what it has, and must not return what had ended before once more.
func TestLeaderCountsTheCreditOfAStandbyThatReconnects(t *testing.T) {
	p := newTermPlay(false)
	p.now = p.now.Add(testLease)
	p.requireCredit(t, standbyCreditShare)
	p.account.HandleDisconnect()
	p.joinLeader()
	for range 3 {
		p.now = p.now.Add(modelSyncInterval)
		p.sync(testLease)
		require.Equal(t, p.account.Ahead("one", p.now), p.ledger.tenants["one"].creditTotal)
	}
}

func TestCreditIsBoundToCertainTermsOnly(t *testing.T) {
	for name, example := range map[string]struct {
		termBound bool // the standby knows of credit that is bound to a term
		lease     time.Duration
		share     float64
	}{
		"certain":            {true, testLease, standbyCreditShare + termBoundShare},
		"not certain":        {true, 0, standbyCreditShare},
		"standby is earlier": {false, testLease, standbyCreditShare},
	} {
		ledger, ahead := ledgerAt(true, testStart), 0.0
		for id := uint64(1); id <= 20; id++ {
			now := testStart.Add(time.Duration(id) * modelSyncInterval)
			ledger.RenewTerm(now.Add(example.lease))
			ahead += ledger.Sync("standby", SyncRequest{ID: id, Acked: id - 1, TermBound: example.termBound}, now).Shares[0].Ahead
		}
		require.InDelta(t, example.share*testBounds.budgetFor(testLimit).reserve, ahead, 1, name)
	}
	account := NewAccount(testBounds)
	account.ApplySync(SyncReply{ID: account.Sync(testStart).ID, Shares: []StandbyShare{{Tenant: "one", Ahead: 100, Keep: 100}}}, 1, testStart)
	require.Equal(t, 100.0, account.Ahead("one", testStart.Add(testLease)), "a leader of an earlier version binds no credit")
}

// Credit that was bound to the term before counts as spent once it has ended.
func TestEarlyTermCountsEndedCreditAsSpent(t *testing.T) {
	ledger := NewLedger(testBounds, false, testStart)
	ledger.BeginEarly(testStart)
	ledger.SetLimits(map[string]Limit{"one": testLimit}, testStart)
	usage, ended := ledger.tenants["one"], testStart.Add(maxTermBoundTTL+settleDelay)
	ledger.refresh(usage, ended.Add(-time.Nanosecond))
	before := ledger.held(usage)
	ledger.refresh(usage, ended)
	require.InDelta(t, before, ledger.held(usage), 1)
	require.InDelta(t, testBounds.budgetFor(testLimit).inheritable(), usage.unknownCredit, 1)
}

// A term that begins before the lease of the one before has expired holds credit back that is bound to that term.
func TestEarlyTermHoldsBackCreditBoundToTheOneBefore(t *testing.T) {
	budget := testBounds.budgetFor(testLimit)
	gathered := func(lastActive time.Time, after time.Duration) float64 {
		ledger := NewLedger(testBounds, false, testStart)
		ledger.BeginEarly(lastActive)
		ledger.SetLimits(map[string]Limit{"one": testLimit}, testStart)
		usage := ledger.tenants["one"]
		ledger.refresh(usage, testStart)
		require.InDelta(t, budget.reserve, ledger.held(usage), 1)
		ledger.refresh(usage, testStart.Add(after))
		return ledger.available(usage)
	}
	const idle = 1500 * time.Millisecond // for long enough to fill a bucket beside the credit
	require.InDelta(t, budget.reserve-budget.inheritable()-budget.termBound, gathered(testStart, idle), 1)
	require.InDelta(t, budget.reserve-budget.inheritable(), gathered(testStart, 2*maxTermBoundTTL+settleDelay), 1)
	require.InDelta(t, budget.reserve-budget.inheritable(), gathered(testStart.Add(-maxTermBoundTTL), idle), 1)
	require.InDelta(t, budget.reserve-budget.inheritable(), gathered(time.Time{}, idle), 1)
}
