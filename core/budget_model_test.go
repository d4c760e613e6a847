package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model runs the retry budgets of all daemons of a fleet in simulated time: processes end and start again,
// attach to leaders that come and go, are partitioned from them and suspended. While replicas reject, each
// request asks for as many retries as one may get.

const (
	budgetModelStep     = 20 * time.Millisecond
	budgetModelDuration = 40 * time.Second
	budgetWindow        = 10 * time.Second // within which retries are limited
	leaderHeartbeat     = 2 * time.Second
	// policyMargin is the part of the operator's limits that the policy leaves unused.
	policyMargin = 0.3
)

// modelLimits are the operator's limits on the retries of all daemons in any window.
type modelLimits struct {
	ratio float64 // retries per request
	slack float64 // retries in addition
}

func (l modelLimits) policy() RetryPolicy {
	return RetryPolicy{Ratio: (1 - policyMargin) * l.ratio, Reserve: (1 - policyMargin) * l.slack, Window: budgetWindow}
}

// modelProcess is a daemon's current process.
type modelProcess struct {
	core           *Core
	startsAt       time.Time // it does not run before
	attachesAt     time.Time // it is not connected to the leader before
	partitionedTo  time.Time
	suspendedTo    time.Time
	nextHeartbeat  time.Time
	requestsWeight float64 // share of the requests relative to other daemons
}

type budgetModel struct {
	random    *rand.Rand
	now       time.Time
	limits    modelLimits
	processes []*modelProcess
	leaderAt  time.Time // when the leader began to count attached daemons
	requests  []time.Time
	retries   []time.Time
}

func newBudgetModel(seed uint64, daemons int, limits modelLimits) *budgetModel {
	m := &budgetModel{random: rand.New(rand.NewPCG(seed, 0)), now: time.Now(), limits: limits}
	for range daemons {
		process := &modelProcess{requestsWeight: 0.5 + m.random.Float64()}
		m.processes = append(m.processes, process)
		m.start(process, 0)
	}
	return m
}

// start replaces a daemon's process by a new one that runs after a delay.
func (m *budgetModel) start(process *modelProcess, delay time.Duration) {
	process.core = &Core{Retries: m.limits.policy(), Now: func() time.Time { return m.now }, Draw: m.random.Float64}
	process.startsAt = m.now.Add(delay)
	process.attachesAt = process.startsAt.Add(m.duration(100*time.Millisecond, time.Second))
	process.nextHeartbeat = process.attachesAt
}

func (m *budgetModel) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *budgetModel) runs(process *modelProcess) bool {
	return !m.now.Before(process.startsAt) && !m.now.Before(process.suspendedTo)
}

func (m *budgetModel) attached(process *modelProcess) bool {
	return !m.now.Before(process.startsAt) && !m.now.Before(process.attachesAt) && !m.now.Before(process.partitionedTo) && !m.now.Before(m.leaderAt)
}

// replaceLeader has all daemons attach to another leader, one after the other.
func (m *budgetModel) replaceLeader(after time.Duration) {
	m.leaderAt = m.now.Add(after)
	for _, process := range m.processes {
		process.attachesAt = m.leaderAt.Add(m.duration(0, time.Second))
		process.nextHeartbeat = process.attachesAt
	}
}

// heartbeat tells the attached daemons how many they are.
func (m *budgetModel) heartbeat() {
	count := 0
	for _, process := range m.processes {
		if m.attached(process) {
			count++
		}
	}
	for _, process := range m.processes {
		if m.attached(process) && m.runs(process) && !m.now.Before(process.nextHeartbeat) {
			process.core.SetDaemonCount(count)
			process.nextHeartbeat = m.now.Add(leaderHeartbeat)
		}
	}
}

// serveRequests serves the requests of one step; each asks for maxDispatches-1 retries while rejected.
func (m *budgetModel) serveRequests(perSecond float64, rejected bool) {
	total := 0.0
	for _, process := range m.processes {
		total += process.requestsWeight
	}
	for _, process := range m.processes {
		expected := perSecond * budgetModelStep.Seconds() * process.requestsWeight / total
		if m.random.Float64() >= expected {
			continue
		}
		m.requests = append(m.requests, m.now)
		if !m.runs(process) {
			continue
		}
		process.core.depositRetry("press")
		for retry := 1; rejected && retry < maxDispatches; retry++ {
			if allowed, _ := process.core.withdrawRetry("press"); !allowed {
				break
			}
			m.retries = append(m.retries, m.now)
		}
	}
}

// excess returns by how much the retries of a window exceed the operator's limits at most, and that window's
// counts. Requests are those of the window, of the one before or of the one half a window earlier,
// whichever are most.
func (m *budgetModel) excess(from, to time.Time) (worst float64, detail string) {
	worst = -m.limits.slack
	for at := from; !at.Add(budgetWindow).After(to); at = at.Add(budgetWindow / 100) {
		retries, requests := countWithin(m.retries, at), 0
		for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			requests = max(requests, countWithin(m.requests, at.Add(-earlier)))
		}
		allowed := m.limits.ratio*float64(requests) + m.limits.slack
		if excess := float64(retries) - allowed; excess > worst {
			worst, detail = excess, fmt.Sprintf("%d retries for %d requests; allowed %.0f", retries, requests, allowed)
		}
	}
	return worst, detail
}

// countWithin counts the sorted times that lie within the window that begins at from.
func countWithin(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return end - first
}

// modelFleet is a fleet of the sizes that are served today.
type modelFleet struct {
	daemons   int
	perSecond float64 // requests
	limits    modelLimits
}

var modelFleets = []modelFleet{
	{daemons: 1, perSecond: 10, limits: modelLimits{0.2, 52}},
	{daemons: 6, perSecond: 40, limits: modelLimits{0.2, 52}},
	{daemons: 69, perSecond: 235, limits: modelLimits{0.2, 178}},
	{daemons: 985, perSecond: 262, limits: modelLimits{0.2, 1040}},
}

// modelFault disturbs a fleet at one moment.
type modelFault func(m *budgetModel)

// killShare kills a share of the processes, which start again half a second later.
func killShare(share float64) modelFault {
	return func(m *budgetModel) {
		for _, process := range m.processes {
			if m.random.Float64() < share {
				m.start(process, 500*time.Millisecond)
			}
		}
		if m.random.Float64() < share { // the leader's process was among them
			m.replaceLeader(m.duration(500*time.Millisecond, 3*time.Second))
		}
	}
}

// partitionShare partitions a share of the daemons from the leader.
func partitionShare(share float64, duration time.Duration) modelFault {
	return func(m *budgetModel) {
		for _, process := range m.processes {
			if m.random.Float64() < share {
				process.partitionedTo = m.now.Add(duration)
			}
		}
	}
}

// suspendShare suspends a share of the processes.
func suspendShare(share float64, duration time.Duration) modelFault {
	return func(m *budgetModel) {
		for _, process := range m.processes {
			if m.random.Float64() < share {
				process.suspendedTo = m.now.Add(duration)
			}
		}
	}
}

// addDaemons adds as many daemons as there are, which attach one after the other.
func addDaemons(m *budgetModel) {
	for range len(m.processes) {
		process := &modelProcess{requestsWeight: 0.5 + m.random.Float64()}
		m.processes = append(m.processes, process)
		m.start(process, m.duration(0, 2*time.Second))
	}
}

// series repeats a fault at random intervals until a time.
func series(fault modelFault, low, high, until time.Duration) func(*rand.Rand) map[time.Duration][]modelFault {
	return func(random *rand.Rand) map[time.Duration][]modelFault {
		faults := map[time.Duration][]modelFault{}
		for at := 14 * time.Second; at < until; at += low + time.Duration(random.Int64N(int64(high-low+1))) {
			step := at.Truncate(budgetModelStep)
			faults[step] = append(faults[step], fault)
		}
		return faults
	}
}

// run plays faults, by the time since the start, while replicas reject everything between two times.
func (m *budgetModel) run(perSecond float64, faults map[time.Duration][]modelFault, rejectFrom, rejectUntil time.Duration) {
	startedAt := m.now
	for elapsed := time.Duration(0); elapsed < budgetModelDuration; elapsed += budgetModelStep {
		m.now = startedAt.Add(elapsed)
		for _, fault := range faults[elapsed] {
			fault(m)
		}
		m.heartbeat()
		m.serveRequests(perSecond, elapsed >= rejectFrom && elapsed < rejectUntil)
	}
}

// Guards against processes that start with a full retry budget, so that the retries of a service grow with the
// number of process starts, and against shares of a budget that do not add up while daemons are partitioned.
func TestRetriesOfAllDaemonsStayWithinTheBudgetWhileProcessesRestart(t *testing.T) {
	schedules := map[string]func(*rand.Rand) map[time.Duration][]modelFault{
		"restarts in series":        series(killShare(0.6), time.Second, 3*time.Second, 30*time.Second),
		"restarts of all in series": series(killShare(1), 2*time.Second, 5*time.Second, 30*time.Second),
		"partitions":                series(partitionShare(0.5, 15*time.Second), 8*time.Second, 12*time.Second, 30*time.Second),
		"suspensions":               series(suspendShare(0.5, 4*time.Second), 3*time.Second, 6*time.Second, 30*time.Second),
		"daemons added":             series(addDaemons, 16*time.Second, 16*time.Second, 30*time.Second),
		"leaders in series":         series(func(m *budgetModel) { m.replaceLeader(m.duration(0, 3*time.Second)) }, time.Second, 4*time.Second, 30*time.Second),
		"all together": func(random *rand.Rand) map[time.Duration][]modelFault {
			faults := series(killShare(0.6), time.Second, 4*time.Second, 30*time.Second)(random)
			for at, more := range series(partitionShare(0.5, 12*time.Second), 4*time.Second, 9*time.Second, 30*time.Second)(random) {
				faults[at] = append(faults[at], more...)
			}
			for at, more := range series(suspendShare(0.4, 3*time.Second), 3*time.Second, 6*time.Second, 30*time.Second)(random) {
				faults[at] = append(faults[at], more...)
			}
			return faults
		},
	}
	for _, modelled := range modelFleets {
		for name, schedule := range schedules {
			t.Run(fmt.Sprintf("%d daemons, %s", modelled.daemons, name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(5) {
					m := newBudgetModel(seed, modelled.daemons, modelled.limits)
					startedAt := m.now
					m.run(modelled.perSecond, schedule(rand.New(rand.NewPCG(seed, 1))), 14*time.Second, 34*time.Second)
					excess, detail := m.excess(startedAt.Add(budgetWindow), m.now)
					require.LessOrEqual(t, excess, 0.0, "seed %d: %s", seed, detail)
				}
			})
		}
	}
}

// Guards against a budget that keeps the rules because nearly nothing is retried.
func TestRetryBudgetIsUsedWhileReplicasReject(t *testing.T) {
	for _, modelled := range modelFleets {
		t.Run(fmt.Sprintf("%d daemons", modelled.daemons), func(t *testing.T) {
			t.Parallel()
			m := newBudgetModel(1, modelled.daemons, modelled.limits)
			startedAt := m.now
			const rejectFrom = 26 * time.Second
			m.run(modelled.perSecond, nil, rejectFrom, rejectFrom+budgetWindow)
			retries, requests := countWithin(m.retries, startedAt.Add(rejectFrom)), countWithin(m.requests, startedAt.Add(rejectFrom))
			policy := modelled.limits.policy()
			promised := policy.Reserve + policy.Ratio*float64(requests)
			require.GreaterOrEqual(t, float64(retries), 0.9*promised, "%d retries for %d requests", retries, requests)
		})
	}
}
