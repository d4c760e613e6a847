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
func (c *cluster) placer() int {
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

// other returns a daemon that is not the one given.
func other(number int) int { return (number + 1) % daemonCount }

// judgePlacement replays the engines' histories: never more replicas of a model at
// once than the settings allow to be decided, and no order beyond memory.
func (c *cluster) judgePlacement() {
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

func (c *cluster) answered(daemon int, model, prompt string) {
	c.t.Helper()
	one := c.ask(daemon, asked{model: model, prompt: prompt, tokens: 3}, nil)
	require.True(c.t, one.err == nil && one.answer.Complete, "%s: %v %s", prompt, one.err, one.answer.Text)
}

func (c *cluster) keyValueFaults(faults keyvalue.Faults) {
	require.NoError(c.t, processes.PostJSON(c.ctx, c.keyValue.Address, "/faults", faults))
}

// TestColdStartsGoOnWithoutTheKeyValueService takes the service down, wakes a
// model, kills the placer, and wakes another model under its successor. A daemon
// that starts in the outage gets its settings from peers.
func TestColdStartsGoOnWithoutTheKeyValueService(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	first := c.placer()
	require.Eventually(t, func() bool { return c.groupsMade() == allGroups }, 30*time.Second, 100*time.Millisecond)
	c.keyValueFaults(keyvalue.Faults{Outage: true})
	c.answered(other(first), "beta", "cold in the outage")
	c.daemons[first].Kill()
	require.NotEqual(t, first, c.placer())
	c.answered(other(first), "alpha", "cold under the successor")
	started := c.startDaemon(0)
	require.NoError(t, processes.WaitReady(c.ctx, started.Admin, 1, daemonCount))
	c.answered(len(c.daemons)-1, "alpha", "through the daemon that started in the outage")
	c.keyValueFaults(keyvalue.Faults{})
	c.judgePlacement()
}

// TestPlacerKilledInTheMiddleOfALoad: the load is found and used by the successor.
func TestPlacerKilledInTheMiddleOfALoad(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	placing := c.placer()
	require.NoError(t, processes.PostJSON(c.ctx, c.weights.Address, "/faults", weights.Faults{SlowFactor: 15})) // a load of 2 s
	result := make(chan asked, 1)
	go func() {
		result <- c.ask(other(placing), asked{model: "alpha", prompt: "waits for the load", tokens: 3}, nil)
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
	c.daemons[placing].Kill()
	one := <-result
	require.True(t, one.answer.Complete, one.answer.Text)
	require.Equal(t, 1, loads(), "no second load")
	c.judgePlacement()
}

// TestNoOrderBeforeThePlanCounts freezes all but the placer, so that no plan can
// count, and asks for a model that is not loaded.
func TestNoOrderBeforeThePlanCounts(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	placing := c.placer()
	require.Eventually(t, func() bool { return c.groupsMade() == allGroups }, 30*time.Second, 100*time.Millisecond)
	c.answered(placing, "alpha", "settles the group") // all three are members of the plan's group by now
	freeze := func(signal syscall.Signal) {
		for number, daemon := range c.daemons {
			if number != placing {
				require.NoError(t, daemon.Signal(signal))
			}
		}
	}
	freeze(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // past suspicion: the placer is home to all models
	result := make(chan asked, 1)
	go func() { result <- c.ask(placing, asked{model: "beta", prompt: "waits for a quorum", tokens: 2}, nil) }()
	time.Sleep(1500 * time.Millisecond)
	for _, entry := range c.history() {
		require.False(t, entry.Kind == engines.LoadStarted && entry.Model == "beta", "a load was ordered that was not decided")
	}
	freeze(syscall.SIGCONT)
	one := <-result
	require.True(t, one.answer.Complete, one.answer.Text)
	c.judgePlacement()
}

// TestReclaimedMachine kills the engine that serves while streams run there, then
// takes its machine off the list.
func TestReclaimedMachine(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	c.answered(0, "alpha", "before")
	const streams = 6
	results := make(chan asked, streams)
	for number := range streams {
		go func() {
			results <- c.ask(number%daemonCount, asked{model: "alpha", prompt: fmt.Sprintf("running %d", number), tokens: 600, stream: true, noRepeat: true}, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(startsByPrompt(c.history())) == 1+streams }, 20*time.Second, 10*time.Millisecond)
	starts := startsByPrompt(c.history())
	serving := c.serving("alpha")
	c.engines[serving].Kill()
	require.NoError(t, processes.AddMachine(c.ctx, c.machines.Address, machinelist.Machine{ID: fmt.Sprintf("engine-%d", serving), State: machines.Removed}))
	for range streams {
		(<-results).judge(t, starts)
	}
	c.answered(1, "alpha", "after")
	c.judgePlacement()
}

// serving returns the number of an engine that has started requests of a model.
func (c *cluster) serving(model string) int {
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

// TestFrozenPlacerWakes freezes the placer past its suspicion; it wakes believing
// that it still leads, while its successor has gone on.
func TestFrozenPlacerWakes(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	frozen := c.placer()
	c.answered(other(frozen), "alpha", "before")
	for round := range 2 {
		require.NoError(t, c.daemons[frozen].Signal(syscall.SIGSTOP))
		c.answered(other(frozen), "beta", fmt.Sprintf("while frozen %d", round))
		require.NoError(t, c.daemons[frozen].Signal(syscall.SIGCONT))
		for number := range 6 {
			c.answered(number%daemonCount, []string{"alpha", "beta", "alpha.one"}[number%3], fmt.Sprintf("after it woke %d-%d", round, number))
		}
	}
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(c.ctx, daemon.Admin, 1, daemonCount))
	}
	c.judgePlacement()
}

// TestOperatorsRaceAndRevisionsReachAllDaemons applies settings at all daemons at
// once while the key-value service loses answers.
func TestOperatorsRaceAndRevisionsReachAllDaemons(t *testing.T) {
	c := startCluster(t)
	defer c.logs()
	c.keyValueFaults(keyvalue.Faults{DropResponsesPercent: 40})
	const rounds = 5
	revision := uint64(1)
	for round := range rounds {
		accepted := make(chan uint64, daemonCount)
		for number, daemon := range c.daemons {
			text := fmt.Sprintf(treeText, settings.HashKey(apiKey)) + fmt.Sprintf("    share: %d\n", 2+round*daemonCount+number)
			go func() {
				made, err := processes.ApplySettings(c.ctx, daemon.Admin, revision, text)
				if err != nil {
					made = 0
				}
				accepted <- made
			}()
		}
		wins := 0
		for range daemonCount {
			if made := <-accepted; made > 0 {
				require.Equal(t, revision+1, made)
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
