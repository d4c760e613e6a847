package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// termScenario is a standby that hears nothing from its leader, and leaders that grant all they may.
type termScenario struct {
	limit   Limit
	account *Account
	ledger  *Ledger // of the leader; nil if there is none
	now     time.Time
	used    []admission // in the current window
	sum     float64     // of used
	maxUsed float64     // in any window
}

// use records usage and keeps that within the window.
func (p *termScenario) use(cost float64) {
	p.used, p.sum = append(p.used, admission{p.now, cost}), p.sum+cost
	for p.now.Sub(p.used[0].at) > tightBounds.Window {
		p.sum -= p.used[0].cost
		p.used = p.used[1:]
	}
	p.maxUsed = max(p.maxUsed, p.sum)
}

const (
	scenarioStep = 10 * time.Millisecond
	testLease    = 1200 * time.Millisecond // left of the term at a sync
)

// tightBounds leave so little slack that an overdraft does not hide credit that a leader does not know of.
var tightBounds = Bounds{Window: testBounds.Window, Overshoot: testBounds.Overshoot, Slack: 100}

// beginTerm begins a term under tightBounds. It takes into account that the leader before was last active at a time;
// zero: its lease has expired.
func (p *termScenario) beginTerm(first bool, lastActive time.Time) {
	p.ledger = NewLedger(tightBounds, first, p.now)
	p.ledger.BeginEarly(lastActive)
	p.ledger.SetLimits(map[string]Limit{"one": p.limit}, p.now)
}

// newTermScenario returns a scenario in which the standby has synced for two seconds, in the second one beside a burst if
// there is one.
func newTermScenario(limit Limit, burst bool) *termScenario {
	p := &termScenario{limit: limit, account: NewAccount(tightBounds), now: testStart}
	p.beginTerm(true, time.Time{})
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
func (p *termScenario) sync(lease time.Duration) {
	p.ledger.RenewTerm(p.now.Add(lease))
	p.ledger.Release("standby", p.account.ApplySync(p.ledger.Sync("standby", p.account.Sync(p.now), p.now), 1, p.now))
}

// spend lets the leader, and the standby if it spends, use all they may for a time.
func (p *termScenario) spend(length time.Duration, standby bool) {
	const cost = 5
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(scenarioStep) {
		if p.ledger != nil {
			for answer := p.ask(cost); answer.Granted; answer = p.ask(cost) {
				p.use(cost + answer.Ahead) // credit may be spent at once
			}
		}
		for standby && p.account.UseCredit("one", cost, p.now) {
			p.use(cost)
		}
	}
}

// ask asks the leader to admit a request of another daemon.
func (p *termScenario) ask(cost float64) Answer {
	return p.ledger.Answer("other", Request{Tenant: "one", Cost: cost}, p.now)
}

// replaceLeader begins a later term. early means that the lease of the one before has not expired.
func (p *termScenario) replaceLeader(early bool) {
	lastActive := time.Time{}
	if early {
		lastActive = p.now
	}
	p.beginTerm(false, lastActive)
}

// joinLeader makes the standby join the leader with its marks.
func (p *termScenario) joinLeader() {
	_, used := p.account.ReportUsage()
	p.ledger.Join("standby", used, p.account.ReportCredits(p.now), p.now)
	p.ledger.AdoptMarks("standby", p.account.TakeMarks(2, p.now), p.now)
}

// Guards against a limit that is passed because the next leader grants what the standby may still spend.
func TestCreditBoundToATermStaysWithinTheLimit(t *testing.T) {
	for name, run := range map[string]func(p *termScenario, standby bool){
		"leader goes on": func(p *termScenario, standby bool) {
			p.spend(testLease, standby)
		},
		"leader goes on and syncs again": func(p *termScenario, standby bool) {
			p.spend(600*time.Millisecond, standby)
			p.sync(testLease)
		},
		"next leader after the lease": func(p *termScenario, standby bool) {
			p.spend(testLease, standby)
			p.replaceLeader(false)
		},
		"leader lost, next one after the lease": func(p *termScenario, standby bool) {
			p.ledger = nil
			p.spend(testLease, standby)
			p.replaceLeader(false)
		},
		"handed over": func(p *termScenario, standby bool) {
			p.spend(300*time.Millisecond, standby)
			p.replaceLeader(true)
		},
		"handed over, marks told later": func(p *termScenario, standby bool) {
			p.spend(300*time.Millisecond, standby)
			p.replaceLeader(true)
			p.spend(500*time.Millisecond, true)
			p.joinLeader()
		},
		"next leader after the lease, burst later": func(p *termScenario, _ bool) {
			p.now = p.now.Add(testLease)
			p.replaceLeader(false)
			p.now = p.now.Add(5 * time.Second) // its bucket is full beside the credit that it assumes
		},
		"handed over, burst later": func(p *termScenario, _ bool) {
			p.replaceLeader(true)
			p.now = p.now.Add(testLease - scenarioStep) // the credit has not ended
		},
	} {
		for _, limit := range []Limit{testLimit, {PerSecond: testLimit.PerSecond, Burst: 8 * testLimit.PerSecond}} {
			for _, burst := range []bool{true, false} {
				for _, standbySpends := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, limit %v, burst %v, standby spends at once %v", name, limit, burst, standbySpends), func(t *testing.T) {
						p := newTermScenario(limit, burst)
						run(p, standbySpends)
						p.spend(2*tightBounds.Window, true)
						require.LessOrEqual(t, p.maxUsed, tightBounds.budgetFor(limit).maxUse-tightBounds.overdraft(), "the other overdraft is for later terms")
					})
				}
			}
		}
	}
}

// requireCredit requires that the standby has a share of the reserve as credit.
func (p *termScenario) requireCredit(t *testing.T, share float64) {
	t.Helper()
	require.InDelta(t, share*tightBounds.budgetFor(p.limit).reserve, p.account.Ahead("one", p.now), 1)
}

func TestCreditBoundToATermEndsWithIt(t *testing.T) {
	p := newTermScenario(testLimit, false)
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
	p := newTermScenario(testLimit, false)
	bound := tightBounds.budgetFor(testLimit).termBound
	require.True(t, p.account.UseCredit("one", bound, p.now))
	p.now = p.now.Add(testLease)
	p.requireCredit(t, standbyCreditShare)
	p.account.RefundCredit("one", bound)
	p.requireCredit(t, standbyCreditShare) // what is refunded has ended as well
}

func TestCreditBoundToATermIsNotTakenToAnother(t *testing.T) {
	p := newTermScenario(testLimit, false)
	reported := p.account.ReportCredits(p.now)
	require.InDelta(t, standbyCreditShare*tightBounds.budgetFor(testLimit).reserve, reported[0].Left, 1)
	p.requireCredit(t, standbyCreditShare)
}

// A reply that a suspended leader sends late, or that arrives late, brings no credit that should have ended.
func TestLateReplyBringsNoCreditBoundToATerm(t *testing.T) {
	p := &termScenario{limit: testLimit, account: NewAccount(tightBounds), now: testStart}
	p.beginTerm(true, time.Time{})
	p.ledger.RenewTerm(p.now.Add(testLease))
	reply := p.ledger.Sync("standby", p.account.Sync(p.now), p.now)
	p.now = p.now.Add(testLease)
	p.account.ApplySync(reply, 1, p.now)
	p.requireCredit(t, standbyCreditShare)
}

// A standby that reconnects reports what it has, and must not return what had ended before once more.
func TestLeaderCountsTheCreditOfAStandbyThatReconnects(t *testing.T) {
	p := newTermScenario(testLimit, false)
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
