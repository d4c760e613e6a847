package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation models, in discrete time steps, a service that receives a request which crashes
// replicas. Requests run concurrently on a few replicas; a crash interrupts those on its replica,
// which are then retried.
type simulation struct {
	threshold   int           // crashes at which a request is quarantined
	propagation time.Duration // delay until all daemons know of a crash
	replicas    int           // that serve the model
	interval    time.Duration // between attempts of the crashing request
	random      *rand.Rand

	now           time.Duration
	readyAt       []time.Duration // by replica: when it runs again after a crash
	incarnations  []int           // by replica
	running       []*simulatedRequest
	retries       []*simulatedRequest // failed calls that their callers retry
	notifications []crashNotification
	ledger        *ledger
	result        cost
}

type simulatedRequest struct {
	id         int // 0 is the crashing request
	replica    int
	endsAt     time.Duration
	dispatches int // within the current call
	calls      int // by its caller
}

// crashNotification is a crash that daemons learn of at a given time.
type crashNotification struct {
	at      time.Duration
	replica string
	request int
}

// cost counts the effects of a crashing request on replicas and on other requests.
type cost struct{ requests, crashes, lost, quarantined int }

const (
	step              = 10 * time.Millisecond
	requestDuration   = 3 * time.Second
	restartDuration   = 4 * time.Second
	crashDelay        = 100 * time.Millisecond
	requestsPerSecond = 12.0
	maxDispatches     = 2 // of one call
	maxCalls          = 2 // of one request by its caller
	simulatedDuration = 2 * time.Minute
)

func (m *simulation) run() cost {
	m.readyAt, m.incarnations, m.ledger = make([]time.Duration, m.replicas), make([]int, m.replicas), newLedger()
	nextCrashing := m.interval
	for ; m.now < simulatedDuration; m.now += step {
		m.deliverNotifications()
		m.finishDue()
		due := m.retries
		m.retries = nil
		for _, retry := range due {
			m.dispatch(retry)
		}
		if m.random.Float64() < requestsPerSecond*step.Seconds() {
			m.result.requests++
			m.dispatch(&simulatedRequest{id: m.result.requests})
		}
		if m.now >= nextCrashing {
			nextCrashing += m.interval
			m.dispatch(&simulatedRequest{})
		}
	}
	return m.result
}

// deliverNotifications records the crashes that daemons know of by now.
func (m *simulation) deliverNotifications() {
	for len(m.notifications) > 0 && m.notifications[0].at <= m.now {
		notification := m.notifications[0]
		m.notifications = m.notifications[1:]
		m.ledger.put(fmt.Sprint(notification), reportOf(map[string][]int{notification.replica: {notification.request}}), int64(m.now), testStart.Add(m.now))
	}
}

// dispatch sends a request to a running replica unless the request is quarantined.
func (m *simulation) dispatch(request *simulatedRequest) {
	if m.isQuarantined(request.id) {
		if request.id != 0 {
			m.result.quarantined++
		}
		return
	}
	request.replica = m.random.IntN(m.replicas)
	for tries := 0; m.readyAt[request.replica] > m.now && tries < m.replicas; tries++ {
		request.replica = (request.replica + 1) % m.replicas
	}
	if m.readyAt[request.replica] > m.now {
		m.fail(request)
		return
	}
	request.dispatches++
	request.endsAt = m.now + requestDuration
	if request.id == 0 {
		request.endsAt = m.now + crashDelay
	}
	m.running = append(m.running, request)
}

func (m *simulation) isQuarantined(id int) bool {
	return len(m.ledger.crashHistory(testFingerprint(id)).Replicas) >= m.threshold
}

// finishDue ends the requests that are due; the crashing request crashes its replica.
func (m *simulation) finishDue() {
	for index := 0; index < len(m.running); index++ {
		request := m.running[index]
		if request.endsAt > m.now {
			continue
		}
		m.running = append(m.running[:index], m.running[index+1:]...)
		index = -1
		if request.id == 0 {
			m.crash(request)
		}
	}
}

// crash ends a replica and interrupts all its requests.
func (m *simulation) crash(cause *simulatedRequest) {
	m.result.crashes++
	m.incarnations[cause.replica]++
	m.readyAt[cause.replica] = m.now + restartDuration
	interrupted := []*simulatedRequest{cause}
	remaining := m.running[:0]
	for _, request := range m.running {
		if request.replica == cause.replica {
			interrupted = append(interrupted, request)
		} else {
			remaining = append(remaining, request)
		}
	}
	m.running = remaining
	for _, request := range interrupted {
		m.notifications = append(m.notifications, crashNotification{m.now + m.propagation, fmt.Sprintf("r%d.%d", cause.replica, m.incarnations[cause.replica]), request.id})
	}
	for _, request := range interrupted {
		if request.dispatches < maxDispatches {
			m.dispatch(request)
		} else {
			m.fail(request)
		}
	}
}

// fail ends a call without a response; the caller may retry.
func (m *simulation) fail(request *simulatedRequest) {
	if request.calls++; request.calls < maxCalls && request.id != 0 {
		request.dispatches = 0
		m.retries = append(m.retries, request)
		return
	}
	if request.id != 0 {
		m.result.lost++
	}
}

// TestCostOfCrashingRequest bounds the damage of one crashing request, and logs it for several
// thresholds and propagation delays (docs/design/quarantine.md).
func TestCostOfCrashingRequest(t *testing.T) {
	const seeds = 20
	for _, threshold := range []int{1, 2, CrashThreshold, 4, 1000} {
		for _, propagation := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			var sum cost
			for seed := range uint64(seeds) {
				sim := &simulation{threshold: threshold, propagation: propagation, replicas: 3, interval: 1500 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
				got := sim.run()
				sum.requests += got.requests
				sum.crashes += got.crashes
				sum.lost += got.lost
				sum.quarantined += got.quarantined
			}
			t.Logf("threshold %4d, propagation %4s: replica crashes %5.1f, of %d other requests lost %5.1f, quarantined %5.2f",
				threshold, propagation, float64(sum.crashes)/seeds, sum.requests/seeds, float64(sum.lost)/seeds, float64(sum.quarantined)/seeds)
			if threshold == CrashThreshold && propagation <= 500*time.Millisecond {
				require.LessOrEqual(t, sum.crashes, seeds*(CrashThreshold+1))
				require.LessOrEqual(t, sum.quarantined, seeds, "harmless requests quarantined")
			}
		}
	}
}
