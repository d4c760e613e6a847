package loader

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
)

type modelDaemon struct {
	fleet  *modelFleet
	random *modelRandom // of the process's calls
	number int
	drift  float64
	// earlier is whether the daemon runs a version before, which acknowledges no probes, and goes on without its lease
	// while it takes most daemons for attached.
	earlier bool

	frozen      atomic.Int64 // until, ns since the start of the model
	storeUp     atomic.Bool
	ctx         context.Context    // of the process
	cancel      context.CancelFunc // ends the process
	startsAt    time.Duration      // of a process that has ended; zero: it runs
	leader      *Leader
	follower    *Follower
	campaign    *election.Election
	mirrored    int // changes of the store that it has received; negative: none
	current     election.Leader
	attached    string // nonce of the record that it is attached to
	attaching   string
	streams     map[int]time.Duration // of the leader: when it last heard of each daemon that is attached
	streamFence int64
	// observed holds the fencing tokens of the records that the process has observed, and observedBefore those before its term.
	observed, observedBefore map[int64]bool
}

func (d *modelDaemon) name() string { return fmt.Sprint("d", d.number) }

func (d *modelDaemon) clock() time.Time {
	return d.fleet.start.Add(time.Duration(float64(time.Since(d.fleet.start)) * (1 + d.drift)))
}

func (d *modelDaemon) isFrozen() bool { return d.frozenFor() > 0 }

func (d *modelDaemon) frozenFor() time.Duration {
	return time.Duration(d.frozen.Load()) - d.fleet.now()
}

func (d *modelDaemon) sleepWhileFrozen() {
	for d.isFrozen() {
		time.Sleep(d.frozenFor())
	}
}

func (d *modelDaemon) reachesStore() bool { return d.storeUp.Load() }

func (d *modelDaemon) runs() bool { return d.startsAt == 0 && !d.isFrozen() }

func (d *modelDaemon) startProcess(first bool) {
	ctx, cancel := context.WithCancel(d.fleet.ctx)
	d.ctx, d.cancel, d.startsAt, d.mirrored, d.current, d.attached, d.attaching = ctx, cancel, 0, -1, election.Leader{}, "", ""
	d.observed, d.observedBefore = map[int64]bool{}, nil
	limits := Limits{TermGap: modelTermGap, Window: time.Second}
	config := election.Config{
		Key: modelTermKey, SettledKey: modelSettledKey, Daemon: d.name(), Address: d.name() + ":1", TTL: modelTTL, FirstStart: first, Now: d.clock,
		RenewInterval: limits.RenewInterval(), OrderValidity: limits.OrderValidity(), CampaignDelay: func() time.Duration { return d.random.duration(200 * time.Millisecond) },
	}
	if d.earlier {
		config.RenewInterval, config.OrderValidity = 0, 0
		limits.FencesChecked = true // the leader then relies on what it has received, as all did
	}
	leader := &Leader{
		Daemon: d.name(), Fleet: emptyFleet(), Table: &routing.Store{}, ReplicaClient: silentReplicas{}, Limits: limits, FirstStart: first,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: discardLog(), BaseCampaignDelay: time.Duration(1+d.number%3) * 60 * time.Millisecond,
	}
	config.Followed = leader.Followed
	leader.Election = election.New(config, modelStoreClient{store: d.fleet.store, fleet: d.fleet, process: d}, discardLog())
	leader.Prepare()
	leader.now = d.clock
	routes, err := routing.NewTable(routing.Revision{Version: 1})
	require.NoError(d.fleet.t, err)
	leader.Table.Put(routes)
	follower := &Follower{Daemon: d.name(), Leader: leader}
	follower.Prepare()
	follower.now, follower.startedAt = d.clock, d.clock()
	follower.probedAt = map[string]time.Time{unknownLeader: d.clock()}
	d.leader, d.follower, d.campaign, d.streams = leader, follower, leader.Election, map[int]time.Duration{}
	leader.Election.Subscribe(func(record election.Leader) {
		if record.Daemon != d.name() {
			leader.ObserveOtherLeader()
		}
	})
	go func() { _ = d.campaign.Serve(ctx) }()
}

func (d *modelDaemon) endProcess(planned bool) {
	if d.startsAt != 0 {
		return
	}
	if planned && d.runs() {
		campaign, leader, cancel := d.campaign, d.leader, d.cancel
		go func() {
			ctx, stop := context.WithTimeout(d.fleet.ctx, 2*time.Second)
			defer stop()
			campaign.Resign(ctx, leader.Handover)
			cancel()
		}()
		d.startsAt = d.fleet.now() + 3*time.Second + d.fleet.duration(time.Second)
	} else {
		d.cancel()
		d.startsAt = d.fleet.now() + d.fleet.duration(4*time.Second) + modelStep
	}
	for _, other := range d.fleet.daemons {
		if other != d {
			other.dropStream(d.number)
		}
	}
}

func (d *modelDaemon) dropStream(number int) {
	if _, attached := d.streams[number]; !attached {
		return
	}
	delete(d.streams, number)
	d.leader.mutex.Lock()
	defer d.leader.mutex.Unlock()
	d.leader.attachedStreams--
	d.leader.attachment.removeStream(fmt.Sprint("d", number))
}

func (d *modelDaemon) mirror() {
	changes := d.fleet.store.changes()
	received := d.mirrored
	if d.reachesStore() {
		received = len(changes)
	}
	for _, other := range d.fleet.daemons {
		if other.runs() && d.fleet.up[other.number][d.number] && d.fleet.up[d.number][other.number] {
			received = max(received, other.mirrored)
		}
	}
	if received < 0 || d.fleet.chance(3) || d.mirrored == received {
		return
	}
	if d.mirrored < 0 {
		d.list(changes[:received])
	} else {
		for _, change := range changes[d.mirrored:received] {
			d.observe(change.Event)
		}
	}
	d.mirrored = received
}

func (d *modelDaemon) list(changes []modelEvent) {
	latest := map[string]kv.Event{}
	for _, change := range changes {
		latest[change.Pair.Key] = change.Event
	}
	term, found := latest[modelTermKey]
	if !found || term.Deleted {
		revision := int64(0)
		if len(changes) > 0 {
			revision = changes[len(changes)-1].revision
		}
		d.campaign.ObserveAbsent(revision)
	} else {
		d.observe(term)
	}
}

func (d *modelDaemon) observe(event kv.Event) {
	if event.Pair.Key == modelSettledKey {
		return
	}
	d.campaign.Observe(event)
	if event.Deleted {
		return
	}
	d.observed[event.Pair.ModRevision] = true
	record, err := election.ParseLeader(event.Pair)
	require.NoError(d.fleet.t, err)
	d.current = record
}

func (d *modelDaemon) follow() {
	if d.current.Nonce == "" || d.attached == d.current.Nonce || d.attaching == d.current.Nonce && !d.fleet.chance(20) {
		return
	}
	record := d.current
	d.attaching, d.attached = record.Nonce, ""
	for _, other := range d.fleet.daemons {
		if other != d && d.fleet.up[d.number][other.number] {
			other.dropStream(d.number) // the stream to the leader before ends
		}
	}
	target := d.fleet.daemonNamed(record.Daemon)
	first := &rpc.LoadsDemand{DaemonId: d.name()}
	if !d.earlier {
		first.AcknowledgesProbes, first.EarlierProbeMs, first.ProcessAgeMs = true, d.follower.earlierProbeMs(record.Daemon), d.follower.processAgeMs()
		first.TermDelayMs = d.leader.BaseCampaignDelay.Milliseconds()
	}
	process := d.leader
	d.fleet.send(d.number, target.number, func() {
		if target.startsAt != 0 || d.leader != process || d.current.Nonce != record.Nonce || target.leader.fence == 0 || d.attached == record.Nonce {
			return
		}
		target.dropStream(d.number)
		target.leader.observeFollower(first)
		target.leader.addStream(d.name())
		target.leader.applyDemand(&rpc.LoadsDemand{DaemonId: d.name()})
		target.leader.recordDaemon(first)
		target.streams[d.number] = d.fleet.now()
		d.attached = record.Nonce
		d.fleet.logf("daemon %d is attached to %d: %s", d.number, target.number, first)
	})
}

func (d *modelDaemon) lead() {
	before := d.leader.proof.newest()
	d.leader.runRound(d.ctx, time.Now())
	if d.streamFence != d.leader.fence {
		for number := range d.streams {
			d.dropStream(number)
		}
		d.streamFence, d.observedBefore = d.leader.fence, maps.Clone(d.observed)
		d.fleet.outcome.terms++
		d.fleet.logf("daemon %d has term %d: %+v, %+v", d.number, d.leader.fence, d.campaign.Beginning(), d.leader.succession)
	}
	if d.leader.fence == 0 {
		return
	}
	for number, heard := range d.streams {
		if d.fleet.up[number][d.number] && d.fleet.daemons[number].attached != "" {
			d.streams[number] = d.fleet.now()
		} else if d.fleet.now()-heard > silenceTimeout {
			d.dropStream(number)
		}
	}
	if probe := d.leader.proof.newest(); probe != before && probe != 0 && !d.earlier {
		d.sendToFollowers(func(other *modelDaemon) { d.probe(other, probe) })
	}
	if d.fleet.chance(3) {
		d.order(d.fleet.number(modelReplicas))
	}
}

func (d *modelDaemon) sendToFollowers(deliver func(other *modelDaemon)) {
	nonce := d.leaderNonce()
	for _, other := range d.fleet.daemons {
		d.fleet.send(d.number, other.number, func() {
			if other.startsAt == 0 && other.attached == nonce && nonce != "" {
				deliver(other)
			}
		})
	}
}

func (d *modelDaemon) leaderNonce() string {
	if d.current.Daemon != d.name() {
		return ""
	}
	return d.current.Nonce
}

func (d *modelDaemon) probe(other *modelDaemon, probe uint64) {
	if other.earlier {
		return
	}
	other.follower.recordProbe(d.name())
	fence, process := d.leader.fence, d.leader
	d.fleet.send(other.number, d.number, func() {
		if d.leader == process && process.fence == fence && d.startsAt == 0 {
			process.proof.acknowledge(other.name(), probe)
		}
	})
}

func (d *modelDaemon) order(replica int) {
	leader, name := d.leader, fmt.Sprint("r", replica)
	fence := leader.fence
	if time.Now().Before(leader.orderTimes.termGapUntil(name, leader.Limits.termGap())) || !d.mayOrder(name, fence) {
		return
	}
	unleased := d.clock().Sub(leader.Election.RenewedAt()) > modelEarlierLease
	arrives := d.fleet.now() + d.fleet.duration(orderTimeout)
	d.fleet.messages = append(d.fleet.messages, modelMessage{arrives, d.number, toReplica, func() {
		d.fleet.orderArrives(replica, modelOrder{d.number, fence, d.fleet.now(), d.earlier, unleased, d.observedBefore}, leader.Election.Beginning().Way.String())
	}})
}

func (d *modelDaemon) mayOrder(replica string, fence int64) bool {
	if !d.earlier {
		return d.leader.beginOrder(replica, fence, time.Now())
	}
	lease := d.leader.leaseState()
	if lease.fence != fence || !d.leader.succession.settled && d.clock().Before(d.leader.succession.followedFrom) {
		return false
	}
	since := d.clock().Sub(lease.renewedAt)
	attached := lease.status == election.TermStoreUnreachable && 2*d.leader.attachedStreams > d.leader.maxAttachedStreams
	if since > modelEarlierLease && !attached {
		return false
	}
	d.leader.orderTimes.record(replica, time.Now().Add(orderTimeout), time.Now(), modelTermGap)
	return true
}
