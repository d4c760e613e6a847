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

// The machine below drives the pure request core (the home's queue and the
// gateway's lifecycle) through submits, cancels, dispatches with every result,
// lost homes and passing time, beside an oracle that knows what the engines did.

const (
	coreModel       = "base"
	coreAdapter     = "base.adapter"
	coreConcurrency = 2
)

var coreEngines = []string{"engine-1", "engine-2", "engine-3"}

// coreRequest is the oracle's record of one request.
type coreRequest struct {
	item      queue.Item
	life      *core.Lifecycle
	started   int // runs begun on engines, which only the oracle knows
	ends      int
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

func (m *coreMachine) carryOut(t *rapid.T, actions []queue.Action) {
	for _, action := range actions {
		switch done := action.(type) {
		case queue.Grant:
			held := m.requests[done.Item.ID]
			require.True(t, held.waiting, "%s granted while not waiting", done.Item.ID)
			require.True(t, m.ready[done.Replica.EngineID], "granted on an engine without a ready replica")
			if done.Item.Target == coreAdapter {
				require.True(t, m.adapters[done.Replica.EngineID], "granted where the adapter is not loaded")
			}
			require.Less(t, m.runningOn(done.Replica.EngineID), coreConcurrency, "granted beyond the concurrency")
			held.waiting, held.grantedTo = false, done.Replica.EngineID
		case queue.Refusal:
			held := m.requests[done.Item.ID]
			require.True(t, held.waiting, "%s refused while not waiting", done.Item.ID)
			require.Positive(t, done.RetryAfter, "a refusal says when to come back")
			held.waiting = false
			m.end(t, held)
		}
	}
}

func (m *coreMachine) runningOn(engineID string) int {
	count := 0
	for _, held := range m.requests {
		if held.grantedTo == engineID {
			count++
		}
	}
	return count
}

// end gives a request its one end and checks what is said of it.
func (m *coreMachine) end(t *rapid.T, held *coreRequest) {
	held.ends++
	held.execution = held.life.Execution()
	require.Equal(t, 1, held.ends, "%s ended twice", held.item.ID)
	if held.execution == failure.NotRun {
		require.Zero(t, held.started, "%s said not run and had run", held.item.ID)
	}
	if held.execution == failure.Completed {
		require.Positive(t, held.started)
	}
}

func (m *coreMachine) submit(t *rapid.T) {
	m.sequence++
	id := fmt.Sprintf("request-%d", m.sequence)
	target := rapid.SampledFrom([]string{coreModel, coreAdapter}).Draw(t, "target")
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	held := &coreRequest{
		item: queue.Item{
			ID: id, Owner: rapid.SampledFrom([]string{"gateway-1", "gateway-2"}).Draw(t, "owner"), Target: target,
			Branch: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "branch"), Share: rapid.IntRange(1, 3).Draw(t, "share"),
			Limits: settings.Limits{MaxWaiting: 6, MaxRunning: 3}, Class: request.Class(rapid.IntRange(0, request.ClassCount-1).Draw(t, "class")), Arrived: m.now, Deadline: deadline,
		},
		life:    &core.Lifecycle{Repeatable: rapid.Bool().Draw(t, "repeatable"), Deadline: deadline},
		waiting: true,
	}
	m.requests[id] = held
	m.order = append(m.order, id)
	m.carryOut(t, m.queue.Submit(m.now, held.item))
}

func (m *coreMachine) pick(t *rapid.T, suits func(*coreRequest) bool) *coreRequest {
	var suitable []string
	for _, id := range m.order {
		if suits(m.requests[id]) {
			suitable = append(suitable, id)
		}
	}
	if len(suitable) == 0 {
		t.Skip("no request suits")
	}
	return m.requests[rapid.SampledFrom(suitable).Draw(t, "request")]
}

func dispatched(held *coreRequest) bool { return held.grantedTo != "" }

// finishDispatch ends a dispatch with any result; the oracle counts whether the
// engine really began.
func (m *coreMachine) finishDispatch(t *rapid.T) {
	held := m.pick(t, dispatched)
	result := rapid.SampledFrom([]core.Result{core.Answered, core.NotWritten, core.NotStarted, core.Lost, core.Broken}).Draw(t, "result")
	ran := result == core.Answered || result == core.Broken || (result == core.Lost && rapid.Bool().Draw(t, "lost after start"))
	if ran {
		held.started++
		if !held.life.Repeatable {
			require.Equal(t, 1, held.started, "%s may not be repeated and ran twice", held.item.ID)
		}
	}
	held.grantedTo = ""
	actions := m.queue.Release(m.now, held.item.ID, result != core.Answered, 100*time.Millisecond)
	next := held.life.RecordResult(m.now, result, func() bool { return m.budget })
	m.carryOut(t, actions)
	if !next.Retry {
		m.end(t, held)
		return
	}
	held.waiting = true
	m.carryOut(t, m.queue.Submit(m.now, held.item))
}

// loseHome drops the queue and submits what the gateways hold to a new one, as a
// gateway does when members change.
func (m *coreMachine) loseHome(t *rapid.T) {
	m.queue = queue.New(coreModel, coreConcurrency)
	for _, id := range m.order {
		if held := m.requests[id]; dispatched(held) {
			m.queue.Restore(m.now, held.item.Owner, queue.Running{ID: id, Target: held.item.Target, ReplicaID: held.grantedTo})
		}
	}
	m.setReplicas(t)
	for _, id := range m.order {
		if held := m.requests[id]; held.waiting {
			m.carryOut(t, m.queue.Submit(m.now, held.item))
		}
	}
}

// breakLink loses one gateway's link; it submits again at once.
func (m *coreMachine) breakLink(t *rapid.T) {
	owner := rapid.SampledFrom([]string{"gateway-1", "gateway-2"}).Draw(t, "owner")
	m.queue.DropWaiting(owner)
	var running []queue.Running
	for _, id := range m.order {
		if held := m.requests[id]; held.item.Owner == owner && dispatched(held) {
			running = append(running, queue.Running{ID: id, Target: held.item.Target, ReplicaID: held.grantedTo})
		}
	}
	m.carryOut(t, m.queue.Reconcile(m.now, owner, running))
	for _, id := range m.order {
		if held := m.requests[id]; held.item.Owner == owner && held.waiting {
			m.carryOut(t, m.queue.Submit(m.now, held.item))
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
	m.carryOut(t, m.queue.SetReplicas(m.now, replicas, readyIn))
}

// check compares the queue with the oracle after each step.
func (m *coreMachine) check(t *rapid.T) {
	waiting, running := 0, 0
	for _, held := range m.requests {
		if held.waiting {
			waiting++
			require.True(t, held.item.Deadline.After(m.now.Add(-time.Second)), "%s waits past its deadline", held.item.ID)
		}
		if dispatched(held) {
			running++
		}
		alive := held.waiting || dispatched(held)
		require.NotEqual(t, alive, held.ends == 1, "%s is neither alive nor ended, or both", held.item.ID)
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
				held := m.pick(t, func(r *coreRequest) bool { return r.waiting })
				m.queue.Cancel(held.item.ID)
				held.waiting = false
				m.end(t, held)
			},
			"replicas": func(t *rapid.T) {
				engineID := rapid.SampledFrom(coreEngines).Draw(t, "engine")
				m.ready[engineID] = rapid.Bool().Draw(t, "ready")
				m.adapters[engineID] = rapid.Bool().Draw(t, "adapter")
				m.setReplicas(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				m.carryOut(t, m.queue.Tick(m.now))
			},
			"loseHome":  m.loseHome,
			"breakLink": m.breakLink,
			"budget":    func(t *rapid.T) { m.budget = rapid.Bool().Draw(t, "budget") },
			"":          m.check,
		})
		m.drain(t)
	})
}

// drain lets all time pass: every request must then have ended.
func (m *coreMachine) drain(t *rapid.T) {
	m.ready = map[string]bool{}
	m.carryOut(t, m.queue.SetReplicas(m.now, nil, -1))
	for _, id := range m.order {
		if held := m.requests[id]; dispatched(held) {
			held.started++
			held.grantedTo = ""
			m.carryOut(t, m.queue.Release(m.now, id, false, time.Millisecond))
			held.life.RecordResult(m.now, core.Answered, nil)
			m.end(t, held)
		}
	}
	m.now = m.now.Add(time.Hour)
	m.carryOut(t, m.queue.Tick(m.now))
	for id, held := range m.requests {
		require.Equal(t, 1, held.ends, "%s was dropped", id)
	}
}
