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

const testWeightBytesPerSecond = 200 << 30

func startSystem(t *testing.T) (*lab.System, context.Context) {
	t.Helper()
	tree, err := settings.Parse(examples.Sources()...)
	require.NoError(t, err)
	system, err := lab.StartSystem(lab.Options{
		Tree: tree, Timing: lab.FastTiming(), WeightBytesPerSecond: testWeightBytesPerSecond, Log: logging.New(io.Discard, "error"),
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

func newClient(system *lab.System, daemon int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+system.Daemons[daemon].Addresses().Gateway+"/v1"),
		option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model, prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}}
}

func wantText(model, prompt string, tokens int) string {
	return strings.Join(engines.Completion(model, prompt, tokens), "")
}

// Guards against incompatibility of the caller API with the OpenAI client library.
func TestOpenAIClient(t *testing.T) {
	system, ctx := startSystem(t)
	client := newClient(system, 0, "sample-key-designers")

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 20+8+30, "the branch's patterns select the models") // proof checks, prepress, their adapters
	model, err := client.Models.Get(ctx, "proof-check-sk")
	require.NoError(t, err)
	require.Equal(t, "proof-check-sk", model.ID)

	completeResponse, err := client.Chat.Completions.New(ctx, chatParams("proof-check-sk", "whole", 12))
	require.NoError(t, err)
	require.Equal(t, wantText("proof-check-sk", "whole", 12), completeResponse.Choices[0].Message.Content)
	require.EqualValues(t, 12, completeResponse.Usage.CompletionTokens)

	completion, err := client.Completions.New(ctx, openai.CompletionNewParams{Model: "proof-check-sk", MaxTokens: openai.Int(5),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("plain")}})
	require.NoError(t, err)
	require.Equal(t, wantText("proof-check-sk", "plain", 5), completion.Choices[0].Text)

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("proof-check-sk.dairy", "streamed", 12))
	var text strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, wantText("proof-check-sk.dairy", "streamed", 12), text.String())

	_, err = client.Chat.Completions.New(ctx, chatParams("slot-confirm", "not allowed", 1))
	var typed *openai.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, http.StatusNotFound, typed.StatusCode)
	require.Equal(t, "model_not_allowed", typed.Code)
	unknownClient := newClient(system, 0, "no-such-key")
	_, err = unknownClient.Models.List(ctx)
	require.ErrorAs(t, err, &typed)
	require.Equal(t, http.StatusUnauthorized, typed.StatusCode)
}

func TestCancelReachesTheEngine(t *testing.T) {
	system, ctx := startSystem(t)
	client := newClient(system, 1, "sample-key-designers")
	callerCtx, cancel := context.WithCancel(ctx)
	stream := client.Chat.Completions.NewStreaming(callerCtx, chatParams("proof-check-sk", "long", 50_000))
	require.True(t, stream.Next())
	cancel()
	require.Eventually(t, func() bool { return countEntries(system, engines.RequestCancelled) == 1 }, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, stream.Close())
}

func countEntries(system *lab.System, kind engines.EntryKind) int {
	count := 0
	for _, e := range system.Engines {
		for _, entry := range e.History.Entries() {
			if entry.Kind == kind {
				count++
			}
		}
	}
	return count
}

// Guards against each of many concurrent first requests starting a load of its own.
func TestBurstOfFirstRequestsStartsFewLoads(t *testing.T) {
	system, ctx := startSystem(t)
	var wg sync.WaitGroup
	for number := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			prompt := fmt.Sprintf("burst %d", number)
			client := newClient(system, number%3, "sample-key-batch")
			response, err := client.Chat.Completions.New(ctx, chatParams("shelf-label-draft-pl", prompt, 6))
			if err != nil || response.Choices[0].Message.Content != wantText("shelf-label-draft-pl", prompt, 6) {
				t.Errorf("request %d: %v", number, err)
			}
		}()
	}
	wg.Wait()
	require.LessOrEqual(t, countEntries(system, engines.LoadStarted), 3, "at most max_replicas loads")
	require.Zero(t, countEntries(system, engines.MemoryRefused))
	require.Zero(t, countEntries(system, engines.FenceRefused))
}

func TestIdempotencyKeyRunsRequestOnce(t *testing.T) {
	system, ctx := startSystem(t)
	send := func(daemon int, key, prompt string) (lab.Completion, error) {
		return lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[daemon].Addresses().Gateway, Key: "sample-key-job-desk",
			Model: "approval-clerk", Prompt: prompt, MaxTokens: 20, Headers: map[string]string{gateway.HeaderIdempotencyKey: key}})
	}
	key := uuid.NewString()
	var wg sync.WaitGroup
	responses := make([]lab.Completion, 6)
	for number := range responses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[number], _ = send(number%3, key, "approve")
		}()
	}
	wg.Wait()
	for _, response := range responses {
		require.Equal(t, http.StatusOK, response.Status, response.Text)
		require.Equal(t, wantText("approval-clerk", "approve", 20), response.Text)
	}
	require.Equal(t, 1, countEntries(system, engines.RequestStarted))

	other, err := send(0, key, "approve something else")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, other.Status)

	require.Eventually(t, func() bool { return countGroups(system, "sk-west") == group.Slots+1 }, 30*time.Second, 50*time.Millisecond)
	system.KeyValue.Faults.Set(keyvalue.Faults{Outage: true})
	for number := range 10 {
		inOutage, err := send(number%3, uuid.NewString(), "approve in an outage")
		require.NoError(t, err)
		require.True(t, inOutage.Complete, inOutage.Text)
	}
	require.Equal(t, 11, countEntries(system, engines.RequestStarted))
	unkeyed, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-job-desk",
		Model: "approval-clerk", Prompt: "unkeyed", MaxTokens: 5})
	require.NoError(t, err)
	require.True(t, unkeyed.Complete, "loaded models are served during an outage")
}

// countGroups returns the number of run-once groups written to the key-value service.
func countGroups(system *lab.System, region string) int {
	groups := map[string]bool{}
	for _, entry := range system.KeyValue.History.Entries() {
		for _, key := range entry.Keys {
			if strings.HasPrefix(key, "/finchspoke/groups/"+region+"/") {
				groups[key] = true
			}
		}
	}
	return len(groups)
}

func TestLostResponseIsUnknownAndNotRetried(t *testing.T) {
	system, ctx := startSystem(t)
	send := func(headers map[string]string) lab.Completion {
		response, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-job-desk",
			Model: "approval-clerk", Prompt: "once", MaxTokens: 5, Headers: headers})
		require.NoError(t, err)
		return response
	}
	require.True(t, send(nil).Complete)
	started := countEntries(system, engines.RequestStarted)
	for _, e := range system.Engines {
		e.Faults.Set(engines.Faults{DropResponses: true})
	}
	lost := send(map[string]string{gateway.HeaderNoRepeat: "true"})
	require.Equal(t, http.StatusBadGateway, lost.Status)
	require.Equal(t, "unknown", lost.Header.Get(gateway.HeaderExecution))
	require.Equal(t, "false", lost.Header.Get("X-Should-Retry"))
	require.Equal(t, started+1, countEntries(system, engines.RequestStarted))

	key := map[string]string{gateway.HeaderIdempotencyKey: uuid.NewString()}
	require.Equal(t, "unknown", send(key).Header.Get(gateway.HeaderExecution))
	for _, e := range system.Engines {
		e.Faults.Set(engines.Faults{})
	}
	repeated := send(key)
	require.Equal(t, "unknown", repeated.Header.Get(gateway.HeaderExecution), "the key cannot be reused")
	require.Equal(t, started+2, countEntries(system, engines.RequestStarted))
}

func TestInterruptedStreamEndsWithTypedError(t *testing.T) {
	system, ctx := startSystem(t)
	client := newClient(system, 0, "sample-key-designers")
	_, err := client.Chat.Completions.New(ctx, chatParams("proof-check-sk", "warm up", 2))
	require.NoError(t, err)
	for _, e := range system.Engines {
		e.Faults.Set(engines.Faults{CutAfterTokens: 4})
	}
	response, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
		Model: "proof-check-sk", Prompt: "cut", MaxTokens: 9, Stream: true})
	require.NoError(t, err)
	require.False(t, response.Complete)
	require.Equal(t, wantText("proof-check-sk", "cut", 4), response.Text, "a prefix of the response to its own request")
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("proof-check-sk", "cut again", 9))
	for stream.Next() {
		continue
	}
	require.ErrorContains(t, stream.Err(), "answer_broken")
}

func TestResponseWithWrongRequestIDIsRejected(t *testing.T) {
	system, ctx := startSystem(t)
	for _, e := range system.Engines {
		e.Faults.Set(engines.Faults{MismatchRequestIDs: true})
	}
	for _, stream := range []bool{false, true} {
		response, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
			Model: "proof-check-sk", Prompt: "crossed", MaxTokens: 5, Stream: stream, Headers: map[string]string{gateway.HeaderNoRepeat: "true"}})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.Status, response.Text)
		require.Equal(t, "unknown", response.Header.Get(gateway.HeaderExecution))
	}
}

// Guards against missing or repeated events when a stream is resumed.
func TestEngineResumesAtAnyOffset(t *testing.T) {
	system, ctx := startSystem(t)
	response, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
		Model: "proof-check-sk", Prompt: "resumed", MaxTokens: 3, Stream: true})
	require.NoError(t, err)
	require.True(t, response.Complete)
	address := ""
	machines, err := machinelist.NewClient(system.MachinesAddress).Machines(ctx, "")
	require.NoError(t, err)
	for _, machine := range machines {
		if machine.ID == response.Header.Get(gateway.HeaderEngine) {
			address = machine.Address
		}
	}
	client := engine.NewClient()
	defer client.Close()
	for offset := range 5 { // three tokens and the finish reason
		resumed, err := client.Resume(ctx, address, response.Header.Get("X-Request-Id"), offset)
		require.NoError(t, err)
		text, err := io.ReadAll(resumed)
		require.NoError(t, err)
		require.NoError(t, resumed.Close())
		require.Equal(t, 5-offset, strings.Count(string(text), "data: "), "events after the offset and the end marker")
	}
}

// Guards against new requests on a draining engine, and against interrupting its running ones.
func TestDrainingEngineReceivesNoNewRequests(t *testing.T) {
	system, ctx := startSystem(t)
	send := func() lab.Completion {
		response, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
			Model: "proof-check-sk", Prompt: "p", MaxTokens: 2, Stream: true})
		require.NoError(t, err)
		require.True(t, response.Complete, response.Text)
		return response
	}
	draining := send().Header.Get(gateway.HeaderEngine)
	runningRequest := make(chan lab.Completion, 1)
	go func() {
		response, _ := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[1].Addresses().Gateway, Key: "sample-key-designers",
			Model: "proof-check-sk", Prompt: "runs on", MaxTokens: 1500, Stream: true})
		runningRequest <- response
	}()
	require.Eventually(t, func() bool { return countEntries(system, engines.RequestStarted) == 2 }, 5*time.Second, 5*time.Millisecond)
	system.Machines.Set(drainingMachine(t, system, draining))
	require.Eventually(t, func() bool { return send().Header.Get(gateway.HeaderEngine) != draining }, 10*time.Second, 50*time.Millisecond)
	for range 5 {
		require.NotEqual(t, draining, send().Header.Get(gateway.HeaderEngine))
	}
	finished := <-runningRequest
	require.True(t, finished.Complete, "running requests are completed")
	require.Equal(t, draining, finished.Header.Get(gateway.HeaderEngine))
	require.Eventually(t, func() bool { return len(system.Engines[draining].Inventory().Replicas) == 0 }, 10*time.Second, 20*time.Millisecond)
}

func drainingMachine(t *testing.T, system *lab.System, id string) machinelist.Machine {
	t.Helper()
	machines, err := machinelist.NewClient(system.MachinesAddress).Machines(context.Background(), "")
	require.NoError(t, err)
	for _, machine := range machines {
		if machine.ID == id {
			machine.State = machinelist.Draining
			return machine
		}
	}
	t.Fatalf("machine %s is not in the machine list", id)
	return machinelist.Machine{}
}

func TestExplainModelAndRequest(t *testing.T) {
	system, ctx := startSystem(t)
	response, err := lab.SendRequest(ctx, lab.RequestOptions{Address: system.Daemons[0].Addresses().Gateway, Key: "sample-key-designers",
		Model: "proof-check-sk.dairy", Prompt: "explained", MaxTokens: 2})
	require.NoError(t, err)
	require.True(t, response.Complete, response.Text)
	admin := adminapi.Client{Address: system.Daemons[1].Addresses().Admin}
	var loaded, idle adminapi.Explanation
	require.NoError(t, admin.Get(ctx, adminapi.PathExplainModel+"proof-check-sk.dairy", &loaded))
	require.Contains(t, strings.Join(loaded.Lines, "\n"), "replica on "+response.Header.Get(gateway.HeaderEngine))
	require.NoError(t, admin.Get(ctx, adminapi.PathExplainModel+"next-pick-renca", &idle))
	require.Contains(t, strings.Join(idle.Lines, "\n"), "no replica is planned")
	var summary gateway.RequestSummary
	require.NoError(t, adminapi.Client{Address: system.Daemons[0].Addresses().Admin}.Get(ctx, adminapi.PathExplainRequest+response.Header.Get("X-Request-Id"), &summary))
	require.Equal(t, "answered", summary.Outcome)
	require.Error(t, admin.Get(ctx, adminapi.PathExplainRequest+"unknown", &summary))
}

// Guards against failures of `make dev`.
func TestDevChecksPass(t *testing.T) {
	var output strings.Builder
	err := lab.RunDev(context.Background(), lab.DevOptions{Output: &output, Log: logging.New(io.Discard, "error")})
	require.NoError(t, err, output.String())
}
