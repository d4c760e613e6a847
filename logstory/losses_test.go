package logstory

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const dayLog = `
{"message":"load order","daemon":"node-2","model":"m1","adapter":"","order":"load","outcome":"accepted","source":"disk","ready_in_ms":840,"time":"2026-01-01T00:00:01.1Z"}
{"message":"request ended","daemon":"node-1","route":"premium","priority":0,"objective_ms":1000,"model":"m1","replica":"r1","outcome":"answered","wait_reason":"model_not_loaded","waited_ms":1400,"first_byte_ms":1450,"duration_ms":2000,"request_id":"a","time":"2026-01-01T00:00:03Z"}
{"message":"request ended","daemon":"node-1","route":"premium","priority":0,"objective_ms":1000,"model":"m2","replica":"r1","outcome":"answered","first_byte_ms":40,"duration_ms":900,"prompt_tokens":700,"request_id":"b","time":"2026-01-01T00:00:03Z"}
{"message":"request ended","daemon":"node-1","route":"premium","priority":0,"objective_ms":1000,"model":"m3","replica":"","outcome":"no_capacity","wait_reason":"model_not_loaded","waited_ms":500,"duration_ms":500,"request_id":"c","time":"2026-01-01T00:00:05Z"}
{"message":"request ended","daemon":"node-1","route":"draft","priority":1,"objective_ms":400,"gap_target_ms":300,"model":"m2","replica":"r1","outcome":"answered","first_byte_ms":40,"longest_pause_ms":390,"duration_ms":1500,"prompt_tokens":600,"request_id":"d","time":"2026-01-01T00:00:03Z"}
{"message":"request ended","daemon":"node-1","route":"draft","priority":1,"objective_ms":400,"gap_target_ms":300,"model":"m2","replica":"r2","outcome":"answered","first_byte_ms":600,"duration_ms":700,"request_id":"e","time":"2026-01-01T00:00:03Z"}
{"message":"request ended","daemon":"node-1","route":"send","priority":2,"objective_ms":300,"model":"","replica":"r3","outcome":"answered","first_byte_ms":0,"duration_ms":60,"failed_status":500,"request_id":"f","time":"2026-01-01T00:00:03Z"}
{"message":"request ended","daemon":"node-1","outcome":"model_not_allowed","request_id":"no-route","time":"2026-01-01T00:00:03Z"}
`

func TestLossesAreCountedByRouteCauseAndTime(t *testing.T) {
	lines, err := Read(strings.NewReader(dayLog))
	require.NoError(t, err)
	losses := CountLosses(lines, 2*time.Second)
	require.Equal(t, 6, losses.Ended)
	require.Len(t, losses.Routes, 3)

	premium := losses.Routes[0]
	require.Equal(t, "premium", premium.Name)
	require.Equal(t, 3, premium.Ended)
	require.Equal(t, 1, premium.InTime)
	require.ElementsMatch(t, []CauseCount{
		{"late after a wait, model_not_loaded, load from disk", 1},
		{"not answered, no_capacity, waited for model_not_loaded, no load ordered", 1},
	}, premium.Causes)

	draft := losses.Routes[1]
	require.ElementsMatch(t, []CauseCount{{causePause, 1}, {causeSlowAnswer, 1}}, draft.Causes)
	require.Equal(t, PauseLosses{Requests: 1, ConcurrentRequests: 2, Models: 2, PromptTokens: 700}, draft.Pauses)

	require.Equal(t, []CauseCount{{causeOwnFailure, 1}}, losses.Routes[2].Causes)

	require.Len(t, losses.Windows, 2)
	require.Equal(t, WindowLosses{From: 0, Ended: 5, InTime: 1, Late: 3, TopCause: losses.Windows[0].TopCause}, losses.Windows[0])
	require.Equal(t, 1, losses.Windows[1].Ended)
	require.Zero(t, losses.Windows[1].Late, "a refusal is no late answer")
}

func TestNoLossesWithoutRequests(t *testing.T) {
	require.Equal(t, Losses{}, CountLosses(nil, time.Second))
}

func TestLateAnswersAreCountedByReplicaAndModel(t *testing.T) {
	lines, err := Read(strings.NewReader(dayLog))
	require.NoError(t, err)
	crowding := CountLosses(lines, 2*time.Second).Concentration
	require.Equal(t, Concentration{
		Late: 2, Replicas: 2, TopReplicas: 2, TopShare: 1,
		ByModel: []LateModel{{Model: "m2", Answered: 3, Late: 2, Replicas: 2}},
	}, crowding, "a wait for a load and a refusal are not the replica's doing")
	require.InDelta(t, 0.75, shareOfMost(map[string]int{"r1": 6, "r2": 1, "r3": 1}, 1, 8), 1e-9)
}
