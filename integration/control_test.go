package integration

import (
	"fmt"
	"sort"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/lab/processes"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/engines"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
	"github.com/finchspoke/finchspoke/standin/machines"
	"github.com/finchspoke/finchspoke/standin/weights"
)

// maxReplicas is max_replicas in settingsText.
const maxReplicas = 2

// awaitPlacer waits until a daemon is the placer and returns its index.
func (c *cluster) awaitPlacer() int {
	found := -1
	require.Eventually(c.t, func() bool {
		for number, daemon := range c.daemons {
			var status adminapi.Status
			if daemon.HasExited() || (adminapi.Client{Address: daemon.Admin}).Get(c.ctx, adminapi.PathStatus, &status) != nil {
				continue
			}
			if status.Placement != nil {
				found = number
				return true
			}
		}
		return false
	}, 20*time.Second, 20*time.Millisecond)
	return found
}

// otherDaemon returns the index of a daemon other than the given one.
func otherDaemon(number int) int { return (number + 1) % daemonCount }

// verifyPlacement replays the engines' histories and checks that no model ever had more than maxReplicas replicas
// and that no load order exceeded an accelerator's memory.
func (c *cluster) verifyPlacement() {
	history := c.history()
	sort.SliceStable(history, func(i, j int) bool { return history[i].At.Before(history[j].At) })
	loaded := map[string]int{}
	for _, entry := range history {
		switch entry.Kind {
		case engines.MemoryRefused:
			c.t.Errorf("load order exceeds the memory of an accelerator: %+v", entry)
		case engines.LoadStarted:
			loaded[entry.Model]++
		case engines.UnloadFinished, engines.LoadFailed:
			loaded[entry.Model]--
		}
		require.LessOrEqual(c.t, loaded[entry.Model], maxReplicas, "more replicas of %s than max_replicas", entry.Model)
	}
}

// requireAnswer sends a request to a daemon and requires a complete response.
func (c *cluster) requireAnswer(daemon int, model, prompt string) {
	c.t.Helper()
	result := c.send(daemon, exchange{model: model, prompt: prompt, tokens: 3}, nil)
	require.True(c.t, result.err == nil && result.response.Complete, "%s: %v %s", prompt, result.err, result.response.Text)
}

func (c *cluster) setKeyValueFaults(faults keyvalue.Faults) {
	require.NoError(c.t, processes.PostJSON(c.ctx, c.keyValue.Address, "/faults", faults))
}

// Models must be loaded during an outage of the key-value service, also by a new placer, and a daemon that starts
// then must get its settings from its peers.
func TestColdStartsWorkDuringAKeyValueOutage(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	first := c.awaitPlacer()
	require.Eventually(t, func() bool { return c.createdGroups() == groupCount }, 30*time.Second, 100*time.Millisecond)
	c.setKeyValueFaults(keyvalue.Faults{Outage: true})
	c.requireAnswer(otherDaemon(first), "beta", "cold start during the outage")
	c.daemons[first].Kill()
	require.NotEqual(t, first, c.awaitPlacer())
	c.requireAnswer(otherDaemon(first), "alpha", "cold start under the new placer")
	started := c.startDaemon(0)
	require.NoError(t, processes.WaitReady(c.ctx, started.Admin, 1, daemonCount))
	c.requireAnswer(len(c.daemons)-1, "alpha", "sent to the daemon that started during the outage")
	c.setKeyValueFaults(keyvalue.Faults{})
	c.verifyPlacement()
}

// A load that is in progress when the placer is killed must be used by the new placer, not started again.
func TestALoadSurvivesAPlacerCrash(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	placer := c.awaitPlacer()
	require.NoError(t, processes.PostJSON(c.ctx, c.weights.Address, "/faults", weights.Faults{SlowFactor: 15})) // a load takes 2 s
	result := make(chan exchange, 1)
	go func() {
		result <- c.send(otherDaemon(placer), exchange{model: "alpha", prompt: "waits for the load", tokens: 3}, nil)
	}()
	loads := func() int {
		count := 0
		for _, entry := range c.history() {
			if entry.Kind == engines.LoadStarted {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return loads() == 1 }, 10*time.Second, 5*time.Millisecond)
	c.daemons[placer].Kill()
	received := <-result
	require.True(t, received.response.Complete, received.response.Text)
	require.Equal(t, 1, loads(), "the model is loaded once")
	c.verifyPlacement()
}

// While all daemons but the placer are frozen, no plan can be committed, and the placer must not send load orders.
func TestNoLoadOrderBeforeThePlanIsCommitted(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	placer := c.awaitPlacer()
	require.Eventually(t, func() bool { return c.createdGroups() == groupCount }, 30*time.Second, 100*time.Millisecond)
	c.requireAnswer(placer, "alpha", "initializes the group") // all daemons are then members of the plan's group
	signalOthers := func(signal syscall.Signal) {
		for number, daemon := range c.daemons {
			if number != placer {
				require.NoError(t, daemon.Signal(signal))
			}
		}
	}
	signalOthers(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // past the failure detection: the placer is now the home of all models
	result := make(chan exchange, 1)
	go func() { result <- c.send(placer, exchange{model: "beta", prompt: "needs a quorum", tokens: 2}, nil) }()
	time.Sleep(1500 * time.Millisecond)
	for _, entry := range c.history() {
		require.False(t, entry.Kind == engines.LoadStarted && entry.Model == "beta", "a load order was sent before the plan was committed")
	}
	signalOthers(syscall.SIGCONT)
	received := <-result
	require.True(t, received.response.Complete, received.response.Text)
	c.verifyPlacement()
}

// Streams on a machine that is reclaimed must end correctly, and the model must be served again afterwards.
func TestStreamsOnAReclaimedMachine(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	c.requireAnswer(0, "alpha", "before")
	const streams = 6
	results := make(chan exchange, streams)
	for number := range streams {
		go func() {
			results <- c.send(number%daemonCount, exchange{model: "alpha", prompt: fmt.Sprintf("running %d", number), tokens: 600, stream: true, noRepeat: true}, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(startsByPrompt(c.history())) == 1+streams }, 20*time.Second, 10*time.Millisecond)
	starts := startsByPrompt(c.history())
	servingEngine := c.servingEngine("alpha")
	c.engines[servingEngine].Kill()
	require.NoError(t, processes.AddMachine(c.ctx, c.machines.Address, machinelist.Machine{ID: fmt.Sprintf("engine-%d", servingEngine), State: machines.Removed}))
	for range streams {
		(<-results).verify(t, starts)
	}
	c.requireAnswer(1, "alpha", "after")
	c.verifyPlacement()
}

// servingEngine returns the index of an engine that has started requests for a model.
func (c *cluster) servingEngine(model string) int {
	for number, started := range c.engines {
		var entries []engines.Entry
		require.NoError(c.t, processes.ReadHistory(c.ctx, started.Address, &entries))
		for _, entry := range entries {
			if entry.Kind == engines.RequestStarted && entry.Model == model {
				return number
			}
		}
	}
	c.t.Fatalf("no engine serves %s", model)
	return 0
}

// A placer that is frozen until it is replaced, and then resumes with outdated state, must not interfere with its
// successor.
func TestAFrozenPlacerResumes(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	frozen := c.awaitPlacer()
	c.requireAnswer(otherDaemon(frozen), "alpha", "before")
	for round := range 2 {
		require.NoError(t, c.daemons[frozen].Signal(syscall.SIGSTOP))
		c.requireAnswer(otherDaemon(frozen), "beta", fmt.Sprintf("while the placer is frozen %d", round))
		require.NoError(t, c.daemons[frozen].Signal(syscall.SIGCONT))
		for number := range 6 {
			c.requireAnswer(number%daemonCount, []string{"alpha", "beta", "alpha.one"}[number%3], fmt.Sprintf("after the placer resumed %d-%d", round, number))
		}
	}
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, 1, daemonCount))
	}
	c.verifyPlacement()
}

// When operators apply settings to all daemons concurrently and the key-value service drops responses, exactly one
// revision must be accepted and reach all daemons.
func TestConcurrentAppliesHaveOneWinnerAndReachAllDaemons(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	c.setKeyValueFaults(keyvalue.Faults{DropResponsesPercent: 40})
	const rounds = 5
	revision := uint64(1)
	for round := range rounds {
		results := make(chan uint64, daemonCount)
		for number, daemon := range c.daemons {
			text := fmt.Sprintf(settingsText, settings.HashKey(apiKey)) + fmt.Sprintf("    share: %d\n", 2+round*daemonCount+number)
			go func() {
				applied, err := processes.ApplySettings(c.ctx, daemon.Admin, revision, text)
				if err != nil {
					applied = 0
				}
				results <- applied
			}()
		}
		succeeded := 0
		for range daemonCount {
			if applied := <-results; applied > 0 {
				require.Equal(t, revision+1, applied)
				succeeded++
			}
		}
		require.Equal(t, 1, succeeded, "exactly one concurrent apply succeeds")
		revision++
		for _, daemon := range c.daemons {
			require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, revision, daemonCount))
		}
	}
}
