package loader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// reportPause is the time between reports of demand that has changed.
	reportPause = 300 * time.Millisecond
	// urgentPause gathers requests that begin to wait together.
	urgentPause = 3 * time.Millisecond
	attachPause = 200 * time.Millisecond
)

// Follower keeps one stream to the holder of load orders. It is a suture service.
type Follower struct {
	Daemon string
	Demand *demand.Tracker
	Fleet  *fleet.Directory
	Leader *Leader // of this daemon, told of orders that others gave
	// Daemons is told how many daemons are attached to the holder.
	Daemons func(int)
	// KnowsReplicas tells whether this daemon knows all replicas, and is told what is loaded on each;
	// nil: it does.
	KnowsReplicas func() bool
	// Directories is told whether this daemon is to know all replicas for others, and which daemons
	// do; nil: nobody is.
	SetDirectories func(serve bool, addresses []string)
	// Address is where daemons reach this one, and Zone where it is.
	Address, Zone string
	// TermDelay is how long this daemon waits before it campaigns for the term.
	TermDelay time.Duration
	Log       logrus.FieldLogger
	mutex     sync.Mutex
	current   election.Leader
	changed   chan struct{}
	news      chan struct{} // holds an element while there is something to be told at once
	attached  atomic.Bool
}

// Attached tells whether a holder of load orders hears of this daemon's demand.
func (f *Follower) Attached() bool { return f.attached.Load() }

// Prepare makes the follower ready for use.
func (f *Follower) Prepare() { f.changed, f.news = make(chan struct{}), make(chan struct{}, 1) }

// LeaderChanged takes in who holds the orders now.
func (f *Follower) LeaderChanged(holder election.Leader) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// A record that went away leaves the last holder in place: while the service
	// that keeps the record is down, the holder goes on.
	if holder.Nonce == "" || holder.Nonce == f.current.Nonce {
		return
	}
	f.current = holder
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) holder() (election.Leader, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current, f.changed
}

// String names the service in the supervisor's events.
func (f *Follower) String() string { return "load-order-follower" }

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		holder, changed := f.holder()
		if holder.Nonce == "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		err := f.attach(ctx, holder, changed)
		if ctx.Err() == nil {
			f.Log.WithFields(logrus.Fields{logging.Dependency: "order holder", logging.Leader: holder.Daemon, logging.Fence: holder.Fence,
				logging.Cause: err.Error()}).Info(logging.MessageDependencyLost)
			sleep.For(ctx, attachPause)
		}
	}
	return ctx.Err()
}

var errHolderChanged = errors.New("the holder changed")

// attach keeps a stream to a holder until it breaks or another holder is known.
func (f *Follower) attach(ctx context.Context, holder election.Leader, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := transport.Dial(ctx, holder.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := rpc.NewDRPCLoadsClient(conn).Attach(ctx)
	if err != nil {
		return errors.Wrap(err, "attach to the holder of load orders")
	}
	sent := &reported{counts: map[demand.Key]demand.Count{}, running: map[string]uint32{}, leaving: map[fleet.Incarnation]bool{}, limits: map[fleet.Incarnation]float64{}}
	first := f.message(sent, time.Now())
	first.TermDelayMs, first.Address, first.Zone = f.TermDelay.Milliseconds(), f.Address, f.Zone
	if err := stream.Send(first); err != nil {
		return err
	}
	sent.learns(first.GetKnowsReplicas())
	f.Log.WithFields(logrus.Fields{logging.Dependency: "order holder", logging.Leader: holder.Daemon, logging.Fence: holder.Fence}).Info(logging.MessageDependencyRegained)
	f.attached.Store(true)
	defer f.attached.Store(false)
	failed := make(chan error, 2)
	silence := newWatchdog(failed)
	defer silence.stop()
	go func() { failed <- f.listen(stream, sent, silence) }()
	beat := time.NewTicker(beatPause)
	defer beat.Stop()
	ticker := time.NewTicker(reportPause)
	defer ticker.Stop()
	for {
		due := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-changed:
			return errHolderChanged
		case <-beat.C:
			due = true
		case <-f.Demand.Urgent():
			sleep.For(ctx, urgentPause)
		case <-f.news:
		case <-ticker.C:
		}
		if message := f.message(sent, time.Now()); due || sent.learns(message.GetKnowsReplicas()) || saysAnything(message) {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
	}
}

func saysAnything(message *rpc.LoadsDemand) bool {
	return len(message.GetKeys())+len(message.GetRunning())+len(message.GetLeaving())+len(message.GetLimits()) > 0
}

// reported is what a holder was told on one stream.
type reported struct {
	counts  map[demand.Key]demand.Count
	mutex   sync.Mutex                 // guards running and limits, which the listener uses too
	running map[string]uint32          // requests of this daemon by replica
	knows   bool                       // all replicas; used by the sender only
	leaving map[fleet.Incarnation]bool // used by the sender only
	limits  map[fleet.Incarnation]float64
}

// learns notes whether this daemon knows all replicas, and tells whether that is news.
func (r *reported) learns(knows bool) bool {
	isNews := r.knows != knows
	r.knows = knows
	return isNews
}

// runningOn returns what was told of a replica.
func (r *reported) runningOn(replica string) uint32 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running[replica]
}

// message makes a report of what differs from what was sent.
func (f *Follower) message(sent *reported, now time.Time) *rpc.LoadsDemand {
	message := &rpc.LoadsDemand{DaemonId: f.Daemon, KnowsReplicas: f.knowsReplicas(), Leaving: f.leavingNews(sent), Limits: f.limitNews(sent, now)}
	for key, count := range f.Demand.Counts() {
		if key.Target.Model == "" || sent.counts[key] == count {
			continue
		}
		sent.counts[key] = count
		message.Keys = append(message.Keys, &rpc.TargetLoadDemand{
			Service: key.Service, Model: key.Target.Model, Adapter: key.Target.Adapter,
			Arrivals: count.Arrivals, Waiting: uint32(count.Waiting), Running: uint32(count.Running), WaitingMs: waitingMs(count, now),
		})
	}
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	message.Running = changedRunning(sent.running, f.Fleet.Running())
	return message
}

func waitingMs(count demand.Count, now time.Time) int64 {
	if count.WaitingSince.IsZero() {
		return 0
	}
	return now.Sub(count.WaitingSince).Milliseconds()
}

// listen takes in what the holder tells.
func (f *Follower) listen(stream rpc.DRPCLoads_AttachClient, sent *reported, silence watchdog) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.heard()
		view, err := message.Unpack()
		if err != nil {
			return err
		}
		now := time.Now()
		// A daemon that is not told what is loaded does not know when the last order was given.
		if view.GetFence() > 0 && (len(view.GetReplicas()) > 0 || !f.knowsReplicas()) {
			f.Leader.ObserveOrder(now)
		}
		f.Daemons(int(view.GetDaemons()))
		if directories := view.GetDirectories(); directories != nil && f.SetDirectories != nil {
			f.SetDirectories(directories.GetServe(), directories.GetAddresses())
		}
		for _, leaving := range incarnationsOf(view.GetLeaving()) {
			f.Fleet.ApplyRelayedDraining(leaving, now)
		}
		f.takeLimits(view.GetLimits(), sent, now)
		for _, told := range view.GetReplicas() {
			f.confirm(view.GetFence(), told, now)
		}
		for _, told := range view.GetRunning() {
			own := sent.runningOn(told.GetReplicaId())
			f.Fleet.SetRemoteInflight(told.GetReplicaId(), int(told.GetRequests())-int(own), now)
		}
	}
}

func (f *Follower) knowsReplicas() bool { return f.KnowsReplicas == nil || f.KnowsReplicas() }

func (f *Follower) confirm(fence int64, told *rpc.ReplicaLoads, now time.Time) {
	holdings := fleet.Holdings{}
	for _, held := range told.GetModels() {
		holdings[held.GetModel()] = held.GetAdapters()
	}
	loads := map[fleet.Target]time.Time{}
	for _, load := range told.GetLoading() {
		loads[fleet.Target{Model: load.GetModel(), Adapter: load.GetAdapter()}] = now.Add(time.Duration(load.GetReadyInMs()) * time.Millisecond)
	}
	f.Fleet.ApplyLeaderRecord(told.GetReplicaId(), fleet.LeaderRecord{
		Born: told.GetBornUnixMs(), Fence: fence, Sequence: told.GetSequence(), Holdings: holdings, Loading: loads,
		InMemory: told.GetInMemory(), OnDisk: told.GetOnDisk(),
	}, now)
}
