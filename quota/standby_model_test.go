package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// modelStandby is the standby of a leader, as one process of a daemon.
type modelStandby struct {
	daemon  *modelDaemon // nil if there is none
	account *Account
	contact time.Time
}

const (
	modelSyncInterval   = 100 * time.Millisecond
	modelStandbyTimeout = 500 * time.Millisecond
	modelSpendTimeout   = 200 * time.Millisecond
	modelPreferredDelay = time.Second
	// modelLateShare is the share of messages to or from the standby that are late by up to modelLateness.
	modelLateShare = 0.03
	modelLateness  = 5 * time.Second
	// modelLossShare is the share of syncs at which the connection breaks before the reply arrives.
	modelLossShare = 0.02
)

// lateDelay is the latency of a message that is late at times.
func (m *model) lateDelay(daemon *modelDaemon) time.Duration {
	if m.faultyStandby && m.random.Float64() < modelLateShare {
		return m.delay(daemon) + time.Duration(m.random.Float64()*float64(modelLateness))
	}
	return m.delay(daemon)
}

// offerMarks makes a daemon that has joined a leader report the marks of an earlier one.
func (m *model) offerMarks(daemon *modelDaemon, leader *modelLeader) {
	account, name := daemon.account, daemon.name
	m.after(m.delay(daemon), func() {
		if daemon.leader != leader || daemon.account != account {
			return
		}
		marks := account.TakeMarks(leader.fence, m.now)
		m.after(m.lateDelay(daemon), func() {
			if leader.ended || daemon.leader != leader {
				return
			}
			leader.ledger.AdoptMarks(name, marks, m.now)
			m.considerStandby(daemon, leader, len(marks) > 0)
		})
	})
}

// considerStandby makes a leader appoint a daemon as the standby if there is none. Without faults a later
// leader waits for the standby of the term before it.
func (m *model) considerStandby(daemon *modelDaemon, leader *modelLeader, hasMarks bool) {
	if !m.faultyStandby && !hasMarks && !leader.ledger.isFirstTerm() && m.now.Sub(leader.ledger.startedAt) < modelPreferredDelay {
		return
	}
	isPresent := leader.standby.daemon != nil && m.now.Sub(leader.standby.contact) <= modelStandbyTimeout
	if !m.withStandby || leader.uncertain || leader.ended || isPresent {
		return
	}
	leader.standby = modelStandby{daemon: daemon, account: daemon.account, contact: m.now}
	m.sync(daemon, leader)
}

// sync makes the standby renew its credit and its marks at regular intervals.
func (m *model) sync(daemon *modelDaemon, leader *modelLeader) {
	account := daemon.account
	if leader.ended || leader.standby.daemon != daemon || leader.standby.account != account || daemon.account != account {
		return
	}
	m.after(modelSyncInterval, func() { m.sync(daemon, leader) })
	if daemon.leader != leader || daemon.partitioned || daemon.pausedUntil.After(m.now) || account.Syncing() {
		return
	}
	daemon.standby = daemon
	name, request := daemon.name, account.Sync(m.now)
	m.after(m.lateDelay(daemon), func() {
		if leader.ended || daemon.leader != leader || daemon.account != account {
			return
		}
		reply := SyncReply{ID: request.ID}
		if !leader.uncertain {
			leader.standby.contact = m.now
			m.renewTerm(leader)
			reply = leader.ledger.Sync(name, request, m.now)
		}
		if m.faultyStandby && m.random.Float64() < modelLossShare {
			daemon.leader = nil
			m.after(modelSyncInterval, func() { m.connect(daemon) })
			return
		}
		m.after(m.lateDelay(daemon), func() { m.applySync(daemon, account, leader, reply) })
	})
}

const (
	modelLease           = 1500 * time.Millisecond
	modelRenewalInterval = modelLease / 3
	modelCertainLease    = modelLease * 8 / 10 // after a renewal
)

// renewTerm tells a ledger until when no other leader begins its term, unless the term is handed over.
func (m *model) renewTerm(leader *modelLeader) {
	until := m.now.Add(modelCertainLease - m.now.Sub(leader.startedAt)%modelRenewalInterval)
	leader.ledger.RenewTerm(until)
	m.termUntil, m.lastActive = later(m.termUntil, until), m.now
}

func (m *model) applySync(daemon *modelDaemon, account *Account, leader *modelLeader, reply SyncReply) {
	if daemon.leader != leader || daemon.account != account {
		return
	}
	name, returned := daemon.name, account.ApplySync(reply, leader.fence, m.now)
	m.after(m.delay(daemon), func() {
		if !leader.ended && !leader.uncertain && daemon.leader == leader {
			leader.ledger.Release(name, returned)
		}
	})
}

// spendAtStandby makes a daemon ask the standby that it knows to admit a request.
func (m *model) spendAtStandby(daemon *modelDaemon, tenant string, cost float64, attempt *attempt, answer Answer) {
	standby := daemon.standby
	if standby == nil || standby == daemon || daemon.partitioned || standby.partitioned {
		m.refuse(daemon, tenant, attempt, answer)
		return
	}
	sent := m.now
	m.after(m.delay(standby), func() {
		spent := standby.account.UseCredit(tenant, cost, m.now)
		m.after(m.delay(daemon), func() {
			if spent && m.now.Sub(sent) <= modelSpendTimeout {
				m.admit(tenant, cost)
				m.returns.served(attempt)
				return
			}
			m.refuse(daemon, tenant, attempt, answer)
		})
	})
}

// loseStandbyOrLeader adds faults at random times: the leader is lost twice within a window, or the
// standby's process ends, with or without the leader.
func (m *model) loseStandbyOrLeader(length time.Duration) {
	moment := func() time.Duration { return time.Duration(m.random.Float64() * float64(length)) }
	replaceLeader := func() {
		m.loseLeader()
		m.after(time.Duration(m.random.Float64()*2*float64(time.Second)), func() {
			if m.leader == nil {
				m.startTerm(false, 500*time.Millisecond)
			}
		})
	}
	for range m.random.IntN(3) {
		first := moment()
		m.after(first-modelBurstLead, func() { m.burstWithSlowStandby() })
		m.after(first, replaceLeader)
		m.after(first+time.Duration(m.random.Float64()*float64(m.bounds.Window)), replaceLeader)
	}
	for range m.random.IntN(3) {
		withLeader := m.random.Float64() < 0.5
		m.after(moment(), func() {
			if m.leader == nil || m.leader.standby.daemon == nil {
				return
			}
			m.restart(m.leader.standby.daemon)
			if withLeader {
				replaceLeader()
			}
		})
	}
}

// modelBurstLead is the time between the start of a burst and the loss of the leader.
const modelBurstLead = 400 * time.Millisecond

// burstWithSlowStandby sends more than the limits allow at once, while the standby is paused at times. A
// burst follows after the loss of the leader.
func (m *model) burstWithSlowStandby() {
	if m.leader != nil && m.leader.standby.daemon != nil && m.random.Float64() < 0.5 {
		m.leader.standby.daemon.pausedUntil = m.now.Add(modelBurstLead + time.Duration(m.random.Float64()*float64(time.Second)))
	}
	for _, tenant := range m.tenants() {
		limit := m.limits[tenant]
		for _, start := range []time.Duration{0, 4 * time.Second} {
			for sent := 0.0; sent < 3*limit.Burst; sent += 2000 {
				m.after(start+time.Duration(m.random.Float64()*float64(modelBurstLead)), func() {
					m.sendRequest(m.daemons[m.random.IntN(len(m.daemons))], tenant, 2000, false)
				})
			}
		}
	}
}

// faultyStandbyRunLength is the length of a run of newFaultyStandbyModel.
const faultyStandbyRunLength = 30 * time.Second

// newFaultyStandbyModel returns a model of a small and a large tenant, whose standby and leader are lost at
// random times beside other faults.
func newFaultyStandbyModel(seed uint64) *model {
	const daemons = 60
	small := Limit{PerSecond: 2700, Burst: 2700}
	large := Limit{PerSecond: 20_000 + 60_000*float64(seed%3), Burst: 20_000 * float64(1+seed%4)}
	m := newModel(seed, daemons, map[string]Limit{"small": small, "large": large})
	m.withStandby, m.faultyStandby = true, true
	for _, tenant := range m.tenants() {
		limit := m.limits[tenant]
		loadFactor := 0.5 + 5*m.random.Float64()
		idle := m.random.Float64() < 0.5
		m.generateLoad(tenant, func() float64 {
			// Bursts after idle times meet full buckets and full credit.
			if idle && int(m.now.Unix())%8 < 5 {
				return limit.PerSecond / 10
			}
			return loadFactor * limit.PerSecond
		}, m.randomDaemons(40), 0.1*m.random.Float64())
	}
	m.injectFaults(faultyStandbyRunLength)
	m.loseStandbyOrLeader(faultyStandbyRunLength)
	return m
}

func TestNoWindowExceedsLimitWithStandby(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		m := newFaultyStandbyModel(seed)
		m.run(faultyStandbyRunLength)
		for tenant := range m.limits {
			require.LessOrEqual(t, m.maxUtilization(tenant), 1.0, "seed %d, %s", seed, tenant)
		}
	}
}

// sixteenTenants returns limits of unequal size.
func sixteenTenants() map[string]Limit {
	limits := map[string]Limit{}
	for number := range 16 {
		perSecond := 20_000 * math.Pow(1.25, float64(number))
		limits[fmt.Sprintf("t%d", number)] = Limit{PerSecond: perSecond, Burst: perSecond}
	}
	return limits
}

// newStandbyModel returns a model of daemons that all tenants use at a share of their limits.
func newStandbyModel(seed uint64, share float64) *model {
	m := newModel(seed, 64, sixteenTenants())
	m.bounds.Slack = 72_000
	m.withStandby = true
	m.startTerm(true, 0)
	m.run(3 * time.Second)
	for _, tenant := range m.tenants() {
		limit := m.limits[tenant]
		m.generateLoad(tenant, func() float64 { return share * limit.PerSecond }, m.daemons, 0)
	}
	return m
}

// requireServed requires that no window exceeds a limit, and that requests within the limits are served.
func (m *model) requireServed(t *testing.T, maxRefusedShare float64) {
	t.Helper()
	requests, refused := 0, 0
	for tenant := range m.limits {
		require.LessOrEqual(t, m.maxUtilization(tenant), 1.0, tenant)
		requests, refused = requests+m.requests[tenant], refused+m.refused[tenant]
	}
	require.LessOrEqual(t, float64(refused), maxRefusedShare*float64(requests), "%d of %d requests refused", refused, requests)
}

// replaceLeaderAfter loses the leader; daemons reach the next one after a delay.
func (m *model) replaceLeaderAfter(delay time.Duration) {
	m.loseLeader()
	m.run(delay)
	m.startTerm(false, 100*time.Millisecond)
}

func TestLeaderLostThreeSecondsAfterFirstRequest(t *testing.T) {
	for seed := range uint64(10) {
		m := newStandbyModel(seed, 0.55)
		m.run(3 * time.Second)
		m.replaceLeaderAfter(2 * time.Second)
		m.run(10 * time.Second)
		m.requireServed(t, 0.005)
	}
}

func TestLeaderLostTwiceWithinWindow(t *testing.T) {
	for seed := range uint64(10) {
		m := newStandbyModel(seed, 0.55)
		m.run(10 * time.Second)
		m.replaceLeaderAfter(1500 * time.Millisecond)
		m.run(4 * time.Second)
		m.replaceLeaderAfter(1500 * time.Millisecond)
		m.run(10 * time.Second)
		m.requireServed(t, 0.01)
	}
}

func TestSixteenTenantsOfUnequalSizeBurstAsUsual(t *testing.T) {
	for seed := range uint64(5) {
		m := newStandbyModel(seed, 0.4)
		m.run(4 * time.Second)
		// A window contains one burst, and less than the rate beside it.
		for range 3 {
			for _, tenant := range m.tenants() {
				limit := m.limits[tenant]
				for sent := 0.0; sent < limit.Burst; sent += 5000 {
					m.after(time.Duration(m.random.Float64()*float64(500*time.Millisecond)), func() {
						m.sendRequest(m.daemons[m.random.IntN(len(m.daemons))], tenant, 5000, false)
					})
				}
			}
			m.run(m.bounds.Window)
		}
		m.requireServed(t, 0)
	}
}
