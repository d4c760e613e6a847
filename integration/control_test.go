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

// maxReplicas is that of the cluster's settings.
const maxReplicas = 2

// placer returns the number of the daemon that places now.
func (c *cluster) awaitPlacer() int {
	found := -1
	require.Eventually(c.t, func() bool {
		for number, daemon := range c.daemons {
			var status adminapi.Status
			if daemon.Ended() || (adminapi.Client{Address: daemon.Admin}).Get(c.ctx, adminapi.PathStatus, &status) != nil {
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

// other returns a daemon that is not the one given.
func otherDaemon(number int) int { return (number + 1) % daemonCount }

// verifyPlacement replays the engines' histories: never more replicas of a model at
// once than the settings allow to be decided, and no order beyond memory.
func (c *cluster) verifyPlacement() {
	history := c.history()
	sort.SliceStable(history, func(i, j int) bool { return history[i].At.Before(history[j].At) })
	loaded := map[string]int{}
	for _, entry := range history {
		switch entry.Kind {
		case engines.MemoryRefused:
			c.t.Errorf("an order exceeded memory: %+v", entry)
		case engines.LoadStarted:
			loaded[entry.Model]++
		case engines.UnloadFinished, engines.LoadFailed:
			loaded[entry.Model]--
		}
		require.LessOrEqual(c.t, loaded[entry.Model], maxReplicas, "more replicas of %s than decided", entry.Model)
	}
}

func (c *cluster) requireAnswer(daemon int, model, prompt string) {
	c.t.Helper()
	result := c.send(daemon, exchange{model: model, prompt: prompt, tokens: 3}, nil)
	require.True(c.t, result.err == nil && result.response.Whole, "%s: %v %s", prompt, result.err, result.response.Text)
}

func (c *cluster) setKeyValueFaults(faults keyvalue.Faults) {
	require.NoError(c.t, processes.PostJSON(c.ctx, c.keyValue.Address, "/faults", faults))
}

// TestColdStartsWorkDuringAKeyValueOutage takes the service down, wakes a
// model, kills the placer, and wakes another model under its successor. A daemon
// that starts in the outage gets its settings from peers.
func TestColdStartsWorkDuringAKeyValueOutage(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	first := c.awaitPlacer()
	require.Eventually(t, func() bool { return c.createdGroups() == groupCount }, 30*time.Second, 100*time.Millisecond)
	c.setKeyValueFaults(keyvalue.Faults{Outage: true})
	c.requireAnswer(otherDaemon(first), "beta", "cold in the outage")
	c.daemons[first].Kill()
	require.NotEqual(t, first, c.awaitPlacer())
	c.requireAnswer(otherDaemon(first), "alpha", "cold under the successor")
	started := c.startDaemon(0)
	require.NoError(t, processes.WaitReady(c.ctx, started.Admin, 1, daemonCount))
	c.requireAnswer(len(c.daemons)-1, "alpha", "through the daemon that started in the outage")
	c.setKeyValueFaults(keyvalue.Faults{})
	c.verifyPlacement()
}

// TestALoadSurvivesTheDeathOfItsPlacer: the load is found and used by the successor.
func TestALoadSurvivesTheDeathOfItsPlacer(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	placer := c.awaitPlacer()
	require.NoError(t, processes.PostJSON(c.ctx, c.weights.Address, "/faults", weights.Faults{SlowFactor: 15})) // a load of 2 s
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
	require.True(t, received.response.Whole, received.response.Text)
	require.Equal(t, 1, loads(), "no second load")
	c.verifyPlacement()
}

// TestNoLoadOrderBeforeThePlanIsCommitted freezes all but the placer, so that no plan can
// count, and asks for a model that is not loaded.
func TestNoLoadOrderBeforeThePlanIsCommitted(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	placer := c.awaitPlacer()
	require.Eventually(t, func() bool { return c.createdGroups() == groupCount }, 30*time.Second, 100*time.Millisecond)
	c.requireAnswer(placer, "alpha", "settles the group") // all three are members of the plan's group by now
	signalOthers := func(signal syscall.Signal) {
		for number, daemon := range c.daemons {
			if number != placer {
				require.NoError(t, daemon.Signal(signal))
			}
		}
	}
	signalOthers(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // past suspicion: the placer is home to all models
	result := make(chan exchange, 1)
	go func() { result <- c.send(placer, exchange{model: "beta", prompt: "needs a quorum", tokens: 2}, nil) }()
	time.Sleep(1500 * time.Millisecond)
	for _, entry := range c.history() {
		require.False(t, entry.Kind == engines.LoadStarted && entry.Model == "beta", "a load was ordered that was not decided")
	}
	signalOthers(syscall.SIGCONT)
	received := <-result
	require.True(t, received.response.Whole, received.response.Text)
	c.verifyPlacement()
}

// TestStreamsOnAReclaimedMachine kills the engine that serves while streams run there, then
// takes its machine off the list.
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

// serving returns the number of an engine that has started requests of a model.
func (c *cluster) servingEngine(model string) int {
	for number, started := range c.engines {
		var entries []engines.Entry
		require.NoError(c.t, processes.History(c.ctx, started.Address, &entries))
		for _, entry := range entries {
			if entry.Kind == engines.RequestStarted && entry.Model == model {
				return number
			}
		}
	}
	c.t.Fatalf("no engine serves %s", model)
	return 0
}

// TestAFrozenPlacerResumes freezes the placer past its suspicion; it wakes believing
// that it still leads, while its successor has gone on.
func TestAFrozenPlacerResumes(t *testing.T) {
	c := startCluster(t)
	defer c.logOnFailure()
	frozen := c.awaitPlacer()
	c.requireAnswer(otherDaemon(frozen), "alpha", "before")
	for round := range 2 {
		require.NoError(t, c.daemons[frozen].Signal(syscall.SIGSTOP))
		c.requireAnswer(otherDaemon(frozen), "beta", fmt.Sprintf("while frozen %d", round))
		require.NoError(t, c.daemons[frozen].Signal(syscall.SIGCONT))
		for number := range 6 {
			c.requireAnswer(number%daemonCount, []string{"alpha", "beta", "alpha.one"}[number%3], fmt.Sprintf("after it woke %d-%d", round, number))
		}
	}
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, 1, daemonCount))
	}
	c.verifyPlacement()
}

// TestConcurrentAppliesHaveOneWinnerAndReachAllDaemons applies settings at all daemons at
// once while the key-value service loses answers.
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
				applied, err := processes.Apply(c.ctx, daemon.Admin, revision, text)
				if err != nil {
					applied = 0
				}
				results <- applied
			}()
		}
		wins := 0
		for range daemonCount {
			if applied := <-results; applied > 0 {
				require.Equal(t, revision+1, applied)
				wins++
			}
		}
		require.Equal(t, 1, wins, "one operator wins a race")
		revision++
		for _, daemon := range c.daemons {
			require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, revision, daemonCount))
		}
	}
}
