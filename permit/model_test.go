package permit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/testwindow"
)

// The model simulates daemons that send requests to one replica, their leader, and messages that are
// delayed or lost. The tests compare the arrivals at the replica with its limit.

// strategy is how daemons share a limit.
type strategy int

const (
	coordinated   strategy = iota // permits of the leader; local shares without one
	evenShares                    // an even share of the limit per daemon, without a burst
	uncoordinated                 // the full limit per daemon
)

func (s strategy) String() string { return [...]string{"leader", "even", "none"}[s] }

const (
	modelWindow        = 4 * time.Second
	modelLatency       = 2 * time.Millisecond   // mean, one way
	modelSlowConnect   = 400 * time.Millisecond // delay of a slow connection
	modelLeaderTimeout = 150 * time.Millisecond // for the leader's answer
	modelFallbackDelay = 6 * time.Second        // without an answer until daemons use local shares
)

// modelLeader is the leader during one term.
type modelLeader struct {
	pacer       *Pacer
	pausedUntil time.Time // end of a process pause
	ended       bool
}

type modelDaemon struct {
	shares       *LocalShares
	leader       *modelLeader // nil while disconnected
	lastAnswerAt time.Time
	pausedUntil  time.Time // end of a process pause
	next         time.Time // next slot, for strategies without a leader
}

type model struct {
	strategy  strategy
	perSecond float64
	mutex     sync.Mutex // guards all fields
	random    *rand.Rand
	daemons   []*modelDaemon
	leader    *modelLeader
	lossRate  float64 // share of lost answers
	arrivals  []time.Time
	requested int // requests that reached a leader
}

func newModel(strategy strategy, seed uint64, daemons int, perSecond float64) *model {
	m := &model{strategy: strategy, perSecond: perSecond, random: rand.New(rand.NewPCG(seed, 3))}
	m.leader = &modelLeader{pacer: NewPacer(true, time.Now())}
	for range daemons {
		interval := float64(daemons) / perSecond * float64(time.Second)
		m.daemons = append(m.daemons, &modelDaemon{shares: NewLocalShares(m.random.Float64), leader: m.leader, lastAnswerAt: time.Now(),
			next: time.Now().Add(time.Duration(m.random.Float64() * interval))})
	}
	return m
}

// withLock runs a step of the model atomically.
func (m *model) withLock(step func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	step()
}

func (m *model) sleepLatency() {
	var latency time.Duration
	m.withLock(func() { latency = time.Duration(m.random.ExpFloat64() * float64(modelLatency)) })
	time.Sleep(latency)
}

// runCallers sends requests to random daemons at a rate, until a given time.
func (m *model) runCallers(perSecond float64, maxWait time.Duration, until time.Time) {
	var group sync.WaitGroup
	for time.Now().Before(until) {
		var interval time.Duration
		var daemon *modelDaemon
		m.withLock(func() {
			interval = time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
			daemon = m.daemons[m.random.IntN(len(m.daemons))]
		})
		time.Sleep(interval)
		group.Go(func() { m.sendRequest(daemon, maxWait) })
	}
	group.Wait()
}

// sendRequest sends one request to the replica, unless it gets no permit within maxWait.
func (m *model) sendRequest(daemon *modelDaemon, maxWait time.Duration) {
	for deadline := time.Now().Add(maxWait); ; {
		requestedAt := time.Now()
		answer := m.requestPermit(daemon, time.Until(deadline))
		if !answer.Granted {
			if time.Now().Add(answer.RetryIn).After(deadline) {
				return
			}
			time.Sleep(answer.RetryIn)
			continue
		}
		expiresAt := requestedAt.Add(answer.Delay + Validity)
		time.Sleep(answer.Delay)
		m.openConnection()
		m.waitUntilResumed(&daemon.pausedUntil)
		if time.Now().After(expiresAt) {
			continue // the permit has expired
		}
		m.sleepLatency()
		m.withLock(func() { m.arrivals = append(m.arrivals, time.Now()) })
		return
	}
}

// openConnection simulates opening a connection; one in twenty is slow.
func (m *model) openConnection() {
	slow := false
	m.withLock(func() { slow = m.random.IntN(20) == 0 })
	if slow {
		time.Sleep(modelSlowConnect)
	}
}

// waitUntilResumed waits for the end of a process pause.
func (m *model) waitUntilResumed(pausedUntil *time.Time) {
	var until time.Time
	m.withLock(func() { until = *pausedUntil })
	time.Sleep(time.Until(until))
}

func (m *model) requestPermit(daemon *modelDaemon, maxWait time.Duration) (answer Answer) {
	request := Request{Replica: fleet.Incarnation{ID: "r1"}, PerSecond: m.perSecond, MaxWait: maxWait}
	if m.strategy != coordinated {
		m.withLock(func() { answer = m.decideLocally(daemon) })
		return answer
	}
	began := time.Now()
	var leader *modelLeader
	m.withLock(func() { leader = daemon.leader })
	if leader != nil {
		if answer, answered := m.requestFromLeader(daemon, leader, request, began); answered {
			return answer
		}
	}
	m.withLock(func() {
		answer = Answer{RetryIn: 300 * time.Millisecond}
		if time.Since(daemon.lastAnswerAt) > modelFallbackDelay {
			answer = daemon.shares.Request(request, len(m.daemons), time.Now())
		}
	})
	return answer
}

// requestFromLeader asks the leader for a permit; answered is false on a timeout.
func (m *model) requestFromLeader(daemon *modelDaemon, leader *modelLeader, requested Request, began time.Time) (answer Answer, answered bool) {
	m.sleepLatency()
	m.waitUntilResumed(&leader.pausedUntil)
	m.withLock(func() {
		if leader.ended || daemon.leader != leader {
			return
		}
		m.requested++
		answer, answered = leader.pacer.Request(requested, m.reachableShare(leader), time.Now()), true
	})
	m.sleepLatency()
	m.waitUntilResumed(&daemon.pausedUntil)
	m.withLock(func() {
		lost := answered && m.random.Float64() < m.lossRate
		answered = answered && !lost
	})
	if remaining := modelLeaderTimeout - time.Since(began); remaining > 0 && !answered {
		time.Sleep(remaining)
	}
	if time.Since(began) > 2*modelLeaderTimeout { // the request has timed out
		answered = false
	}
	if answered {
		m.withLock(func() {
			daemon.lastAnswerAt = time.Now()
			daemon.shares.Reset()
		})
	}
	return answer, answered
}

// reachableShare returns the share of daemons that are connected to a leader.
func (m *model) reachableShare(leader *modelLeader) float64 {
	connected := 0
	for _, daemon := range m.daemons {
		if daemon.leader == leader {
			connected++
		}
	}
	return float64(connected) / float64(len(m.daemons))
}

// decideLocally answers for the strategies without a leader.
func (m *model) decideLocally(daemon *modelDaemon) Answer {
	interval := time.Duration(float64(time.Second) / m.perSecond)
	if m.strategy == evenShares {
		interval *= time.Duration(len(m.daemons))
	}
	now := time.Now()
	if now.Before(daemon.next) {
		return Answer{RetryIn: daemon.next.Sub(now)}
	}
	daemon.next = now.Add(interval)
	return Answer{Granted: true}
}

// replaceLeader ends the current term. A new leader starts after vacancy, and daemons connect to it
// one by one.
func (m *model) replaceLeader(vacancy time.Duration) {
	m.withLock(func() {
		m.leader.ended = true
		for _, daemon := range m.daemons {
			daemon.leader = nil
		}
	})
	time.Sleep(vacancy)
	m.withLock(func() { m.leader = &modelLeader{pacer: NewPacer(false, time.Now())} })
	for _, daemon := range m.daemons {
		m.withLock(func() { daemon.leader = m.leader })
		time.Sleep(200 * time.Millisecond / time.Duration(len(m.daemons)))
	}
}

// maxArrivals is the limit within a window: the rate, saved reservations, and messages in flight for
// as long as a permit is valid.
func maxArrivals(perSecond float64) int {
	return int(perSecond*(modelWindow+Validity).Seconds()) + savedReservations
}

var modelSizes = []int{1, 9, 69, 985}

func TestDaemonsStayWithinLimitAndUseIt(t *testing.T) {
	const length = 60 * time.Second
	for _, daemons := range modelSizes {
		for _, perSecond := range []float64{0.25, 1, 5, 40} {
			t.Run(fmt.Sprintf("%d daemons, %v a second", daemons, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(coordinated, 1, daemons, perSecond)
					m.lossRate = 0.02
					m.runCallers(3*perSecond, 5*time.Second, time.Now().Add(length))
					require.LessOrEqual(t, testwindow.MaxCount(m.arrivals, modelWindow), maxArrivals(perSecond))
					require.GreaterOrEqual(t, float64(len(m.arrivals)), 0.9*perSecond*length.Seconds(), "the demand exceeds the limit")
				})
			})
		}
	}
}

func TestLimitHoldsAcrossLeaderLossAndPauses(t *testing.T) {
	const length = 60 * time.Second
	for _, daemons := range modelSizes {
		for seed := range uint64(6) {
			perSecond := []float64{1, 4, 20}[seed%3]
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(coordinated, seed, daemons, perSecond)
					m.lossRate = 0.1
					go m.injectFaults(length)
					m.runCallers(3*perSecond, 2*time.Second, time.Now().Add(length))
					require.LessOrEqual(t, testwindow.MaxCount(m.arrivals, modelWindow), maxArrivals(perSecond))
					require.Positive(t, len(m.arrivals))
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// injectFaults ends terms for short and long times, pauses processes and partitions daemons.
func (m *model) injectFaults(length time.Duration) {
	for deadline := time.Now().Add(length); time.Now().Before(deadline); {
		var kind int
		var pause time.Duration
		m.withLock(func() {
			kind, pause = m.random.IntN(5), time.Duration(m.random.Float64()*float64(4*time.Second))
		})
		time.Sleep(pause)
		switch kind {
		case 0:
			m.replaceLeader(3 * time.Second)
		case 1:
			m.replaceLeader(12 * time.Second)
		case 2:
			m.withLock(func() { m.leader.pausedUntil = time.Now().Add(2 * time.Second) })
		case 3:
			m.withLock(func() { m.daemons[m.random.IntN(len(m.daemons))].pausedUntil = time.Now().Add(3 * time.Second) })
		case 4:
			m.partitionSome(10 * time.Second)
		}
	}
}

// partitionSome disconnects some daemons from the leader for a time.
func (m *model) partitionSome(length time.Duration) {
	var partitioned []*modelDaemon
	m.withLock(func() {
		for _, daemon := range m.daemons {
			if m.random.IntN(3) == 0 {
				daemon.leader = nil
				partitioned = append(partitioned, daemon)
			}
		}
	})
	time.Sleep(length)
	m.withLock(func() {
		for _, daemon := range partitioned {
			daemon.leader = m.leader
		}
	})
}

// Without coordination, daemons exceed the limit; with even shares they waste most of it if the
// requests reach few of them.
func TestAlternativeStrategiesExceedOrWasteLimit(t *testing.T) {
	const (
		perSecond = 1
		length    = 60 * time.Second
	)
	type figures struct{ most, served int }
	results := map[strategy]figures{}
	for _, strategy := range []strategy{coordinated, evenShares, uncoordinated} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(strategy, 1, 69, perSecond)
			m.runCallers(2*perSecond, 2*time.Second, time.Now().Add(length))
			results[strategy] = figures{testwindow.MaxCount(m.arrivals, modelWindow), len(m.arrivals)}
		})
	}
	t.Log(results)
	require.Greater(t, results[uncoordinated].most, maxArrivals(perSecond))
	require.Less(t, cmp.Compare(results[evenShares].served, results[coordinated].served*3/4), 0)
}
