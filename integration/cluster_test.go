// Package integration tests invariants with real daemon processes and simulated engines, connected through
// fault-injecting proxies. The tests verify results against the histories of the simulated services.
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

var binDirectory string // contains the built programs

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
	binDirectory = directory
	return m.Run()
}

const settingsText = `regions:
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

// cluster runs daemons and simulated services as processes of their own. Connections to the engines and to the
// key-value service pass through proxies.
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

// startCluster starts a cluster, applies its settings and waits until all daemons are ready.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{Cluster: &processes.Cluster{Directory: binDirectory}, t: t, ctx: ctx}
	t.Cleanup(c.Stop)
	c.keyValue = c.startStandin("key-value", "--rate", "1000")
	c.keyValueProxy = c.proxy(c.keyValue.Address)
	c.machines = c.startStandin("machines")
	c.weights = c.startStandin("weights", "--bandwidth", "100GiB", "--loads-per-second", "20")
	for number := range engineCount {
		id := fmt.Sprintf("engine-%d", number)
		started := c.startStandin("engine", "--id", id, "--weight-store", c.weights.Address, "--accelerators", "2", "--step", "2ms")
		proxy := c.proxy(started.Address)
		c.engines = append(c.engines, started)
		c.engineProxies = append(c.engineProxies, proxy)
		require.NoError(t, processes.AddMachine(ctx, c.machines.Address, machinelist.Machine{
			ID: id, Address: proxy.Address(), Region: "here", Zone: zone(number), Service: "lm", State: machinelist.Live}))
	}
	for number := range daemonCount {
		c.startDaemon(number)
	}
	_, err := processes.ApplySettings(ctx, c.daemons[0].Admin, 0, fmt.Sprintf(settingsText, settings.HashKey(apiKey)))
	require.NoError(t, err)
	for _, daemon := range c.daemons {
		require.NoError(t, processes.WaitReady(ctx, daemon.Admin, 1, daemonCount))
	}
	return c
}

func zone(number int) string { return fmt.Sprintf("zone-%d", number+1) }

func (c *cluster) startStandin(kind string, arguments ...string) *processes.Process {
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

// startDaemon starts an additional daemon in a zone.
func (c *cluster) startDaemon(zoneNumber int) *processes.Daemon {
	c.daemons = append(c.daemons, c.launchDaemon(fmt.Sprintf("daemon-%d", len(c.daemons)), zoneNumber))
	return c.daemons[len(c.daemons)-1]
}

// restartDaemons kills daemons and then starts them again with the same IDs.
func (c *cluster) restartDaemons(numbers ...int) {
	for _, number := range numbers {
		c.daemons[number].Kill()
	}
	for _, number := range numbers {
		c.daemons[number] = c.launchDaemon(c.daemons[number].Name, number)
	}
}

func (c *cluster) launchDaemon(id string, zoneNumber int) *processes.Daemon {
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

// history returns the recorded entries of all running engines.
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

// logOnFailure prints the end of each daemon's log if the test has failed.
func (c *cluster) logOnFailure() {
	if !c.t.Failed() {
		return
	}
	for _, daemon := range c.daemons {
		lines := strings.Split(daemon.Output(), "\n")
		const shown = 40
		c.t.Logf("%s:\n%s", daemon.Name, strings.Join(lines[max(0, len(lines)-shown):], "\n"))
	}
}
