package lab_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/examples"
	"github.com/finchspoke/finchspoke/gateway"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/lab"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/engines"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
)

const testWeightRate = 200 << 30

func startSystem(t *testing.T) (*lab.System, context.Context) {
	t.Helper()
	tree, err := settings.Parse(examples.Sources()...)
	require.NoError(t, err)
	system, err := lab.StartSystem(lab.Options{
		Tree: tree, Timing: lab.FastTiming(), WeightBytesPerSecond: testWeightRate, Log: logging.New(io.Discard, "error"),
		ProbeInterval: 200 * time.Millisecond, KeyValueOpsPerSecond: 2000,
		Daemons: []lab.Location{{Region: "sk-west", Zone: "nitra-a"}, {Region: "sk-west", Zone: "nitra-b"}, {Region: "cl-central", Zone: "pudahuel"}},
	})
	require.NoError(t, err)
	t.Cleanup(system.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	require.NoError(t, system.Apply(ctx))
	return system, ctx
}

func clientOf(system *lab.System, daemon int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+system.Daemons[daemon].Addresses().Gateway+"/v1"),
		option.WithAPIKey(key), option.WithMaxRetries(0))
}

func question(model, prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}}
}

func wanted(model, prompt string, tokens int) string {
	return strings.Join(engines.Completion(model, prompt, tokens), "")
}

// TestOutsideClient checks the caller interface with the openai-go client.
func TestOutsideClient(t *testing.T) {
	system, ctx := startSystem(t)
	client := clientOf(system, 0, "sample-key-designers")

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 20+8+30, "the branch's patterns decide") // proof checks, prepress, their adapters
	one, err := client.Models.Get(ctx, "proof-check-sk")
	require.NoError(t, err)
	require.Equal(t, "proof-check-sk", one.ID)

	whole, err := client.Chat.Completions.New(ctx, question("proof-check-sk", "whole", 12))
	require.NoError(t, err)
	require.Equal(t, wanted("proof-check-sk", "whole", 12), whole.Choices[0].Message.Content)
	require.EqualValues(t, 12, whole.Usage.CompletionTokens)

	completion, err := client.Completions.New(ctx, openai.CompletionNewParams{Model: "proof-check-sk", MaxTokens: openai.Int(5),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("plain")}})
	require.NoError(t, err)
	require.Equal(t, wanted("proof-check-sk", "plain", 5), completion.Choices[0].Text)

	stream := client.Chat.Completions.NewStreaming(ctx, question("proof-check-sk.dairy", "streamed", 12))
	var text strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, wanted("proof-check-sk.dairy", "streamed", 12), text.String())

	_, err = client.Chat.Completions.New(ctx, question("slot-confirm", "not allowed", 1))
	var typed *openai.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, http.StatusNotFound, typed.StatusCode)
	require.Equal(t, "model_not_allowed", typed.Code)
	stranger := clientOf(system, 0, "no-such-key")
	_, err = stranger.Models.List(ctx)
	require.ErrorAs(t, err, &typed)
	require.Equal(t, http.StatusUnauthorized, typed.StatusCode)
}

func TestCancelReachesTheEngine(t *testing.T) {
	system, ctx := startSystem(t)
	client := clientOf(system, 1, "sample-key-designers")
	leaving, leave := context.WithCancel(ctx)
	stream := client.Chat.Completions.NewStreaming(leaving, question("proof-check-sk", "long", 50_000))
	require.True(t, stream.Next())
	leave()
	require.Eventually(t, func() bool { return countEntries(system, engines.RequestCancelled) == 1 }, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, stream.Close())
}

func countEntries(system *lab.System, kind engines.EntryKind) int {
	count := 0
	for _, held := range system.Engines {
		for _, entry := range held.History.Entries() {
			if entry.Kind == kind {
				count++
			}
		}
	}
	return count
}

// TestBurstIsOneLoad sends first requests to all daemons at once.
func TestBurstIsOneLoad(t *testing.T) {
	system, ctx := startSystem(t)
	var open sync.WaitGroup
	for number := range 24 {
		open.Add(1)
		go func() {
			defer open.Done()
			prompt := fmt.Sprintf("burst %d", number)
			client := clientOf(system, number%3, "sample-key-batch")
			answer, err := client.Chat.Completions.New(ctx, question("shelf-label-draft-pl", prompt, 6))
			if err != nil || answer.Choices[0].Message.Content != wanted("shelf-label-draft-pl", prompt, 6) {
				t.Errorf("request %d: %v", number, err)
			}
		}()
	}
	open.Wait()
	require.LessOrEqual(t, countEntries(system, engines.LoadStarted), 3, "at most max_replicas, decided at once")
	require.Zero(t, countEntries(system, engines.MemoryRefused))
	require.Zero(t, countEntries(system, engines.FenceRefused))
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	system, ctx := startSystem(t)
	ask := func(daemon int, key, prompt string) (lab.Completion, error) {
		return lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[daemon].Addresses().Gateway, Key: "sample-key-job-desk",
			Model: "approval-clerk", Prompt: prompt, MaxTokens: 20, Headers: map[string]string{gateway.HeaderIdempotencyKey: key}})
	}
	key := uuid.NewString()
	var open sync.WaitGroup
	answers := make([]lab.Completion, 6)
	for number := range answers {
		open.Add(1)
		go func() {
			defer open.Done()
			answers[number], _ = ask(number%3, key, "approve")
		}()
	}
	open.Wait()
	for _, answer := range answers {
		require.Equal(t, http.StatusOK, answer.Status, answer.Text)
		require.Equal(t, wanted("approval-clerk", "approve", 20), answer.Text)
	}
	require.Equal(t, 1, countEntries(system, engines.RequestStarted))

	other, err := ask(0, key, "approve something else")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, other.Status)

	require.Eventually(t, func() bool { return groupsMade(system, "sk-west") == group.Slots+1 }, 30*time.Second, 50*time.Millisecond)
	system.KeyValue.Faults.Set(keyvalue.Faults{Outage: true})
	for number := range 10 {
		inOutage, err := ask(number%3, uuid.NewString(), "approve in an outage")
		require.NoError(t, err)
		require.True(t, inOutage.Complete, inOutage.Text)
	}
	require.Equal(t, 11, countEntries(system, engines.RequestStarted))
	warm, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-job-desk",
		Model: "approval-clerk", Prompt: "unkeyed", MaxTokens: 5})
	require.NoError(t, err)
	require.True(t, warm.Complete, "what is loaded goes on in an outage")
}

// groupsMade counts the run-once groups that stand in the key-value service.
func groupsMade(system *lab.System, region string) int {
	made := map[string]bool{}
	for _, entry := range system.KeyValue.History.Entries() {
		for _, key := range entry.Keys {
			if strings.HasPrefix(key, "/finchspoke/groups/"+region+"/") {
				made[key] = true
			}
		}
	}
	return len(made)
}

func TestLostAnswerIsUnknownAndNotRepeated(t *testing.T) {
	system, ctx := startSystem(t)
	ask := func(headers map[string]string) lab.Completion {
		answer, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-job-desk",
			Model: "approval-clerk", Prompt: "once", MaxTokens: 5, Headers: headers})
		require.NoError(t, err)
		return answer
	}
	require.True(t, ask(nil).Complete)
	started := countEntries(system, engines.RequestStarted)
	for _, held := range system.Engines {
		held.Faults.Set(engines.Faults{DropResponses: true})
	}
	lost := ask(map[string]string{gateway.HeaderNoRepeat: "true"})
	require.Equal(t, http.StatusBadGateway, lost.Status)
	require.Equal(t, "unknown", lost.Header.Get(gateway.HeaderExecution))
	require.Equal(t, "false", lost.Header.Get("X-Should-Retry"))
	require.Equal(t, started+1, countEntries(system, engines.RequestStarted))

	key := map[string]string{gateway.HeaderIdempotencyKey: uuid.NewString()}
	require.Equal(t, "unknown", ask(key).Header.Get(gateway.HeaderExecution))
	for _, held := range system.Engines {
		held.Faults.Set(engines.Faults{})
	}
	again := ask(key)
	require.Equal(t, "unknown", again.Header.Get(gateway.HeaderExecution), "the key stays spent")
	require.Equal(t, started+2, countEntries(system, engines.RequestStarted))
}

func TestBrokenStreamEndsWithATypedError(t *testing.T) {
	system, ctx := startSystem(t)
	client := clientOf(system, 0, "sample-key-designers")
	_, err := client.Chat.Completions.New(ctx, question("proof-check-sk", "warm up", 2))
	require.NoError(t, err)
	for _, held := range system.Engines {
		held.Faults.Set(engines.Faults{CutAfterTokens: 4})
	}
	answer, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
		Model: "proof-check-sk", Prompt: "cut", MaxTokens: 9, Stream: true})
	require.NoError(t, err)
	require.False(t, answer.Complete)
	require.Equal(t, wanted("proof-check-sk", "cut", 4), answer.Text, "a part, and of its own answer")
	stream := client.Chat.Completions.NewStreaming(ctx, question("proof-check-sk", "cut again", 9))
	for stream.Next() {
		continue
	}
	require.ErrorContains(t, stream.Err(), "answer_broken")
}

func TestCrossedAnswerIsNotUsed(t *testing.T) {
	system, ctx := startSystem(t)
	for _, held := range system.Engines {
		held.Faults.Set(engines.Faults{MismatchRequestIDs: true})
	}
	for _, stream := range []bool{false, true} {
		answer, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
			Model: "proof-check-sk", Prompt: "crossed", MaxTokens: 5, Stream: stream, Headers: map[string]string{gateway.HeaderNoRepeat: "true"}})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, answer.Status, answer.Text)
		require.Equal(t, "unknown", answer.Header.Get(gateway.HeaderExecution))
	}
}

// TestEngineResumesAtAnyOffset reads a stream's rest from every offset.
func TestEngineResumesAtAnyOffset(t *testing.T) {
	system, ctx := startSystem(t)
	answer, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
		Model: "proof-check-sk", Prompt: "resumed", MaxTokens: 3, Stream: true})
	require.NoError(t, err)
	require.True(t, answer.Complete)
	address := ""
	machines, err := machinelist.NewClient(system.MachinesAddress).Machines(ctx, "")
	require.NoError(t, err)
	for _, machine := range machines {
		if machine.ID == answer.Header.Get(gateway.HeaderEngine) {
			address = machine.Address
		}
	}
	client := engine.NewClient()
	defer client.Close()
	for offset := range 5 { // three tokens and the finish reason
		resumed, err := client.Resume(ctx, address, answer.Header.Get("X-Request-Id"), offset)
		require.NoError(t, err)
		text, err := io.ReadAll(resumed.Body)
		require.NoError(t, err)
		require.NoError(t, resumed.Body.Close())
		require.Equal(t, 5-offset, strings.Count(string(text), "data: "), "with the end mark")
	}
}

// TestLeavingEngineGetsNothingNew marks the engine that serves as leaving.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	system, ctx := startSystem(t)
	ask := func() lab.Completion {
		answer, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
			Model: "proof-check-sk", Prompt: "p", MaxTokens: 2, Stream: true})
		require.NoError(t, err)
		require.True(t, answer.Complete, answer.Text)
		return answer
	}
	leaving := ask().Header.Get(gateway.HeaderEngine)
	long := make(chan lab.Completion, 1)
	go func() {
		answer, _ := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[1].Addresses().Gateway, Key: "sample-key-designers",
			Model: "proof-check-sk", Prompt: "runs on", MaxTokens: 1500, Stream: true})
		long <- answer
	}()
	require.Eventually(t, func() bool { return countEntries(system, engines.RequestStarted) == 2 }, 5*time.Second, 5*time.Millisecond)
	system.Machines.Set(machineOf(t, system, leaving))
	require.Eventually(t, func() bool { return ask().Header.Get(gateway.HeaderEngine) != leaving }, 10*time.Second, 50*time.Millisecond)
	for range 5 {
		require.NotEqual(t, leaving, ask().Header.Get(gateway.HeaderEngine))
	}
	finished := <-long
	require.True(t, finished.Complete, "what ran is not cut")
	require.Equal(t, leaving, finished.Header.Get(gateway.HeaderEngine))
	require.Eventually(t, func() bool { return len(system.Engines[leaving].Inventory().Replicas) == 0 }, 10*time.Second, 20*time.Millisecond)
}

func machineOf(t *testing.T, system *lab.System, id string) machinelist.Machine {
	t.Helper()
	machines, err := machinelist.NewClient(system.MachinesAddress).Machines(context.Background(), "")
	require.NoError(t, err)
	for _, machine := range machines {
		if machine.ID == id {
			machine.State = machinelist.Draining
			return machine
		}
	}
	t.Fatalf("%s is not listed", id)
	return machinelist.Machine{}
}

func TestExplainModelAndRequest(t *testing.T) {
	system, ctx := startSystem(t)
	answer, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
		Model: "proof-check-sk.dairy", Prompt: "explained", MaxTokens: 2})
	require.NoError(t, err)
	require.True(t, answer.Complete, answer.Text)
	admin := adminapi.Client{Address: system.Daemons[1].Addresses().Admin}
	var loaded, idle adminapi.Explanation
	require.NoError(t, admin.Get(ctx, adminapi.PathExplainModel+"proof-check-sk.dairy", &loaded))
	require.Contains(t, strings.Join(loaded.Lines, "\n"), "replica on "+answer.Header.Get(gateway.HeaderEngine))
	require.NoError(t, admin.Get(ctx, adminapi.PathExplainModel+"next-pick-renca", &idle))
	require.Contains(t, strings.Join(idle.Lines, "\n"), "no replica is planned")
	var ended gateway.RequestSummary
	require.NoError(t, adminapi.Client{Address: system.Daemons[0].Addresses().Admin}.Get(ctx, adminapi.PathExplainRequest+answer.Header.Get("X-Request-Id"), &ended))
	require.Equal(t, "answered", ended.Outcome)
	require.Error(t, admin.Get(ctx, adminapi.PathExplainRequest+"unknown", &ended))
}

// TestDevHolds runs what `make dev` runs.
func TestDevHolds(t *testing.T) {
	var output strings.Builder
	err := lab.RunDev(context.Background(), lab.DevOptions{Output: &output, Log: logging.New(io.Discard, "error")})
	require.NoError(t, err, output.String())
}
