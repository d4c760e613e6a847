package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/gateway"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/lab/processes"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
)

// groupCount is the number of groups for keyed requests, plus the placement plan's group.
const groupCount = group.Slots + 1

// createdGroups counts the groups that daemons have written to the key-value service.
func (c *cluster) createdGroups() int {
	var entries []keyvalue.Entry
	require.NoError(c.t, processes.ReadHistory(c.ctx, c.keyValue.Address, &entries))
	created := map[string]bool{}
	for _, entry := range entries {
		for _, key := range entry.Keys {
			if strings.HasPrefix(key, "/finchspoke/groups/") {
				created[key] = true
			}
		}
	}
	return len(created)
}

// Requests repeated with the same idempotency key at any daemon must be executed at most once, while the key-value
// service and connections to engines fail and a member of each group is killed.
func TestKeyedRequestsRunOnceUnderFaults(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	require.Eventually(t, func() bool { return c.createdGroups() == groupCount }, 30*time.Second, 100*time.Millisecond)
	require.NoError(t, processes.PostJSON(c.ctx, c.keyValue.Address, "/faults", keyvalue.Faults{DropResponsesPercent: 30}))
	const workers, perWorker, repeats = 6, 12, 3
	textByPrompt := make([]map[string]string, workers)
	var running sync.WaitGroup
	for worker := range workers {
		textByPrompt[worker] = map[string]string{}
		running.Add(1)
		go func() {
			defer running.Done()
			random := rand.New(rand.NewPCG(3, uint64(worker)))
			for number := range perWorker {
				request := exchange{model: "alpha", prompt: fmt.Sprintf("keyed %d-%d", worker, number), tokens: 1 + random.IntN(12), stream: random.IntN(2) == 0, noRepeat: true}
				key := uuid.Must(uuid.NewV7()).String()
				for range repeats {
					result := c.send(random.IntN(daemonCount), request, map[string]string{gateway.HeaderIdempotencyKey: key, gateway.HeaderDeadline: "5s"})
					if result.err == nil && result.response.Status == http.StatusOK && result.response.Complete {
						if previous := textByPrompt[worker][request.prompt]; previous != "" && previous != result.response.Text {
							t.Errorf("%q received two different responses", request.prompt)
						}
						textByPrompt[worker][request.prompt] = result.response.Text
					}
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	c.engineProxies[0].Set(faultproxy.Faults{DropResponses: true})
	time.Sleep(200 * time.Millisecond)
	c.engineProxies[0].Set(faultproxy.Faults{})
	c.daemons[daemonCount-1].Kill()
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, processes.PostJSON(c.ctx, c.keyValue.Address, "/faults", keyvalue.Faults{Outage: true}))
	for _, proxy := range c.engineProxies {
		proxy.CloseConnections()
	}
	running.Wait()
	complete := 0
	for _, result := range textByPrompt {
		complete += len(result)
	}
	starts := startsByPrompt(c.history())
	for prompt, count := range starts {
		require.Equal(t, 1, count, "%q was executed more than once", prompt)
	}
	t.Logf("%d of %d keyed requests completed, %d executed", complete, workers*perWorker, len(starts))
	require.Greater(t, complete, workers*perWorker/2)
}

// When two of a group's three members are killed and restarted, requests keyed before must not be executed again.
func TestKeyedRequestsDoNotRunAgainAfterTheirGroupLosesItsState(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	require.Eventually(t, func() bool { return c.createdGroups() == groupCount }, 30*time.Second, 100*time.Millisecond)
	sendKeyed := func(prompt, key string) exchange {
		return c.send(0, exchange{model: "alpha", prompt: prompt, tokens: 3, noRepeat: true},
			map[string]string{gateway.HeaderIdempotencyKey: key, gateway.HeaderDeadline: "10s"})
	}
	timed, untimed := uuid.Must(uuid.NewV7()).String(), "a key without a time"
	require.True(t, sendKeyed("timed", timed).response.Complete)
	require.True(t, sendKeyed("untimed", untimed).response.Complete)
	c.restartDaemons(1, 2)
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, 1, daemonCount))
	}
	require.Eventually(t, func() bool {
		return sendKeyed("new "+uuid.NewString(), uuid.Must(uuid.NewV7()).String()).response.Complete
	}, 40*time.Second, 100*time.Millisecond, "keys created after the restart are accepted")
	for range 3 {
		sendKeyed("timed", timed)
		sendKeyed("untimed", untimed)
	}
	unknown := sendKeyed("key without a timestamp, not used before", "another key without a time")
	require.Equal(t, "unknown", unknown.response.Header.Get(gateway.HeaderExecution), unknown.response.Text)
	for prompt, count := range startsByPrompt(c.history()) {
		require.Equal(t, 1, count, prompt)
	}
}
