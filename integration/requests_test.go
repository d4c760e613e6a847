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
	"github.com/finchspoke/finchspoke/standin/engines"
)

// asked is a request that a test sent, with what came back.
type asked struct {
	model, prompt string
	noRepeat      bool
	stream        bool
	tokens        int
	answer        lab.Completion
	err           error // the connection to the gateway broke
}

func (c *cluster) ask(daemon int, wanted asked, headers map[string]string) asked {
	all := map[string]string{gateway.HeaderDeadline: "20s"}
	for name, value := range headers {
		all[name] = value
	}
	if wanted.noRepeat {
		all[gateway.HeaderNoRepeat] = "true"
	}
	wanted.answer, wanted.err = lab.SendRequest(c.ctx, lab.RequestOptions{Address: c.daemons[daemon].Gateway, Key: apiKey, Model: wanted.model,
		Prompt: wanted.prompt, MaxTokens: wanted.tokens, Stream: wanted.stream, Headers: all})
	return wanted
}

// told is what an error body says.
type told struct {
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
		Remedy    string `json:"remedy"`
	} `json:"error"`
}

// judge checks a request's end against the engines' histories.
func (a asked) judge(t *testing.T, starts map[string]int) {
	wanted := strings.Join(engines.Completion(a.model, a.prompt, a.tokens), "")
	started := starts[a.prompt]
	if a.noRepeat {
		require.LessOrEqual(t, started, 1, "%q may not be repeated", a.prompt)
	}
	if a.err != nil {
		return // only its own daemon's death breaks a caller's connection
	}
	if a.answer.Complete {
		require.Equal(t, wanted, a.answer.Text, "the answer to its own request, whole")
		require.Positive(t, started)
		return
	}
	if a.answer.Status == http.StatusOK {
		require.True(t, strings.HasPrefix(wanted, a.answer.Text), "a part of its own answer")
		return
	}
	var failed told
	require.NoError(t, json.Unmarshal([]byte(a.answer.Text), &failed), "a typed error: %s", a.answer.Text)
	require.NotEmpty(t, failed.Error.Code)
	require.NotEmpty(t, failed.Error.Remedy)
	if failed.Error.Execution == "not_run" {
		require.Zero(t, started, "%q was said not to have run", a.prompt)
	}
}

// startsByPrompt counts the runs of each prompt; prompts are unique.
func startsByPrompt(history []engines.Entry) map[string]int {
	starts := map[string]int{}
	for _, entry := range history {
		if entry.Kind == engines.RequestStarted {
			starts[entry.Prompt]++
		}
	}
	return starts
}

// slowAnswer is worth a line in the log: faults last for 150 ms at a time.
const slowAnswer = 5 * time.Second

// TestRequestsUnderFaults sends requests of all kinds while connections to the
// engines are cut, delayed, left half-open and lose answers, and the key-value
// service is cut off; one daemon is killed. Every request ends, once, truly.
func TestRequestsUnderFaults(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	const workers, perWorker = 8, 40
	results := make([][]asked, workers)
	var open sync.WaitGroup
	for worker := range workers {
		open.Add(1)
		go func() {
			defer open.Done()
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for number := range perWorker {
				wanted := asked{
					model: []string{"alpha", "alpha.one", "beta"}[random.IntN(3)], prompt: fmt.Sprintf("worker %d request %d", worker, number),
					noRepeat: random.IntN(2) == 0, stream: random.IntN(2) == 0, tokens: 1 + random.IntN(20),
				}
				results[worker] = append(results[worker], c.ask(worker%daemonCount, wanted, nil))
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		open.Wait()
		close(done)
	}()
	c.disturb(done)
	starts := startsByPrompt(c.history())
	broken, whole, slowest := 0, 0, time.Duration(0)
	for _, worker := range results {
		require.Len(t, worker, perWorker)
		for _, one := range worker {
			one.judge(t, starts)
			if one.err != nil {
				broken++
			}
			if one.answer.Complete {
				whole++
			}
			slowest = max(slowest, one.answer.Total)
			if one.answer.Total > slowAnswer {
				t.Logf("slow: %q %s %d %s", one.prompt, one.answer.Total, one.answer.Status, one.answer.Text)
			}
		}
	}
	require.Greater(t, whole, workers*perWorker/3, "most are answered in spite of the faults")
	t.Logf("%d whole, %d with a broken connection, of %d; slowest %s", whole, broken, workers*perWorker, slowest)
	c.noOvercommit()
	last := c.ask(0, asked{model: "beta", prompt: "after all faults", tokens: 3}, nil)
	require.True(t, last.answer.Complete, last.answer.Text)
}

// disturb goes through the faults until done; the last daemon is killed midway.
func (c *cluster) disturb(done <-chan struct{}) {
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
		for _, healed := range c.engineProxies {
			healed.Set(faultproxy.Faults{})
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

// noOvercommit checks that no order ever exceeded an accelerator's memory.
func (c *cluster) noOvercommit() {
	for _, entry := range c.history() {
		require.NotEqual(c.t, engines.MemoryRefused, entry.Kind, "an order exceeded memory: %+v", entry)
	}
}

// TestCutStreamsAreResumed cuts every connection to the engines while streams run
// that may not be repeated.
func TestCutStreamsAreResumed(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	const streams = 6
	results := make(chan asked, streams)
	for number := range streams {
		go func() {
			results <- c.ask(number%daemonCount, asked{model: "alpha", prompt: fmt.Sprintf("cut %d", number), tokens: 400, stream: true, noRepeat: true}, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(startsByPrompt(c.history())) == streams }, 20*time.Second, 10*time.Millisecond)
	for range 2 {
		time.Sleep(200 * time.Millisecond) // in the middle of the answers
		for _, proxy := range c.engineProxies {
			proxy.CloseConnections()
		}
	}
	starts := startsByPrompt(c.history())
	for range streams {
		one := <-results
		require.True(t, one.answer.Complete, one.answer.Text)
		one.judge(t, starts)
	}
}

// TestPlannedStopCutsNothing stops a daemon by SIGTERM while it serves streams
// and is home to waiting requests.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	const streams = 12
	results := make(chan asked, streams)
	for number := range streams {
		go func() {
			results <- c.ask(number%daemonCount, asked{model: []string{"alpha", "beta"}[number%2],
				prompt: fmt.Sprintf("long %d", number), tokens: 700, stream: true, noRepeat: true}, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(startsByPrompt(c.history())) >= streams/2 }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, c.daemons[1].Signal(syscall.SIGTERM))
	code, err := c.daemons[1].Wait(c.ctx)
	require.NoError(t, err)
	require.Zero(t, code)
	for range streams {
		one := <-results
		require.NoError(t, one.err)
		require.True(t, one.answer.Complete, one.answer.Text)
	}
	for prompt, count := range startsByPrompt(c.history()) {
		require.Equal(t, 1, count, prompt)
	}
	after := c.ask(0, asked{model: "alpha", prompt: "after the stop", tokens: 2}, nil)
	require.True(t, after.answer.Complete, after.answer.Text)
}
