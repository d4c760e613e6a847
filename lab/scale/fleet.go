// Package scale runs the daemons of a whole fleet in one process, and measures what their roles spend
// and how long it takes until all have heard.
//
// The daemons are the product's own (package node), over loopback, with a key-value service in memory
// and replicas that exist in the registry only. What is not modelled: bounds of links, processors and
// descriptors, and delays between machines. So the figures are what the daemons ask of their machines,
// not what happens where machines do not have it.
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

// Options are the sizes of a fleet.
type Options struct {
	Daemons  int
	Replicas int
	Models   int
	// FullMirrorLimit is up to how many replicas every daemon knows them all; zero: the product's own.
	FullMirrorLimit int
	// RequestsPerSecond is how often a daemon's callers ask for a model, over all daemons.
	RequestsPerSecond float64
	// Steady is how long the cost of an idle fleet is measured.
	SteadyDuration time.Duration
	Seed           uint64
	Log            logrus.FieldLogger
	// Progress is told what is being done; nil: nobody is.
	Progress func(step string, done, of int)
}

const (
	zones = 5
	// strongEach is every how many daemons one is on a strong machine.
	strongEach  = 20
	strongDelay = 75 * time.Millisecond
	weakDelay   = 312 * time.Millisecond
	// settleTime bounds each wait for all daemons.
	settleTime = 2 * time.Minute
	settlePoll = 5 * time.Millisecond
	termGap    = 3 * time.Second
	stopTime   = 2 * time.Second
	// calmTime is how long the daemons have to find their directories before the cost is measured.
	calmTime = 8 * time.Second
	// registered is how many replicas enter the registry a second, as on the users' days.
	registered = 500
)

func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%zones) }

// cluster are the daemons of a run.
type cluster struct {
	Options
	store   *store
	random  *rand.Rand
	daemons []*daemon
	version int64
	next    int // number of the next replica
}

// daemon is one of them; its node is replaced when it is started again.
type daemon struct {
	number int
	node   *node.Node
	ended  chan struct{}
}

// Run starts a fleet, measures it and ends it.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Daemons < 3 || options.Replicas < 1 || options.Models < 1 {
		return Report{}, errors.New("use 3 daemons, a replica and a model at least")
	}
	f := &cluster{Options: options, store: newStore(), random: rand.New(rand.NewPCG(options.Seed, 0))}
	f.configure()
	defer f.end()
	report := Report{Daemons: options.Daemons, Replicas: options.Replicas, Models: options.Models}
	for _, step := range []func(context.Context, *Report) error{f.begin, f.steady, f.change, f.arrive, f.depart, f.restoreStore, f.loseHolder, f.loseAll} {
		if err := step(ctx, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

func (f *cluster) progress(step string, done, of int) {
	if f.Progress != nil {
		f.Progress(step, done, of)
	}
}

// configure writes the next routing table.
func (f *cluster) configure() {
	f.version++
	f.store.put(tableKey, tableOf(f.version, f.Models))
}

// start starts a daemon.
func (f *cluster) start(ctx context.Context, one *daemon) error {
	delay := weakDelay
	if one.number%strongEach == 0 {
		delay = strongDelay
	}
	made, err := node.New(node.Config{
		ID: fmt.Sprintf("daemon-%04d", one.number), Zone: zoneOf(one.number / strongEach),
		CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		FirstStart: true, StopTimeout: stopTime, TermKey: termKey, CrashPrefix: endsPrefix, FleetSizeKey: sizeKey, LeaseTTL: leaseTime, BaseCampaignDelay: delay,
		FullMirrorLimit: f.FullMirrorLimit, LoadLimits: loader.Limits{Window: 5 * time.Second, Slack: 1, TermGap: termGap, FencesChecked: true},
	}, adaptersFor(f.store), f.Log)
	if err != nil {
		return errors.Wrapf(err, "start daemon %d of %d; see how many open files a process may have", one.number, f.Daemons)
	}
	one.node, one.ended = made, make(chan struct{})
	go func() {
		_ = made.Run(ctx)
		close(one.ended)
	}()
	return nil
}

// begin starts all daemons, and lets the replicas enter the registry.
func (f *cluster) begin(ctx context.Context, report *Report) error {
	for number := range f.Daemons {
		one := &daemon{number: number}
		if err := f.start(ctx, one); err != nil {
			return err
		}
		f.daemons = append(f.daemons, one)
		f.progress("daemons start", number+1, f.Daemons)
	}
	for f.next < f.Replicas {
		f.enter()
		if f.next%registered == 0 {
			f.progress("replicas enter the registry", f.next, f.Replicas)
			time.Sleep(time.Second)
		}
	}
	taken, err := f.until(ctx, "all daemons serve", func(status node.Status) bool { return status.Ready && status.ConfigVersion == f.version })
	report.Start = taken
	if err != nil {
		return err
	}
	_, err = f.until(ctx, "the holder knows all replicas", func(status node.Status) bool { return status.Fence == 0 || status.Replicas >= f.Replicas })
	return err
}

// enter lets a replica enter the registry.
func (f *cluster) enter() (id string) {
	id, value := entryOf(f.next, f.Models)
	f.next++
	f.store.put(replicaPrefix+id, value)
	return id
}

// until waits until something holds at all daemons, and returns when it held at some shares of them.
func (f *cluster) until(ctx context.Context, what string, holds func(node.Status) bool) (Propagation, error) {
	began := time.Now()
	reached := make([]time.Duration, 0, len(f.daemons))
	done := make([]bool, len(f.daemons))
	for len(reached) < len(f.daemons) {
		for index, one := range f.daemons {
			if !done[index] && holds(one.node.Status()) {
				done[index] = true
				reached = append(reached, time.Since(began))
			}
		}
		f.progress(what, len(reached), len(f.daemons))
		if time.Since(began) > settleTime || ctx.Err() != nil {
			return reachOf(reached, len(f.daemons)), errors.Errorf("%s: %d of %d daemons after %s", what, len(reached), len(f.daemons), time.Since(began).Round(time.Second))
		}
		time.Sleep(settlePoll)
	}
	return reachOf(reached, len(f.daemons)), nil
}

// steady measures what the roles spend while nothing but callers' requests happens.
func (f *cluster) steady(ctx context.Context, report *Report) error {
	f.progress("a steady fleet", 0, 1)
	f.ask(ctx, calmTime)
	before, callsBefore := f.traffic(), f.calls()
	cpu, began := processTime(), time.Now()
	f.ask(ctx, f.SteadyDuration)
	seconds := time.Since(began).Seconds()
	report.CPUShare = (processTime() - cpu).Seconds() / seconds / float64(f.Daemons)
	report.StoreCallsPerSecond = float64(f.calls()-callsBefore) / seconds
	after := f.traffic()
	for index, one := range f.daemons {
		report.add(one.node.Status(), float64(after[index]-before[index])/seconds)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	report.HeapBytes = (memory.HeapAlloc + memory.StackInuse) / uint64(f.Daemons)
	f.progress("a steady fleet", 1, 1)
	return ctx.Err()
}

// ask lets callers ask for models, as often as the options say.
func (f *cluster) ask(ctx context.Context, length time.Duration) {
	const tick = 20 * time.Millisecond
	owed := 0.0
	for until := time.Now().Add(length); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(tick) {
		for owed += f.RequestsPerSecond * tick.Seconds(); owed >= 1; owed-- {
			one := f.daemons[f.random.IntN(len(f.daemons))]
			one.node.Query(serviceName, modelName(f.random.IntN(f.Models)))
		}
	}
}

func (f *cluster) traffic() []uint64 {
	bytes := make([]uint64, len(f.daemons))
	for index, one := range f.daemons {
		peers := one.node.Status().PeerTraffic
		bytes[index] = peers.SentBytes + peers.ReceivedBytes
	}
	return bytes
}

func (f *cluster) calls() int {
	calls, _ := f.store.spent()
	return calls
}

// change measures how long a routing table takes to all daemons.
func (f *cluster) change(ctx context.Context, report *Report) (err error) {
	f.configure()
	report.ConfigChange, err = f.until(ctx, "a configuration is in force", func(status node.Status) bool { return status.ConfigVersion == f.version })
	return err
}

// arrive measures how long a new replica takes to the daemons that know all replicas.
func (f *cluster) arrive(ctx context.Context, report *Report) (err error) {
	f.enter()
	known := f.next
	report.ReplicaAdded, err = f.until(ctx, "a replica is known", func(status node.Status) bool { return !status.KnowsAllReplicas || status.Replicas >= known })
	return err
}

// depart measures the same for one that is gone.
func (f *cluster) depart(ctx context.Context, report *Report) (err error) {
	f.next--
	id, _ := entryOf(f.next, f.Models)
	f.store.remove(replicaPrefix + id)
	known := f.next
	report.ReplicaRemoved, err = f.until(ctx, "a replica is gone", func(status node.Status) bool { return !status.KnowsAllReplicas || status.Replicas <= known })
	return err
}

// loseHolder ends the holder of load orders, and measures how long it takes until the next has all
// others.
func (f *cluster) loseHolder(ctx context.Context, report *Report) (err error) {
	index := slices.IndexFunc(f.daemons, func(one *daemon) bool { return one.node.Status().Fence != 0 })
	if index < 0 {
		return errors.New("no daemon holds the load orders")
	}
	lost := f.daemons[index]
	f.daemons = slices.Delete(f.daemons, index, index+1)
	lost.node.Kill()
	began := time.Now()
	for !slices.ContainsFunc(f.daemons, func(one *daemon) bool { return one.node.Status().Fence != 0 }) {
		if time.Since(began) > settleTime || ctx.Err() != nil {
			return errors.New("no other daemon took the load orders")
		}
		time.Sleep(settlePoll)
	}
	report.NextTermSeconds = time.Since(began).Seconds()
	report.LeaderLost, err = f.until(ctx, "the next holder has all daemons", func(status node.Status) bool { return status.Fence == 0 || status.Attached >= len(f.daemons) })
	return err
}

// loseAll ends all daemons, starts them again, and measures how long it takes until they serve.
func (f *cluster) loseAll(ctx context.Context, report *Report) error {
	for _, one := range f.daemons {
		one.node.Kill()
	}
	for _, one := range f.daemons {
		<-one.ended
	}
	calls, bytes := f.store.spent()
	var starting sync.WaitGroup
	failed := make(chan error, len(f.daemons))
	for _, one := range f.daemons {
		starting.Go(func() {
			if err := f.start(ctx, one); err != nil {
				failed <- err
			}
		})
	}
	starting.Wait()
	if len(failed) > 0 {
		return <-failed
	}
	reach, err := f.until(ctx, "all daemons serve again", func(status node.Status) bool { return status.Ready && status.ConfigVersion == f.version })
	report.AllLost = reach
	callsAfter, bytesAfter := f.store.spent()
	report.AllLostCalls, report.AllLostBytes = callsAfter-calls, bytesAfter-bytes
	return err
}

// end ends what still runs.
func (f *cluster) end() {
	for _, one := range f.daemons {
		if one.node == nil {
			continue
		}
		one.node.Kill()
		<-one.ended
	}
}
