// Package integration proves what must always hold with real processes, behind
// the fault-injecting proxy and judged by the stand-ins' histories.
package integration

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/lab/processes"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/engines"
)

var programs string // directory of the built programs

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "finchspoke-integration")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := processes.Build(context.Background(), "..", directory); err != nil {
		panic(err)
	}
	programs = directory
	return m.Run()
}

const treeText = `regions:
  - name: here
    zones: [zone-1, zone-2, zone-3]
    weight_store: {loads_per_second: 20, concurrent_loads: 8}
services:
  - {name: lm, regions: [here], replicas: 3, accelerators: 2, accelerator_memory: 24GiB}
branches:
  - name: clerks
    keys: [%s]
    class: interactive
    placement: {idle_after: 5m, max_replicas: 2, concurrency: 4}
    models:
      - {name: alpha, service: lm, version: "1", accelerators: 1, memory: 14GiB, adapters: [{name: alpha.one}]}
      - {name: beta, service: lm, version: "1", accelerators: 2, memory: 13GiB}
`

const apiKey = "integration-key"

// cluster is three daemons and three engines as real processes; each engine, and
// the key-value service, stand behind a proxy.
type cluster struct {
	*processes.Cluster
	t             *testing.T
	ctx           context.Context
	keyValue      *processes.Process
	keyValueProxy *faultproxy.Proxy
	machines      *processes.Process
	weights       *processes.Process
	engines       []*processes.Process
	engineProxies []*faultproxy.Proxy
	daemons       []*processes.Daemon
}

const (
	testTimeout = 90 * time.Second
	engineCount = 3
	daemonCount = 3
)

func startCluster(t *testing.T) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{Cluster: &processes.Cluster{Directory: programs}, t: t, ctx: ctx}
	t.Cleanup(c.Stop)
	c.keyValue = c.standin("key-value", "--rate", "1000")
	c.keyValueProxy = c.proxy(c.keyValue.Address)
	c.machines = c.standin("machines")
	c.weights = c.standin("weights", "--bandwidth", "100GiB", "--loads-per-second", "20")
	for number := range engineCount {
		id := fmt.Sprintf("engine-%d", number)
		started := c.standin("engine", "--id", id, "--weight-store", c.weights.Address, "--accelerators", "2", "--step", "2ms")
		proxy := c.proxy(started.Address)
		c.engines = append(c.engines, started)
		c.engineProxies = append(c.engineProxies, proxy)
		require.NoError(t, processes.AddMachine(ctx, c.machines.Address, machinelist.Machine{
			ID: id, Address: proxy.Address(), Region: "here", Zone: zone(number), Service: "lm", State: machinelist.Live}))
	}
	for number := range daemonCount {
		c.startDaemon(number)
	}
	_, err := processes.ApplySettings(ctx, c.daemons[0].Admin, 0, fmt.Sprintf(treeText, settings.HashKey(apiKey)))
	require.NoError(t, err)
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(ctx, daemon.Admin, 1, daemonCount))
	}
	return c
}

func zone(number int) string { return fmt.Sprintf("zone-%d", number+1) }

func (c *cluster) standin(kind string, arguments ...string) *processes.Process {
	started, err := c.Standin(kind, arguments...)
	require.NoError(c.t, err)
	return started
}

func (c *cluster) proxy(target string) *faultproxy.Proxy {
	proxy, err := faultproxy.New(target)
	require.NoError(c.t, err)
	c.t.Cleanup(proxy.Close)
	return proxy
}

// startDaemon starts one more daemon in a zone.
func (c *cluster) startDaemon(zoneNumber int) *processes.Daemon {
	c.daemons = append(c.daemons, c.launch(fmt.Sprintf("daemon-%d", len(c.daemons)), zoneNumber))
	return c.daemons[len(c.daemons)-1]
}

// restartDaemons kills daemons and starts them again under their ids.
func (c *cluster) restartDaemons(numbers ...int) {
	for _, number := range numbers {
		c.daemons[number].Kill()
	}
	for _, number := range numbers {
		c.daemons[number] = c.launch(c.daemons[number].Name, number)
	}
}

func (c *cluster) launch(id string, zoneNumber int) *processes.Daemon {
	arguments := []string{"--region", "here", "--zone", zone(zoneNumber), "--key-value", c.keyValueProxy.Address(),
		"--machine-list", c.machines.Address, "--probe-interval", "200ms", "--log-level", "debug"}
	for _, peer := range c.daemons {
		if !peer.HasExited() {
			arguments = append(arguments, "--peer", peer.RPC)
		}
	}
	started, err := c.Daemon(id, arguments...)
	require.NoError(c.t, err)
	return started
}

// history gathers what all engines recorded.
func (c *cluster) history() []engines.Entry {
	var all []engines.Entry
	for _, started := range c.engines {
		if started.HasExited() {
			continue
		}
		var entries []engines.Entry
		require.NoError(c.t, processes.ReadHistory(c.ctx, started.Address, &entries))
		all = append(all, entries...)
	}
	return all
}

// logs shows the daemons' logs when a test fails.
func (c *cluster) logs() {
	if !c.t.Failed() {
		return
	}
	for _, daemon := range c.daemons {
		lines := strings.Split(daemon.Output(), "\n")
		const shown = 40
		c.t.Logf("%s:\n%s", daemon.Name, strings.Join(lines[max(0, len(lines)-shown):], "\n"))
	}
}
