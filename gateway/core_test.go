package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/queue"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/settings"
)

// The state machine drives the queue of a home and the lifecycle of a gateway through submissions,
// cancellations, dispatches with every result, lost homes and elapsed time, and compares them with
// an oracle that records what the engines ran.

const (
	coreModel       = "base"
	coreAdapter     = "base.adapter"
	coreConcurrency = 2
)

var coreEngines = []string{"engine-1", "engine-2", "engine-3"}

// coreRequest is the oracle's record of one request.
type coreRequest struct {
	item      queue.Item
	lifecycle *core.Lifecycle
	runs      int // runs on engines
	endCount  int
	execution failure.Execution
	grantedTo string // engine, while dispatched
	waiting   bool
}

type coreMachine struct {
	now      time.Time
	queue    *queue.Queue
	requests map[string]*coreRequest
	order    []string
	ready    map[string]bool
	adapters map[string]bool
	sequence int
	budget   bool
}

func newCoreMachine() *coreMachine {
	return &coreMachine{
		now: time.Unix(1_000_000, 0), queue: queue.New(coreModel, coreConcurrency), requests: map[string]*coreRequest{},
		ready: map[string]bool{}, adapters: map[string]bool{}, budget: true,
	}
}

func (m *coreMachine) applyActions(t *rapid.T, actions []queue.Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case queue.Grant:
			tracked := m.requests[typed.Item.ID]
			require.True(t, tracked.waiting, "%s granted while not waiting", typed.Item.ID)
			require.True(t, m.ready[typed.Replica.EngineID], "granted on an engine without a ready replica")
			if typed.Item.Target == coreAdapter {
				require.True(t, m.adapters[typed.Replica.EngineID], "granted where the adapter is not loaded")
			}
			require.Less(t, m.runningOn(typed.Replica.EngineID), coreConcurrency, "granted beyond the concurrency")
			tracked.waiting, tracked.grantedTo = false, typed.Replica.EngineID
		case queue.Refusal:
			tracked := m.requests[typed.Item.ID]
			require.True(t, tracked.waiting, "%s refused while not waiting", typed.Item.ID)
			require.Positive(t, typed.RetryAfter, "a rejection needs a retry delay")
			tracked.waiting = false
			m.end(t, tracked)
		}
	}
}

func (m *coreMachine) runningOn(engineID string) int {
	count := 0
	for _, tracked := range m.requests {
		if tracked.grantedTo == engineID {
			count++
		}
	}
	return count
}

// end ends a request once and checks the reported execution.
func (m *coreMachine) end(t *rapid.T, tracked *coreRequest) {
	tracked.endCount++
	tracked.execution = tracked.lifecycle.Execution()
	require.Equal(t, 1, tracked.endCount, "%s ended twice", tracked.item.ID)
	if tracked.execution == failure.NotRun {
		require.Zero(t, tracked.runs, "%s is reported as not run, but ran", tracked.item.ID)
	}
	if tracked.execution == failure.Completed {
		require.Positive(t, tracked.runs)
	}
}

func (m *coreMachine) submit(t *rapid.T) {
	m.sequence++
	id := fmt.Sprintf("request-%d", m.sequence)
	target := rapid.SampledFrom([]string{coreModel, coreAdapter}).Draw(t, "target")
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	tracked := &coreRequest{
		item: queue.Item{
			ID: id, GatewayID: rapid.SampledFrom([]string{"gateway-1", "gateway-2"}).Draw(t, "owner"), Target: target,
			Branch: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "branch"), Share: rapid.IntRange(1, 3).Draw(t, "share"),
			Limits: settings.Limits{MaxWaiting: 6, MaxRunning: 3}, Class: request.Class(rapid.IntRange(0, request.ClassCount-1).Draw(t, "class")), Arrived: m.now, Deadline: deadline,
		},
		lifecycle: &core.Lifecycle{Repeatable: rapid.Bool().Draw(t, "repeatable"), Deadline: deadline},
		waiting:   true,
	}
	m.requests[id] = tracked
	m.order = append(m.order, id)
	m.applyActions(t, m.queue.Submit(m.now, tracked.item))
}

func (m *coreMachine) pick(t *rapid.T, matches func(*coreRequest) bool) *coreRequest {
	var matching []string
	for _, id := range m.order {
		if matches(m.requests[id]) {
			matching = append(matching, id)
		}
	}
	if len(matching) == 0 {
		t.Skip("no request matches")
	}
	return m.requests[rapid.SampledFrom(matching).Draw(t, "request")]
}

func dispatched(tracked *coreRequest) bool { return tracked.grantedTo != "" }

// finishDispatch ends a dispatch with any result; the oracle counts whether the engine started it.
func (m *coreMachine) finishDispatch(t *rapid.T) {
	tracked := m.pick(t, dispatched)
	result := rapid.SampledFrom([]core.Result{core.Answered, core.NotWritten, core.NotStarted, core.Lost, core.Broken}).Draw(t, "result")
	ran := result == core.Answered || result == core.Broken || (result == core.Lost && rapid.Bool().Draw(t, "lost after start"))
	if ran {
		tracked.runs++
		if !tracked.lifecycle.Repeatable {
			require.Equal(t, 1, tracked.runs, "%s may not be repeated and ran twice", tracked.item.ID)
		}
	}
	tracked.grantedTo = ""
	actions := m.queue.Release(m.now, tracked.item.ID, result != core.Answered, 100*time.Millisecond)
	next := tracked.lifecycle.RecordResult(m.now, result, func() bool { return m.budget })
	m.applyActions(t, actions)
	if !next.Retry {
		m.end(t, tracked)
		return
	}
	tracked.waiting = true
	m.applyActions(t, m.queue.Submit(m.now, tracked.item))
}

// loseHome drops the queue and submits the requests of all gateways to a new one, as gateways do
// when membership changes.
func (m *coreMachine) loseHome(t *rapid.T) {
	m.queue = queue.New(coreModel, coreConcurrency)
	for _, id := range m.order {
		if tracked := m.requests[id]; dispatched(tracked) {
			m.queue.Restore(m.now, tracked.item.GatewayID, queue.Running{ID: id, Target: tracked.item.Target, ReplicaID: tracked.grantedTo})
		}
	}
	m.setReplicas(t)
	for _, id := range m.order {
		if tracked := m.requests[id]; tracked.waiting {
			m.applyActions(t, m.queue.Submit(m.now, tracked.item))
		}
	}
}

// breakLink drops the connection of one gateway, which then submits its requests again.
func (m *coreMachine) breakLink(t *rapid.T) {
	gatewayID := rapid.SampledFrom([]string{"gateway-1", "gateway-2"}).Draw(t, "owner")
	m.queue.DropWaiting(gatewayID)
	var running []queue.Running
	for _, id := range m.order {
		if tracked := m.requests[id]; tracked.item.GatewayID == gatewayID && dispatched(tracked) {
			running = append(running, queue.Running{ID: id, Target: tracked.item.Target, ReplicaID: tracked.grantedTo})
		}
	}
	m.applyActions(t, m.queue.Reconcile(m.now, gatewayID, running))
	for _, id := range m.order {
		if tracked := m.requests[id]; tracked.item.GatewayID == gatewayID && tracked.waiting {
			m.applyActions(t, m.queue.Submit(m.now, tracked.item))
		}
	}
}

func (m *coreMachine) setReplicas(t *rapid.T) {
	var replicas []queue.Replica
	for _, engineID := range coreEngines {
		if m.ready[engineID] {
			replicas = append(replicas, queue.Replica{ID: engineID, EngineID: engineID, Adapters: map[string]bool{coreAdapter: m.adapters[engineID]}})
		}
	}
	readyIn := time.Duration(rapid.IntRange(-1, 8000).Draw(t, "ready in")) * time.Millisecond
	m.applyActions(t, m.queue.SetReplicas(m.now, replicas, readyIn))
}

// check compares the queue with the oracle after each step.
func (m *coreMachine) check(t *rapid.T) {
	waiting, running := 0, 0
	for _, tracked := range m.requests {
		if tracked.waiting {
			waiting++
			require.True(t, tracked.item.Deadline.After(m.now.Add(-time.Second)), "%s still waits after its deadline", tracked.item.ID)
		}
		if dispatched(tracked) {
			running++
		}
		alive := tracked.waiting || dispatched(tracked)
		require.NotEqual(t, alive, tracked.endCount == 1, "%s is neither alive nor ended, or both", tracked.item.ID)
	}
	require.Equal(t, waiting, m.queue.Waiting(), "requests waiting")
	require.Equal(t, running, m.queue.Running(), "requests running")
}

func TestRequestCoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCoreMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit":         m.submit,
			"finishDispatch": m.finishDispatch,
			"cancel": func(t *rapid.T) {
				tracked := m.pick(t, func(r *coreRequest) bool { return r.waiting })
				m.queue.Cancel(tracked.item.ID)
				tracked.waiting = false
				m.end(t, tracked)
			},
			"replicas": func(t *rapid.T) {
				engineID := rapid.SampledFrom(coreEngines).Draw(t, "engine")
				m.ready[engineID] = rapid.Bool().Draw(t, "ready")
				m.adapters[engineID] = rapid.Bool().Draw(t, "adapter")
				m.setReplicas(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				m.applyActions(t, m.queue.Tick(m.now))
			},
			"loseHome":  m.loseHome,
			"breakLink": m.breakLink,
			"budget":    func(t *rapid.T) { m.budget = rapid.Bool().Draw(t, "budget") },
			"":          m.check,
		})
		m.drain(t)
	})
}

// drain advances time past all deadlines and checks that every request has ended.
func (m *coreMachine) drain(t *rapid.T) {
	m.ready = map[string]bool{}
	m.applyActions(t, m.queue.SetReplicas(m.now, nil, -1))
	for _, id := range m.order {
		if tracked := m.requests[id]; dispatched(tracked) {
			tracked.runs++
			tracked.grantedTo = ""
			m.applyActions(t, m.queue.Release(m.now, id, false, time.Millisecond))
			tracked.lifecycle.RecordResult(m.now, core.Answered, nil)
			m.end(t, tracked)
		}
	}
	m.now = m.now.Add(time.Hour)
	m.applyActions(t, m.queue.Tick(m.now))
	for id, tracked := range m.requests {
		require.Equal(t, 1, tracked.endCount, "%s did not end", id)
	}
}
