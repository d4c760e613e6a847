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

// allGroups are the run-once groups and the plan's.
const allGroups = group.Slots + 1

// groupsMade counts the groups that stand in the key-value service.
func (c *cluster) groupsMade() int {
	var entries []keyvalue.Entry
	require.NoError(c.t, processes.ReadHistory(c.ctx, c.keyValue.Address, &entries))
	made := map[string]bool{}
	for _, entry := range entries {
		for _, key := range entry.Keys {
			if strings.HasPrefix(key, "/finchspoke/groups/") {
				made[key] = true
			}
		}
	}
	return len(made)
}

// TestKeyedRequestsRunOnceUnderFaults repeats keyed requests at any daemon while
// the key-value service loses answers and goes down, connections to engines lose
// answers and are cut, and a member of every group is killed.
func TestKeyedRequestsRunOnceUnderFaults(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	require.Eventually(t, func() bool { return c.groupsMade() == allGroups }, 30*time.Second, 100*time.Millisecond)
	require.NoError(t, processes.PostJSON(c.ctx, c.keyValue.Address, "/faults", keyvalue.Faults{DropResponsesPercent: 30}))
	const workers, perWorker, repeats = 6, 12, 3
	wholeByPrompt := make([]map[string]string, workers)
	var open sync.WaitGroup
	for worker := range workers {
		wholeByPrompt[worker] = map[string]string{}
		open.Add(1)
		go func() {
			defer open.Done()
			random := rand.New(rand.NewPCG(3, uint64(worker)))
			for number := range perWorker {
				wanted := asked{model: "alpha", prompt: fmt.Sprintf("keyed %d-%d", worker, number), tokens: 1 + random.IntN(12), stream: random.IntN(2) == 0, noRepeat: true}
				key := uuid.Must(uuid.NewV7()).String()
				for range repeats {
					one := c.ask(random.IntN(daemonCount), wanted, map[string]string{gateway.HeaderIdempotencyKey: key, gateway.HeaderDeadline: "5s"})
					if one.err == nil && one.answer.Status == http.StatusOK && one.answer.Complete {
						if known := wholeByPrompt[worker][wanted.prompt]; known != "" && known != one.answer.Text {
							t.Errorf("%q was answered in two ways", wanted.prompt)
						}
						wholeByPrompt[worker][wanted.prompt] = one.answer.Text
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
	open.Wait()
	whole := 0
	for _, one := range wholeByPrompt {
		whole += len(one)
	}
	starts := startsByPrompt(c.history())
	for prompt, count := range starts {
		require.Equal(t, 1, count, "%q ran more than once", prompt)
	}
	t.Logf("%d of %d keyed requests answered whole, %d ran", whole, workers*perWorker, len(starts))
	require.Greater(t, whole, workers*perWorker/2)
}

// TestGroupThatLostItsMemoryDoesNotRunAgain kills two of each group's three members
// at once and starts them again.
func TestGroupThatLostItsMemoryDoesNotRunAgain(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	require.Eventually(t, func() bool { return c.groupsMade() == allGroups }, 30*time.Second, 100*time.Millisecond)
	keyed := func(prompt, key string) asked {
		return c.ask(0, asked{model: "alpha", prompt: prompt, tokens: 3, noRepeat: true},
			map[string]string{gateway.HeaderIdempotencyKey: key, gateway.HeaderDeadline: "10s"})
	}
	timed, untimed := uuid.Must(uuid.NewV7()).String(), "a key without a time"
	require.True(t, keyed("timed", timed).answer.Complete)
	require.True(t, keyed("untimed", untimed).answer.Complete)
	c.restartDaemons(1, 2)
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, 1, daemonCount))
	}
	require.Eventually(t, func() bool {
		return keyed("new "+uuid.NewString(), uuid.Must(uuid.NewV7()).String()).answer.Complete
	}, 40*time.Second, 100*time.Millisecond, "keys made after the loss are taken")
	for range 3 {
		keyed("timed", timed)
		keyed("untimed", untimed)
	}
	unknown := keyed("made before the loss, never seen", "another key without a time")
	require.Equal(t, "unknown", unknown.answer.Header.Get(gateway.HeaderExecution), unknown.answer.Text)
	for prompt, count := range startsByPrompt(c.history()) {
		require.Equal(t, 1, count, prompt)
	}
}
