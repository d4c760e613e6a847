package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// traceStep is a step of a run of the model: an event, a request that was admitted, or one that was refused.
type traceStep struct {
	at       time.Time
	sequence int           // of an event
	tenant   string        // of a request
	admitted float64       // cost; zero if the request was refused
	retryIn  time.Duration // that a refused caller was told
	window   float64       // what the leader then counts of the tenant in the window; zero without a leader
}

// usedInWindow returns what the leader counts of a tenant in the window.
func (m *model) usedInWindow(tenant string) float64 {
	if m.leader == nil {
		return 0
	}
	usage := m.leader.ledger.tenants[tenant]
	return usage.granted.sum + usage.creditUsed.sum
}

func (m *model) record(step traceStep) {
	if m.trace != nil {
		*m.trace = append(*m.trace, step)
	}
}

// Guards against failures that cannot be reproduced from their seed, since the model or the ledger depends on the order
// of a map.
func TestSeedDeterminesRun(t *testing.T) {
	for name, play := range map[string]func(seed uint64, trace *[]traceStep){
		"leader lost early": func(seed uint64, trace *[]traceStep) {
			m := newStandbyModel(seed, 0.55)
			m.trace = trace
			m.run(3 * time.Second)
			m.replaceLeaderAfter(2 * time.Second)
			m.run(10 * time.Second)
		},
		"faults": func(seed uint64, trace *[]traceStep) {
			m := newFaultyModel(seed)
			m.trace = trace
			m.run(faultyRunLength)
		},
		"faults of standby and leader": func(seed uint64, trace *[]traceStep) {
			m := newFaultyStandbyModel(seed)
			m.trace = trace
			m.run(faultyStandbyRunLength)
		},
		"competing callers, faults of standby and leader": func(seed uint64, trace *[]traceStep) {
			m, _ := newFaultyCompetitionWithStandby(seed)
			m.trace = trace
			m.run(faultyStandbyRunLength)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				var first, second []traceStep
				play(seed, &first)
				play(seed, &second)
				require.Equal(t, len(first), len(second), "seed %d", seed)
				for index, step := range first {
					require.True(t, step == second[index], "seed %d, step %d: %v, then %v", seed, index, step, second[index])
				}
			}
		})
	}
}
