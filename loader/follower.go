package loader

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// reportInterval is the time between reports of changed demand.
	reportInterval = 300 * time.Millisecond
	// urgentDelay batches requests that begin to wait at about the same time.
	urgentDelay   = 3 * time.Millisecond
	reattachDelay = 200 * time.Millisecond
)

// Follower keeps one stream to the leader, on which it reports demand and receives the loads of replicas. It
// is a suture service.
type Follower struct {
	Daemon string
	Demand *demand.Tracker
	Fleet  *fleet.Directory
	Leader *Leader // of this daemon; the follower notifies it of other leaders' orders
	// DaemonCount receives the number of daemons that are attached to the leader.
	DaemonCount func(int)
	// KnowsAllReplicas reports whether this daemon has the records of all replicas and so receives their loads;
	// nil: always.
	KnowsAllReplicas func() bool
	// SetDirectories receives whether this daemon is a directory, and the addresses of all directories;
	// optional.
	SetDirectories func(serve bool, addresses []string)
	// SetKeepers receives the keepers of stream origins; optional. OriginProcess is the number of this process if it
	// can keep origins, otherwise zero.
	SetKeepers    func(origin.KeeperList)
	OriginProcess uint64
	// Address is where other daemons reach this one; Zone is the zone of its machine.
	Address, Zone string
	// BaseCampaignDelay is how long this daemon waits before it campaigns for the term.
	BaseCampaignDelay time.Duration
	Log               logrus.FieldLogger
	mutex             sync.Mutex
	current           election.Leader // the leader to attach to; its nonce is empty if none is known
	changed           chan struct{}   // closed when current changes
	urgent            chan struct{}   // holds an element while a report should be sent at once
	attached          atomic.Bool
	// probedAt is when the last probe of each leader was received, by a clock that counts suspensions. A process may have
	// forgotten one from before it started, of an unknown leader.
	probedAt  map[string]time.Time
	startedAt time.Time
	// now is the clock of probedAt and startedAt; replaced by tests.
	now func() time.Time
}

// Attached reports whether a leader receives this daemon's demand.
func (f *Follower) Attached() bool { return f.attached.Load() }

// Prepare initializes the follower; it must be called before any other method.
func (f *Follower) Prepare() {
	f.changed, f.urgent = make(chan struct{}), make(chan struct{}, 1)
	f.now = boottime.Now
	f.startedAt = f.now()
	f.probedAt = map[string]time.Time{unknownLeader: f.now()}
}

// unknownLeader stands for leaders that this process cannot know.
const unknownLeader = ""

// probeMemory is how long a probe is remembered; leaders give no orders for it by then.
const probeMemory = time.Minute

// recordProbe records a probe of a leader.
func (f *Follower) recordProbe(leader string) {
	now := f.now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probedAt[leader] = now
	maps.DeleteFunc(f.probedAt, func(_ string, at time.Time) bool { return now.Sub(at) > probeMemory })
}

// processAgeMs returns how long ago this process started.
func (f *Follower) processAgeMs() int64 { return max(1, f.now().Sub(f.startedAt).Milliseconds()) }

// earlierProbeMs returns how long ago the last probe of another leader than the given one was received; zero if there was
// none lately.
func (f *Follower) earlierProbeMs(leader string) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var newest time.Time
	for prober, at := range f.probedAt {
		if prober != leader {
			newest = later(newest, at)
		}
	}
	if newest.IsZero() {
		return 0
	}
	return max(1, f.now().Sub(newest).Milliseconds())
}

// LeaderChanged makes the follower attach to a newly elected leader.
func (f *Follower) LeaderChanged(leader election.Leader) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// While the key-value service is down, the record of the leader may be missing although the leader
	// continues.
	if leader.Nonce == "" || leader.Nonce == f.current.Nonce {
		return
	}
	f.current = leader
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) leader() (election.Leader, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current, f.changed
}

// String names the service in the supervisor's events.
func (f *Follower) String() string { return "load-order-follower" }

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		leader, changed := f.leader()
		if leader.Nonce == "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		err := f.attach(ctx, leader, changed)
		if ctx.Err() == nil {
			f.Log.WithFields(logrus.Fields{logging.Dependency: "order holder", logging.Leader: leader.Daemon, logging.Fence: leader.Fence,
				logging.Cause: err.Error()}).Info(logging.MessageDependencyLost)
			sleep.For(ctx, reattachDelay)
		}
	}
	return ctx.Err()
}

var errLeaderChanged = errors.New("the leader changed")

// attach keeps a stream to a leader until it breaks or another leader is elected.
func (f *Follower) attach(ctx context.Context, leader election.Leader, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := transport.Dial(ctx, leader.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := rpc.NewDRPCLoadsClient(conn).Attach(ctx)
	if err != nil {
		return errors.Wrap(err, "attach to the leader")
	}
	sent := &sentReport{counts: map[demand.Key]demand.Count{}, running: map[string]uint32{}, draining: map[fleet.Incarnation]bool{}, limits: map[fleet.Incarnation]float64{}}
	first := f.report(sent, time.Now())
	first.TermDelayMs, first.Address, first.Zone = f.BaseCampaignDelay.Milliseconds(), f.Address, f.Zone
	first.OriginProcess = f.OriginProcess
	first.AcknowledgesProbes, first.EarlierProbeMs = true, f.earlierProbeMs(leader.Daemon)
	first.ProcessAgeMs = f.processAgeMs()
	if err := stream.Send(first); err != nil {
		return err
	}
	sent.updateKnowsReplicas(first.GetKnowsReplicas())
	f.Log.WithFields(logrus.Fields{logging.Dependency: "order holder", logging.Leader: leader.Daemon, logging.Fence: leader.Fence}).Info(logging.MessageDependencyRegained)
	f.attached.Store(true)
	defer f.attached.Store(false)
	failed := make(chan error, 2)
	silence := newWatchdog(failed)
	defer silence.stop()
	go func() { failed <- f.receiveViews(stream, leader.Daemon, sent, silence) }()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	reportTicker := time.NewTicker(reportInterval)
	defer reportTicker.Stop()
	for {
		heartbeatDue := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-changed:
			return errLeaderChanged
		case <-heartbeat.C:
			heartbeatDue = true
		case <-f.Demand.Urgent():
			sleep.For(ctx, urgentDelay)
		case <-f.urgent:
		case <-reportTicker.C:
		}
		report := f.report(sent, time.Now())
		report.AcknowledgedProbe = sent.takeProbe()
		if heartbeatDue || report.AcknowledgedProbe > 0 || sent.updateKnowsReplicas(report.GetKnowsReplicas()) || demandHasChanges(report) {
			if err := stream.Send(report); err != nil {
				return err
			}
		}
	}
}

func demandHasChanges(message *rpc.LoadsDemand) bool {
	return len(message.GetKeys())+len(message.GetRunning())+len(message.GetLeaving())+len(message.GetLimits()) > 0
}

// sentReport is the state that the follower has sent to the leader on one stream.
type sentReport struct {
	counts        map[demand.Key]demand.Count
	versionWaits  map[demand.VersionKey]demand.VersionWait
	mutex         sync.Mutex                 // guards running, limits and probe, which the receiving goroutine uses too
	probe         uint64                     // that has not been acknowledged yet; zero if there is none
	running       map[string]uint32          // requests of this daemon by replica
	knowsReplicas bool                       // used only by the sending goroutine
	draining      map[fleet.Incarnation]bool // used only by the sending goroutine
	limits        map[fleet.Incarnation]float64
}

// takeProbe returns the newest probe, if it has not been acknowledged yet.
func (r *sentReport) takeProbe() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	number := r.probe
	r.probe = 0
	return number
}

// updateKnowsReplicas records whether this daemon has the records of all replicas, and returns whether that
// changed.
func (r *sentReport) updateKnowsReplicas(knowsReplicas bool) bool {
	changed := r.knowsReplicas != knowsReplicas
	r.knowsReplicas = knowsReplicas
	return changed
}

// updateVersionWaits records the requests that wait at a software version, and returns the keys for which that
// changed.
func (r *sentReport) updateVersionWaits(waits map[demand.VersionKey]demand.VersionWait) map[demand.Key]bool {
	changed := map[demand.Key]bool{}
	for key, wait := range waits {
		if r.versionWaits[key] != wait {
			changed[key.Key] = true
		}
	}
	for key := range r.versionWaits {
		if _, waiting := waits[key]; !waiting {
			changed[key.Key] = true
		}
	}
	r.versionWaits = waits
	return changed
}

// runningOn returns the number of running requests last reported for a replica.
func (r *sentReport) runningOn(replica string) uint32 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running[replica]
}

// report returns a report of all changes since the last one.
func (f *Follower) report(sent *sentReport, now time.Time) *rpc.LoadsDemand {
	report := &rpc.LoadsDemand{DaemonId: f.Daemon, KnowsReplicas: f.knowsReplicas(), Leaving: f.newDraining(sent), Limits: f.newLimits(sent, now)}
	waits := f.Demand.VersionWaits() // before the counts, which then include their keys
	waitsChanged := sent.updateVersionWaits(waits)
	for key, count := range f.Demand.Counts() {
		if key.Target.Model == "" || sent.counts[key] == count && !waitsChanged[key] {
			continue
		}
		sent.counts[key] = count
		report.Keys = append(report.Keys, &rpc.TargetLoadDemand{
			Service: key.Service, Model: key.Target.Model, Adapter: key.Target.Adapter,
			Arrivals: count.Arrivals, Waiting: uint32(count.Waiting), Running: uint32(count.Running), WaitingMs: waitingMs(count.WaitingSince, now),
			ObjectiveMs: count.Objective.Milliseconds(), Versions: versionDemand(key, waits, now),
		})
	}
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	report.Running = changedRunning(sent.running, f.Fleet.Running())
	return report
}

func waitingMs(since, now time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Milliseconds()
}

// receiveViews applies the leader's messages until the stream fails.
func (f *Follower) receiveViews(stream rpc.DRPCLoads_AttachClient, leader string, sent *sentReport, silence watchdog) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.reset()
		view, err := message.Unpack()
		if err != nil {
			return err
		}
		now := time.Now()
		// A daemon that does not receive the replicas' loads cannot tell when the leader gave its last order, so it
		// assumes one before each message.
		if view.GetFence() > 0 && (len(view.GetReplicas()) > 0 || !f.knowsReplicas()) {
			f.Leader.ObserveOrder()
		}
		if number := view.GetProbe(); number > 0 {
			f.recordProbe(leader)
			sent.mutex.Lock()
			sent.probe = number
			sent.mutex.Unlock()
			f.reportSoon()
		}
		f.DaemonCount(int(view.GetDaemons()))
		if directories := view.GetDirectories(); directories != nil && f.SetDirectories != nil {
			f.SetDirectories(directories.GetServe(), directories.GetAddresses())
		}
		f.applyKeepers(view.GetOriginKeepers())
		for _, leaving := range incarnationsOf(view.GetLeaving()) {
			f.Fleet.ApplyRelayedDraining(leaving, now)
		}
		f.applyLimits(view.GetLimits(), sent, now)
		for _, entry := range view.GetReplicas() {
			f.applyReplicaLoads(view.GetFence(), entry, now)
		}
		for _, entry := range view.GetRunning() {
			own := sent.runningOn(entry.GetReplicaId())
			f.Fleet.SetRemoteInflight(entry.GetReplicaId(), int(entry.GetRequests())-int(own), now)
		}
	}
}

// applyKeepers applies the leader's list of keepers of stream origins, if the message holds one.
func (f *Follower) applyKeepers(message *rpc.OriginKeepers) {
	if message == nil || f.SetKeepers == nil {
		return
	}
	list, err := origin.DecodeKeepers(message)
	if err != nil {
		f.Log.WithFields(logrus.Fields{logging.Dependency: "order holder", logging.Cause: err.Error()}).Warn("list of keepers of stream origins not usable")
		return
	}
	f.SetKeepers(list)
}

func (f *Follower) knowsReplicas() bool { return f.KnowsAllReplicas == nil || f.KnowsAllReplicas() }

// applyReplicaLoads applies the leader's record of a replica to the daemon's directory.
func (f *Follower) applyReplicaLoads(fence int64, loads *rpc.ReplicaLoads, now time.Time) {
	holdings := fleet.Holdings{}
	for _, held := range loads.GetModels() {
		holdings[held.GetModel()] = held.GetAdapters()
	}
	readyAt := map[fleet.Target]time.Time{}
	for _, load := range loads.GetLoading() {
		readyAt[fleet.Target{Model: load.GetModel(), Adapter: load.GetAdapter()}] = now.Add(time.Duration(load.GetReadyInMs()) * time.Millisecond)
	}
	f.Fleet.ApplyLeaderRecord(loads.GetReplicaId(), fleet.LeaderRecord{
		Born: loads.GetBornUnixMs(), Fence: fence, Sequence: loads.GetSequence(), Holdings: holdings, Loading: readyAt,
		InMemory: loads.GetInMemory(), OnDisk: loads.GetOnDisk(),
	}, now)
}
