package loader

import (
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// minViewInterval gathers changes that come together into one view; the more daemons
	// hear it, the longer.
	minViewInterval       = 5 * time.Millisecond
	viewIntervalPerDaemon = 100 * time.Microsecond
)

const (
	// beatPause is the longest time between two messages of a stream, in either direction.
	heartbeatInterval = 2 * time.Second
	// silentTime is how long nothing comes on a stream before it counts as broken: connections
	// may fall silent without a reset, while new ones work.
	silenceTimeout = 5 * time.Second
)

// watchdog reports a failure once nothing was heard for a while.
type watchdog struct{ timer *time.Timer }

func newWatchdog(failed chan<- error) watchdog {
	return watchdog{time.AfterFunc(silenceTimeout, func() {
		select {
		case failed <- errStreamSilent:
		default: // another failure is known
		}
	})}
}

func (w watchdog) reset() { w.timer.Reset(silenceTimeout) }

func (w watchdog) stop() { w.timer.Stop() }

func viewInterval(daemons int) time.Duration {
	return minViewInterval + time.Duration(daemons)*viewIntervalPerDaemon
}

// Attach serves one daemon's stream. It implements rpc.DRPCLoadsServer.
func (l *Leader) Attach(stream rpc.DRPCLoads_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	daemonID := first.GetDaemonId()
	leave := l.addStream(daemonID)
	defer leave()
	l.clearReported(daemonID)
	l.applyDemand(first)
	l.recordDaemon(first)
	failed := make(chan error, 2)
	silence := newWatchdog(failed)
	defer silence.stop()
	go func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			silence.reset()
			l.applyDemand(message)
		}
	}()
	return l.sendViews(stream, daemonID, failed)
}

var errStreamSilent = errors.New("nothing was heard on the stream for too long")

var errTermEnded = errors.New("the term of the holder of load orders is over")

// join counts an attached daemon; the function returned ends it.
func (l *Leader) addStream(daemonID string) func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attached++
	l.maxAttached = max(l.maxAttached, l.attached)
	l.attachment.addStream(daemonID)
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.attached--
		l.attachment.removeStream(daemonID)
		if reported := l.daemons[daemonID]; reported != nil {
			reported.detachedAt = time.Now()
		}
	}
}

// begin forgets what a daemon said on an earlier stream, perhaps as an earlier process:
// the first message of a stream names all that there is. Counts of arrivals stay, so
// that only newer ones are added to the rates.
func (l *Leader) clearReported(daemonID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.daemons[daemonID]
	if known == nil {
		return
	}
	clear(known.running)
	for key, count := range known.counts {
		known.counts[key] = demand.Count{Arrivals: count.Arrivals}
	}
}

// report takes in a daemon's demand.
func (l *Leader) applyDemand(message *rpc.LoadsDemand) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.daemons[message.GetDaemonId()]
	if known == nil {
		known = &daemonState{counts: map[demand.Key]demand.Count{}, running: map[string]uint32{}}
		l.daemons[message.GetDaemonId()] = known
	}
	known.detachedAt = time.Time{}
	l.applyLeaving(message, now)
	l.applyLimits(message, now)
	if message.GetKnowsReplicas() && !known.knowsReplicas {
		l.directories.wake() // the daemon's stream is told what is loaded from now on
	}
	known.knowsReplicas = message.GetKnowsReplicas()
	for _, entry := range message.GetRunning() {
		known.running[entry.GetReplicaId()] = entry.GetRequests()
		if entry.GetRequests() == 0 {
			delete(known.running, entry.GetReplicaId())
		}
	}
	if len(message.GetKeys()) > 0 {
		l.Wake()
	}
	for _, entry := range message.GetKeys() {
		key := demand.Key{Service: entry.GetService(), Target: fleet.Target{Model: entry.GetModel(), Adapter: entry.GetAdapter()}}
		before, reportedBefore := known.counts[key]
		count := demand.Count{Arrivals: entry.GetArrivals(), Waiting: int(entry.GetWaiting()), Running: int(entry.GetRunning())}
		if count.Waiting > 0 {
			count.WaitingSince = now.Add(-time.Duration(entry.GetWaitingMs()) * time.Millisecond)
		}
		known.counts[key] = count
		arrivals := l.rates[key]
		if arrivals == nil {
			arrivals = &arrivalRate{}
			l.rates[key] = arrivals
		}
		// What a daemon counted before it attached came some time ago.
		if reportedBefore && count.Arrivals >= before.Arrivals {
			arrivals.add(count.Arrivals-before.Arrivals, now)
		} else if count.Waiting+count.Running > 0 {
			arrivals.add(1, now)
		}
	}
}

// told is what a stream has told its daemon.
type sentState struct {
	version     uint64 // of what is loaded; zero: nothing yet
	term        int64
	directories uint64 // version of the list of directories
}

// tell sends what is loaded and how many requests run on each replica, first all and
// then each change. Daemons that do not know all replicas are told of the term and of the
// directories only.
func (l *Leader) sendViews(stream rpc.DRPCLoads_AttachStream, daemonID string, failed <-chan error) error {
	var sentState sentState
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for heartbeatDue := true; ; {
		next, err := l.nextViews(&sentState, daemonID, time.Now())
		if err != nil {
			return err
		}
		for _, message := range next.messages {
			if heartbeatDue || viewHasChanges(message) {
				if err := stream.Send(message); err != nil {
					return err
				}
			}
		}
		heartbeatDue = false
		select {
		case <-heartbeat.C:
			heartbeatDue = true
		case err := <-failed:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-next.changed:
			time.Sleep(next.delay)
		}
	}
}

func viewHasChanges(view *rpc.LoadsView) bool {
	return len(view.GetReplicas())+len(view.GetRunning())+len(view.GetLeaving())+len(view.GetLimits())+len(view.GetPacked()) > 0 || view.GetDirectories() != nil
}

// pendingViews are the messages that a daemon gets now, and when there may be more.
type pendingViews struct {
	messages []*rpc.LoadsView
	changed  <-chan struct{}
	delay    time.Duration
}

// nextViews returns what a daemon is to be told, and notes it as told.
func (l *Leader) nextViews(sentState *sentState, daemonID string, now time.Time) (pendingViews, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if sentState.term != 0 && sentState.term != l.fence {
		return pendingViews{}, errTermEnded
	}
	sentState.term = l.fence
	next := pendingViews{changed: l.changed, delay: viewInterval(l.loadReceivers())}
	if l.receivesLoads(daemonID) {
		next.messages = append(next.messages, l.view(sentState.version, now))
		sentState.version = l.version
	} else {
		next.messages = append(next.messages, &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attached)})
		next.changed, sentState.version = l.directories.changed, 0
	}
	if version := l.directories.version; sentState.directories != version && l.directories.decided() {
		sentState.directories = version
		list := &rpc.Directories{Serve: l.directories.chosen[daemonID], Addresses: l.directories.addresses}
		next.messages = append(next.messages, &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attached), Directories: list})
	}
	return next, nil
}

// isTold tells whether a daemon is told what is loaded on each replica; the mutex is held.
func (l *Leader) receivesLoads(daemonID string) bool {
	known := l.daemons[daemonID]
	return known == nil || known.knowsReplicas
}

// view makes the message of what changed after a version; the mutex is held. Daemons
// that heard the same share it.
func (l *Leader) view(after uint64, now time.Time) *rpc.LoadsView {
	if known := l.views[after]; known != nil {
		return known
	}
	view := &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attached), Running: l.runningView(after), Leaving: l.leavingView(after), Limits: l.limitsView(after, now)}
	for _, id := range l.loadChanges.after(after) {
		if state := l.states[id]; state != nil && state.Verified {
			view.Replicas = append(view.Replicas, replicaView(state, now))
		}
	}
	packed := view.Pack()
	if len(view.GetLimits()) == 0 { // ages of limits are told as of now
		l.views[after] = packed
	}
	return packed
}

func replicaView(state *loading.Replica, now time.Time) *rpc.ReplicaLoads {
	message := &rpc.ReplicaLoads{ReplicaId: state.ID, BornUnixMs: state.Born, Sequence: state.Sequence, InMemory: state.InMemory, OnDisk: state.OnDisk}
	unloading := map[fleet.Target]bool{}
	for _, order := range state.Pending {
		if order.Verb == loading.Unload {
			unloading[order.Target] = true
			continue
		}
		message.Loading = append(message.Loading, &rpc.LoadUnderWay{
			Model: order.Target.Model, Adapter: order.Target.Adapter, ReadyInMs: max(0, order.ReadyAt().Sub(now).Milliseconds()),
		})
	}
	for model, adapters := range state.Holdings {
		if unloading[fleet.Target{Model: model}] {
			continue
		}
		held := &rpc.HeldModel{Model: model}
		for _, adapter := range adapters {
			if !unloading[fleet.Target{Model: model, Adapter: adapter}] {
				held.Adapters = append(held.Adapters, adapter)
			}
		}
		message.Models = append(message.Models, held)
	}
	return message
}
