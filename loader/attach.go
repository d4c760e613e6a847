package loader

import (
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// minViewInterval batches changes into one view; viewIntervalPerDaemon lengthens the interval with each
	// daemon that receives views.
	minViewInterval       = 5 * time.Millisecond
	viewIntervalPerDaemon = 100 * time.Microsecond
)

const (
	// heartbeatInterval is the longest time between two messages of a stream, in either direction.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout is the time without a message after which a stream counts as broken. A connection may
	// stop delivering data without a reset.
	silenceTimeout = 5 * time.Second
)

// watchdog reports a failure when no message was received within silenceTimeout.
type watchdog struct{ timer *time.Timer }

func newWatchdog(failed chan<- error) watchdog {
	return watchdog{time.AfterFunc(silenceTimeout, func() {
		select {
		case failed <- errStreamSilent:
		default: // another failure was reported first
		}
	})}
}

func (w watchdog) reset() { w.timer.Reset(silenceTimeout) }

func (w watchdog) stop() { w.timer.Stop() }

func viewInterval(daemons int) time.Duration {
	return minViewInterval + time.Duration(daemons)*viewIntervalPerDaemon
}

// Attach serves the stream of one daemon. It implements rpc.DRPCLoadsServer.
func (l *Leader) Attach(stream rpc.DRPCLoads_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	daemonID := first.GetDaemonId()
	l.observeFollower(first)
	removeStream := l.addStream(daemonID)
	defer removeStream()
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

var errStreamSilent = errors.New("stream timed out: no message received")

var errTermEnded = errors.New("the leader's term has ended")

// observeFollower records that a daemon follows this term, and when it last received a probe of an earlier leader.
func (l *Leader) observeFollower(first *rpc.LoadsDemand) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	probedAt := time.Time{}
	if first.GetEarlierProbeMs() > 0 {
		probedAt = l.now().Add(-time.Duration(first.GetEarlierProbeMs()) * time.Millisecond)
	}
	l.succession.observe(first.GetDaemonId(), probedAt)
}

// addStream counts a daemon's stream; the returned function removes it.
func (l *Leader) addStream(daemonID string) func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attachedStreams++
	l.maxAttachedStreams = max(l.maxAttachedStreams, l.attachedStreams)
	l.attachment.addStream(daemonID)
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.attachedStreams--
		l.attachment.removeStream(daemonID)
		if state := l.daemons[daemonID]; state != nil {
			state.detachedAt = time.Now()
		}
	}
}

// clearReported discards what a daemon reported on an earlier stream, since the first message of a stream is
// complete. It keeps the arrival counts, so that only newer arrivals are added to the rates.
func (l *Leader) clearReported(daemonID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.daemons[daemonID]
	if state == nil {
		return
	}
	clear(state.running)
	clear(state.versionWaits)
	for key, count := range state.counts {
		state.counts[key] = demand.Count{Arrivals: count.Arrivals}
	}
}

// applyDemand records a daemon's report.
func (l *Leader) applyDemand(message *rpc.LoadsDemand) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.daemons[message.GetDaemonId()]
	if state == nil {
		state = &daemonState{counts: map[demand.Key]demand.Count{}, running: map[string]uint32{}}
		l.daemons[message.GetDaemonId()] = state
	}
	state.detachedAt = time.Time{}
	if number := message.GetAcknowledgedProbe(); number > 0 {
		l.proof.acknowledge(message.GetDaemonId(), number)
	}
	l.applyDraining(message, now)
	l.applyLimits(message, now)
	if message.GetKnowsReplicas() && !state.knowsReplicas {
		l.directories.wake() // from now on, the daemon receives the loads of all replicas
	}
	state.knowsReplicas = message.GetKnowsReplicas()
	for _, entry := range message.GetRunning() {
		state.running[entry.GetReplicaId()] = entry.GetRequests()
		if entry.GetRequests() == 0 {
			delete(state.running, entry.GetReplicaId())
		}
	}
	if len(message.GetKeys()) > 0 {
		l.Wake()
	}
	for _, entry := range message.GetKeys() {
		key := demand.Key{Service: entry.GetService(), Target: fleet.Target{Model: entry.GetModel(), Adapter: entry.GetAdapter()}}
		before, reportedBefore := state.counts[key]
		count := demand.Count{Arrivals: entry.GetArrivals(), Waiting: int(entry.GetWaiting()), Running: int(entry.GetRunning()),
			Objective: time.Duration(entry.GetObjectiveMs()) * time.Millisecond}
		if count.Waiting > 0 {
			count.WaitingSince = now.Add(-time.Duration(entry.GetWaitingMs()) * time.Millisecond)
		}
		state.counts[key] = count
		state.applyVersionDemand(key, entry.GetVersions(), now)
		arrivals := l.rates[key]
		if arrivals == nil {
			arrivals = &arrivalRate{}
			l.rates[key] = arrivals
		}
		arrivals.observeObjective(count.Objective)
		// Arrivals from before the daemon attached are too old for the rate.
		if reportedBefore && count.Arrivals >= before.Arrivals {
			arrivals.add(count.Arrivals-before.Arrivals, now)
		} else if count.Waiting+count.Running > 0 {
			arrivals.add(1, now)
		}
	}
}

// sentState is the state that the leader has sent to a daemon on a stream.
type sentState struct {
	version     uint64 // of the replicas' loads; zero: not sent yet
	term        int64
	directories uint64 // version of the directory list
	keepers     uint64 // version of the list of keepers of stream origins
	probe       uint64
}

// sendViews sends the loaded models and the running requests of each replica: first all of them, then each
// change. Daemons without replica records receive only the term and the directory list.
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
		case <-next.probed:
		}
	}
}

func viewHasChanges(view *rpc.LoadsView) bool {
	return len(view.GetReplicas())+len(view.GetRunning())+len(view.GetLeaving())+len(view.GetLimits())+len(view.GetPacked()) > 0 || view.GetProbe() > 0 || view.GetDirectories() != nil || view.GetOriginKeepers() != nil
}

// pendingViews are the messages to send to a daemon now. Once changed is closed, there may be more; the stream
// then waits for delay, which batches changes.
type pendingViews struct {
	messages []*rpc.LoadsView
	changed  <-chan struct{}
	delay    time.Duration
	probed   <-chan struct{} // closed with the next probe, which does not wait
}

// nextViews returns the messages that a daemon has not received yet, and marks them as sent.
func (l *Leader) nextViews(sentState *sentState, daemonID string, now time.Time) (pendingViews, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if sentState.term != 0 && sentState.term != l.fence {
		return pendingViews{}, errTermEnded
	}
	sentState.term = l.fence
	next := pendingViews{changed: l.changed, delay: viewInterval(l.loadReceivers()), probed: l.proof.changed}
	if number := l.proof.newest(); sentState.probe < number {
		sentState.probe = number
		next.messages = append(next.messages, &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attachedStreams), Probe: number})
	}
	if l.receivesLoads(daemonID) {
		next.messages = append(next.messages, l.view(sentState.version, now))
		sentState.version = l.version
	} else {
		next.messages = append(next.messages, &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attachedStreams)})
		next.changed, sentState.version = l.directories.changed, 0
	}
	if version := l.directories.version; sentState.directories != version && l.directories.decided() {
		sentState.directories = version
		list := &rpc.Directories{Serve: l.directories.chosen[daemonID], Addresses: l.directories.addresses}
		next.messages = append(next.messages, &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attachedStreams), Directories: list})
	}
	if version := l.keepers.version; sentState.keepers != version && l.keepers.decided() {
		sentState.keepers = version
		next.messages = append(next.messages, &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attachedStreams), OriginKeepers: origin.EncodeKeepers(l.keepers.list)})
	}
	return next, nil
}

// receivesLoads reports whether a daemon receives the loads of each replica. The caller holds the mutex.
func (l *Leader) receivesLoads(daemonID string) bool {
	state := l.daemons[daemonID]
	return state == nil || state.knowsReplicas
}

// view returns the message with all changes after a version; it is shared by the daemons that have that
// version. The caller holds the mutex.
func (l *Leader) view(after uint64, now time.Time) *rpc.LoadsView {
	if shared := l.views[after]; shared != nil {
		return shared
	}
	view := &rpc.LoadsView{Fence: l.fence, Daemons: uint32(l.attachedStreams), Running: l.runningView(after), Leaving: l.drainingView(after), Limits: l.limitsView(after, now)}
	for _, id := range l.loadChanges.after(after) {
		if state := l.states[id]; state != nil && state.Verified {
			view.Replicas = append(view.Replicas, replicaView(state, now))
		}
	}
	packed := view.Pack()
	if len(view.GetLimits()) == 0 { // limits carry their age, so such a view cannot be reused
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
