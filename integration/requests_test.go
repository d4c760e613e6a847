package integration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/gateway"
	"github.com/finchspoke/finchspoke/lab"
	"github.com/finchspoke/finchspoke/lab/processes"
	"github.com/finchspoke/finchspoke/standin/engines"
)

// exchange is a request of a test with the response.
type exchange struct {
	model, prompt string
	noRepeat      bool
	stream        bool
	tokens        int
	response      lab.Completion
	err           error // failed connection to the gateway
}

// send sends a request to a daemon and returns it with the response.
func (c *cluster) send(daemon int, request exchange, headers map[string]string) exchange {
	allHeaders := map[string]string{gateway.HeaderDeadline: "20s"}
	for name, value := range headers {
		allHeaders[name] = value
	}
	if request.noRepeat {
		allHeaders[gateway.HeaderNoRepeat] = "true"
	}
	request.response, request.err = lab.SendRequest(c.ctx, lab.RequestOptions{Address: c.daemons[daemon].Gateway, Key: apiKey, Model: request.model,
		Prompt: request.prompt, MaxTokens: request.tokens, Stream: request.stream, Headers: allHeaders})
	return request
}

// errorBody is the response body of a failed request.
type errorBody struct {
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
		Remedy    string `json:"remedy"`
	} `json:"error"`
}

// verify checks a response against the number of executions of each prompt.
func (e exchange) verify(t *testing.T, starts map[string]int) {
	expected := strings.Join(engines.Completion(e.model, e.prompt, e.tokens), "")
	runs := starts[e.prompt]
	if e.noRepeat {
		require.LessOrEqual(t, runs, 1, "%q must not be executed again", e.prompt)
	}
	if e.err != nil {
		return // the daemon was killed while it served the caller
	}
	if e.response.Complete {
		require.Equal(t, expected, e.response.Text, "a complete response belongs to its request")
		require.Positive(t, runs)
		return
	}
	if e.response.Status == http.StatusOK {
		require.True(t, strings.HasPrefix(expected, e.response.Text), "an incomplete response is a prefix of the expected one")
		return
	}
	var failed errorBody
	require.NoError(t, json.Unmarshal([]byte(e.response.Text), &failed), "error responses have a JSON body: %s", e.response.Text)
	require.NotEmpty(t, failed.Error.Code)
	require.NotEmpty(t, failed.Error.Remedy)
	if failed.Error.Execution == "not_run" {
		require.Zero(t, runs, "%q was executed but reported as not executed", e.prompt)
	}
}

// startsByPrompt counts the executions of each prompt. Prompts are unique.
func startsByPrompt(history []engines.Entry) map[string]int {
	starts := map[string]int{}
	for _, entry := range history {
		if entry.Kind == engines.RequestStarted {
			starts[entry.Prompt]++
		}
	}
	return starts
}

// slowResponse is the duration from which a response is logged. It is long compared to the injected faults.
const slowResponse = 5 * time.Second

// Each request must end with a response that is correct and consistent with its executions, while connections to
// engines and the key-value service fail and a daemon is killed.
func TestRequestsUnderFaults(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	const workers, perWorker = 8, 40
	results := make([][]exchange, workers)
	var running sync.WaitGroup
	for worker := range workers {
		running.Add(1)
		go func() {
			defer running.Done()
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for number := range perWorker {
				request := exchange{
					model: []string{"alpha", "alpha.one", "beta"}[random.IntN(3)], prompt: fmt.Sprintf("worker %d request %d", worker, number),
					noRepeat: random.IntN(2) == 0, stream: random.IntN(2) == 0, tokens: 1 + random.IntN(20),
				}
				results[worker] = append(results[worker], c.send(worker%daemonCount, request, nil))
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	c.injectFaults(done)
	starts := startsByPrompt(c.history())
	broken, complete, slowest := 0, 0, time.Duration(0)
	for _, worker := range results {
		require.Len(t, worker, perWorker)
		for _, result := range worker {
			result.verify(t, starts)
			if result.err != nil {
				broken++
			}
			if result.response.Complete {
				complete++
			}
			slowest = max(slowest, result.response.Total)
			if result.response.Total > slowResponse {
				t.Logf("slow: %q %s %d %s", result.prompt, result.response.Total, result.response.Status, result.response.Text)
			}
		}
	}
	require.Greater(t, complete, workers*perWorker/3, "too few complete responses")
	t.Logf("%d complete, %d with a failed connection, of %d; slowest %s", complete, broken, workers*perWorker, slowest)
	c.requireNoOvercommit()
	last := c.send(0, exchange{model: "beta", prompt: "after all faults", tokens: 3}, nil)
	require.True(t, last.response.Complete, last.response.Text)
}

// injectFaults cycles through the faults until done is closed, and kills the last daemon once.
func (c *cluster) injectFaults(done <-chan struct{}) {
	random := rand.New(rand.NewPCG(2, 2))
	killed := false
	for round := 0; ; round++ {
		proxy := c.engineProxies[random.IntN(engineCount)]
		switch round % 5 {
		case 0:
			proxy.CloseConnections()
		case 1:
			proxy.Set(faultproxy.Faults{DropResponses: true})
		case 2:
			proxy.Set(faultproxy.Faults{Delay: 10 * time.Millisecond})
		case 3:
			proxy.Set(faultproxy.Faults{Refuse: true})
			c.keyValueProxy.CloseConnections()
		case 4:
			proxy.Set(faultproxy.Faults{Stall: true})
		}
		const healthy, faulty = 150 * time.Millisecond, 150 * time.Millisecond
		time.Sleep(faulty)
		for _, engineProxy := range c.engineProxies {
			engineProxy.Set(faultproxy.Faults{})
		}
		if round == 4 && !killed {
			killed = true
			c.daemons[daemonCount-1].Kill()
		}
		select {
		case <-done:
			return
		case <-time.After(healthy):
		}
	}
}

// requireNoOvercommit checks that no load order exceeded an accelerator's memory.
func (c *cluster) requireNoOvercommit() {
	for _, entry := range c.history() {
		require.NotEqual(c.t, engines.MemoryRefused, entry.Kind, "load order exceeds the memory of an accelerator: %+v", entry)
	}
}

// Streams that must not be executed again must be resumed when their connections to the engines are closed.
func TestInterruptedStreamsAreResumed(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	const streams = 6
	results := make(chan exchange, streams)
	for number := range streams {
		go func() {
			results <- c.send(number%daemonCount, exchange{model: "alpha", prompt: fmt.Sprintf("interrupted %d", number), tokens: 400, stream: true, noRepeat: true}, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(startsByPrompt(c.history())) == streams }, 20*time.Second, 10*time.Millisecond)
	for range 2 {
		time.Sleep(200 * time.Millisecond) // while the streams are in progress
		for _, proxy := range c.engineProxies {
			proxy.CloseConnections()
		}
	}
	starts := startsByPrompt(c.history())
	for range streams {
		received := <-results
		require.True(t, received.response.Complete, received.response.Text)
		received.verify(t, starts)
	}
}

// A daemon that receives SIGTERM must complete the streams that it serves and the requests queued on it.
func TestAPlannedStopInterruptsNothing(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	const streams = 12
	results := make(chan exchange, streams)
	for number := range streams {
		go func() {
			results <- c.send(number%daemonCount, exchange{model: []string{"alpha", "beta"}[number%2],
				prompt: fmt.Sprintf("long %d", number), tokens: 700, stream: true, noRepeat: true}, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(startsByPrompt(c.history())) >= streams/2 }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, c.daemons[1].Signal(syscall.SIGTERM))
	code, err := c.daemons[1].Wait(c.ctx)
	require.NoError(t, err)
	require.Zero(t, code)
	for range streams {
		received := <-results
		require.NoError(t, received.err)
		require.True(t, received.response.Complete, received.response.Text)
	}
	for prompt, count := range startsByPrompt(c.history()) {
		require.Equal(t, 1, count, prompt)
	}
	after := c.send(0, exchange{model: "alpha", prompt: "after the stop", tokens: 2}, nil)
	require.True(t, after.response.Complete, after.response.Text)
}

// Guards against requests that run twice, or run although their callers were told that they did not, when an engine that
// rejected them sends that response again in place of the response to their retry.
func TestRejectedRequestsRunOnceThoughEnginesRepeatResponses(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	const perDaemon, refuseEvery = 12, 3
	warm := c.send(0, exchange{model: "alpha", prompt: "warm", tokens: 3}, nil)
	require.True(t, warm.response.Complete, warm.response.Text)
	for number, started := range c.engines {
		require.NoError(t, processes.PostJSON(c.ctx, started.Address, "/faults", engines.Faults{RefuseEvery: refuseEvery}))
		c.engineProxies[number].Set(faultproxy.Faults{RepeatResponses: true})
	}
	results := make([][]exchange, daemonCount)
	var senders sync.WaitGroup
	for daemon := range daemonCount {
		senders.Go(func() {
			for number := range perDaemon {
				request := exchange{model: "alpha", prompt: fmt.Sprintf("daemon %d request %d", daemon, number), tokens: 3, noRepeat: true, stream: number%4 == 0}
				results[daemon] = append(results[daemon], c.send(daemon, request, nil))
			}
		})
	}
	senders.Wait()
	starts, complete := startsByPrompt(c.history()), 0
	for _, sent := range results {
		require.Len(t, sent, perDaemon)
		for _, result := range sent {
			result.verify(t, starts)
			if result.response.Complete {
				complete++
			}
		}
	}
	require.Greater(t, complete, daemonCount*perDaemon/2, "too few complete responses")
}
