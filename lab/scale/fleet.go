// Package scale runs a fleet of daemons (package node) in one process and measures the cost of each role and how
// fast changes propagate. The daemons communicate over loopback, with an in-memory key-value service and replicas
// that exist only in its registry. Network delays and per-machine resource limits are not simulated.
package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/loader"
	"github.com/finchspoke/finchspoke/node"
)

// Options configures a simulated fleet.
type Options struct {
	Daemons  int
	Replicas int
	Models   int
	// FullMirrorLimit is the largest number of replicas of which every daemon keeps all records; zero: node.FullMirrorLimit.
	FullMirrorLimit int
	// RequestsPerSecond is the total rate of simulated requests, over all daemons.
	RequestsPerSecond float64
	// SteadyDuration is the period over which the steady-state cost is measured.
	SteadyDuration time.Duration
	Seed           uint64
	Log            logrus.FieldLogger
	// Progress is called when a step advances; it may be nil.
	Progress func(step string, done, of int)
}

const (
	zoneCount = 5
	// One daemon in largeMachineInterval runs on a large machine, which campaigns for the term earlier.
	largeMachineInterval  = 20
	largeMachineTermDelay = 75 * time.Millisecond
	smallMachineTermDelay = 312 * time.Millisecond
	// settleTimeout limits each wait for all daemons.
	settleTimeout      = 2 * time.Minute
	settlePollInterval = 5 * time.Millisecond
	termGap            = 3 * time.Second
	stopTimeout        = 2 * time.Second
	// warmupTime lets the daemons connect to their directories before the cost is measured.
	warmupTime             = 8 * time.Second
	registrationsPerSecond = 500
)

func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount) }

// cluster is the state of a run.
type cluster struct {
	Options
	store         *store
	rng           *rand.Rand
	daemons       []*daemon
	configVersion int64
	nextReplica   int // number of the next replica to add
}

// daemon is a daemon of the cluster; a restart replaces its node.
type daemon struct {
	number int
	node   *node.Node
	exited chan struct{}
}

// Run starts a fleet, runs all measurements and stops it.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Daemons < 3 || options.Replicas < 1 || options.Models < 1 {
		return Report{}, errors.New("use 3 daemons, one replica and one model at least")
	}
	c := &cluster{Options: options, store: newStore(), rng: rand.New(rand.NewPCG(options.Seed, 0))}
	c.configure()
	defer c.stopAll()
	report := Report{Daemons: options.Daemons, Replicas: options.Replicas, Models: options.Models}
	for _, step := range []func(context.Context, *Report) error{c.startAll, c.measureSteady, c.measureConfigChange, c.measureReplicaAdded, c.measureReplicaRemoved, c.measureStoreRestored, c.measureLeaderLost, c.measureAllLost} {
		if err := step(ctx, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

func (c *cluster) progress(step string, done, of int) {
	if c.Progress != nil {
		c.Progress(step, done, of)
	}
}

// configure writes a routing table with the next version.
func (c *cluster) configure() {
	c.configVersion++
	c.store.put(tableKey, encodeTable(c.configVersion, c.Models))
}

// start starts a node for the daemon.
func (c *cluster) start(ctx context.Context, d *daemon) error {
	delay := smallMachineTermDelay
	if d.number%largeMachineInterval == 0 {
		delay = largeMachineTermDelay
	}
	newNode, err := node.New(node.Config{
		ID: fmt.Sprintf("daemon-%04d", d.number), Zone: zoneOf(d.number / largeMachineInterval),
		CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		FirstStart: true, StopTimeout: stopTimeout, TermKey: termKey, CrashPrefix: crashPrefix, FleetSizeKey: sizeKey, LeaseTTL: leaseTTL, BaseCampaignDelay: delay,
		FullMirrorLimit: c.FullMirrorLimit, LoadLimits: loader.Limits{Window: 5 * time.Second, Slack: 1, TermGap: termGap, FencesChecked: true},
	}, newAdapters(c.store), c.Log)
	if err != nil {
		return errors.Wrapf(err, "start daemon %d of %d; check the limit of open files", d.number, c.Daemons)
	}
	d.node, d.exited = newNode, make(chan struct{})
	go func() {
		_ = newNode.Run(ctx)
		close(d.exited)
	}()
	return nil
}

// startAll starts all daemons and registers the replicas.
func (c *cluster) startAll(ctx context.Context, report *Report) error {
	for number := range c.Daemons {
		d := &daemon{number: number}
		if err := c.start(ctx, d); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
		c.progress("start daemons", number+1, c.Daemons)
	}
	for c.nextReplica < c.Replicas {
		c.addReplica()
		if c.nextReplica%registrationsPerSecond == 0 {
			c.progress("register replicas", c.nextReplica, c.Replicas)
			time.Sleep(time.Second)
		}
	}
	propagation, err := c.waitForAll(ctx, "all daemons ready", func(status node.Status) bool { return status.Ready && status.ConfigVersion == c.configVersion })
	report.Start = propagation
	if err != nil {
		return err
	}
	_, err = c.waitForAll(ctx, "leader has all replicas", func(status node.Status) bool { return status.Fence == 0 || status.Replicas >= c.Replicas })
	return err
}

// addReplica registers the next replica.
func (c *cluster) addReplica() (id string) {
	id, value := newEntry(c.nextReplica, c.Models)
	c.nextReplica++
	c.store.put(replicaPrefix+id, value)
	return id
}

// waitForAll waits until the status of every daemon satisfies condition and returns the times at which they did.
func (c *cluster) waitForAll(ctx context.Context, step string, condition func(node.Status) bool) (Propagation, error) {
	start := time.Now()
	reached := make([]time.Duration, 0, len(c.daemons))
	done := make([]bool, len(c.daemons))
	for len(reached) < len(c.daemons) {
		for index, d := range c.daemons {
			if !done[index] && condition(d.node.Status()) {
				done[index] = true
				reached = append(reached, time.Since(start))
			}
		}
		c.progress(step, len(reached), len(c.daemons))
		if time.Since(start) > settleTimeout || ctx.Err() != nil {
			return newPropagation(reached, len(c.daemons)), errors.Errorf("%s: %d of %d daemons after %s", step, len(reached), len(c.daemons), time.Since(start).Round(time.Second))
		}
		time.Sleep(settlePollInterval)
	}
	return newPropagation(reached, len(c.daemons)), nil
}

// measureSteady measures the cost of each role under simulated requests only.
func (c *cluster) measureSteady(ctx context.Context, report *Report) error {
	c.progress("a steady fleet", 0, 1)
	c.simulateRequests(ctx, warmupTime)
	before, callsBefore := c.peerBytes(), c.storeCalls()
	cpu, start := processTime(), time.Now()
	c.simulateRequests(ctx, c.SteadyDuration)
	seconds := time.Since(start).Seconds()
	report.CPUShare = (processTime() - cpu).Seconds() / seconds / float64(c.Daemons)
	report.StoreCallsPerSecond = float64(c.storeCalls()-callsBefore) / seconds
	after := c.peerBytes()
	for index, d := range c.daemons {
		report.add(d.node.Status(), float64(after[index]-before[index])/seconds)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	report.HeapBytes = (memory.HeapAlloc + memory.StackInuse) / uint64(c.Daemons)
	c.progress("a steady fleet", 1, 1)
	return ctx.Err()
}

// simulateRequests reports requests for random models to random daemons at the configured rate.
func (c *cluster) simulateRequests(ctx context.Context, duration time.Duration) {
	const tick = 20 * time.Millisecond
	due := 0.0
	for until := time.Now().Add(duration); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(tick) {
		for due += c.RequestsPerSecond * tick.Seconds(); due >= 1; due-- {
			d := c.daemons[c.rng.IntN(len(c.daemons))]
			d.node.Query(serviceName, modelName(c.rng.IntN(c.Models)))
		}
	}
}

func (c *cluster) peerBytes() []uint64 {
	bytes := make([]uint64, len(c.daemons))
	for index, d := range c.daemons {
		peers := d.node.Status().PeerTraffic
		bytes[index] = peers.SentBytes + peers.ReceivedBytes
	}
	return bytes
}

func (c *cluster) storeCalls() int {
	storeCalls, _ := c.store.usage()
	return storeCalls
}

// measureConfigChange measures how long a new routing table takes to become active on all daemons.
func (c *cluster) measureConfigChange(ctx context.Context, report *Report) (err error) {
	c.configure()
	report.ConfigChange, err = c.waitForAll(ctx, "configuration active", func(status node.Status) bool { return status.ConfigVersion == c.configVersion })
	return err
}

// measureReplicaAdded measures how long a new replica takes to reach the daemons that keep all replica records.
func (c *cluster) measureReplicaAdded(ctx context.Context, report *Report) (err error) {
	c.addReplica()
	expectedReplicas := c.nextReplica
	report.ReplicaAdded, err = c.waitForAll(ctx, "replica added", func(status node.Status) bool { return !status.KnowsAllReplicas || status.Replicas >= expectedReplicas })
	return err
}

// measureReplicaRemoved measures how long these daemons take to drop a removed replica.
func (c *cluster) measureReplicaRemoved(ctx context.Context, report *Report) (err error) {
	c.nextReplica--
	id, _ := newEntry(c.nextReplica, c.Models)
	c.store.remove(replicaPrefix + id)
	expectedReplicas := c.nextReplica
	report.ReplicaRemoved, err = c.waitForAll(ctx, "replica removed", func(status node.Status) bool { return !status.KnowsAllReplicas || status.Replicas <= expectedReplicas })
	return err
}

// measureLeaderLost kills the leader and measures the time until another daemon leads, then until all others are
// attached to it.
func (c *cluster) measureLeaderLost(ctx context.Context, report *Report) (err error) {
	index := slices.IndexFunc(c.daemons, func(d *daemon) bool { return d.node.Status().Fence != 0 })
	if index < 0 {
		return errors.New("no daemon is the leader")
	}
	lost := c.daemons[index]
	c.daemons = slices.Delete(c.daemons, index, index+1)
	lost.node.Kill()
	start := time.Now()
	for !slices.ContainsFunc(c.daemons, func(d *daemon) bool { return d.node.Status().Fence != 0 }) {
		if time.Since(start) > settleTimeout || ctx.Err() != nil {
			return errors.New("no other daemon became the leader")
		}
		time.Sleep(settlePollInterval)
	}
	report.NextTermSeconds = time.Since(start).Seconds()
	report.LeaderLost, err = c.waitForAll(ctx, "new leader has all daemons", func(status node.Status) bool { return status.Fence == 0 || status.Attached >= len(c.daemons) })
	return err
}

// measureAllLost kills and restarts all daemons and measures the time until they are ready.
func (c *cluster) measureAllLost(ctx context.Context, report *Report) error {
	for _, d := range c.daemons {
		d.node.Kill()
	}
	for _, d := range c.daemons {
		<-d.exited
	}
	calls, bytes := c.store.usage()
	var starting sync.WaitGroup
	failed := make(chan error, len(c.daemons))
	for _, d := range c.daemons {
		starting.Go(func() {
			if err := c.start(ctx, d); err != nil {
				failed <- err
			}
		})
	}
	starting.Wait()
	if len(failed) > 0 {
		return <-failed
	}
	propagation, err := c.waitForAll(ctx, "all daemons ready again", func(status node.Status) bool { return status.Ready && status.ConfigVersion == c.configVersion })
	report.AllLost = propagation
	callsAfter, bytesAfter := c.store.usage()
	report.AllLostCalls, report.AllLostBytes = callsAfter-calls, bytesAfter-bytes
	return err
}

// stopAll kills the daemons that are still running.
func (c *cluster) stopAll() {
	for _, d := range c.daemons {
		if d.node == nil {
			continue
		}
		d.node.Kill()
		<-d.exited
	}
}
