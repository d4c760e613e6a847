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
	// viewPauseLeast gathers changes that come together into one view; the more daemons
	// hear it, the longer.
	viewPauseLeast     = 5 * time.Millisecond
	viewPausePerDaemon = 100 * time.Microsecond
)

const (
	// beatPause is the longest time between two messages of a stream, in either direction.
	beatPause = 2 * time.Second
	// silentTime is how long nothing comes on a stream before it counts as broken: connections
	// may fall silent without a reset, while new ones work.
	silentTime = 5 * time.Second
)

// watchdog reports a failure once nothing was heard for a while.
type watchdog struct{ timer *time.Timer }

func newWatchdog(failed chan<- error) watchdog {
	return watchdog{time.AfterFunc(silentTime, func() {
		select {
		case failed <- errSilent:
		default: // another failure is known
		}
	})}
}

func (w watchdog) heard() { w.timer.Reset(silentTime) }

func (w watchdog) stop() { w.timer.Stop() }

func viewPause(daemons int) time.Duration {
	return viewPauseLeast + time.Duration(daemons)*viewPausePerDaemon
}

// Attach serves one daemon's stream. It implements rpc.DRPCLoadsServer.
func (h *Leader) Attach(stream rpc.DRPCLoads_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	daemonID := first.GetDaemonId()
	leave := h.join(daemonID)
	defer leave()
	h.begin(daemonID)
	h.report(first)
	h.noteDaemon(first)
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
			silence.heard()
			h.report(message)
		}
	}()
	return h.tell(stream, daemonID, failed)
}

var errSilent = errors.New("nothing was heard on the stream for too long")

var errTermOver = errors.New("the term of the holder of load orders is over")

// join counts an attached daemon; the function returned ends it.
func (h *Leader) join(daemonID string) func() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.attached++
	h.attachedMax = max(h.attachedMax, h.attached)
	h.reach.join(daemonID)
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.attached--
		h.reach.leave(daemonID)
		if reported := h.daemons[daemonID]; reported != nil {
			reported.detached = time.Now()
		}
	}
}

// begin forgets what a daemon said on an earlier stream, perhaps as an earlier process:
// the first message of a stream names all that there is. Counts of arrivals stay, so
// that only newer ones are added to the rates.
func (h *Leader) begin(daemonID string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.daemons[daemonID]
	if known == nil {
		return
	}
	clear(known.running)
	for key, count := range known.counts {
		known.counts[key] = demand.Count{Arrivals: count.Arrivals}
	}
}

// report takes in a daemon's demand.
func (h *Leader) report(message *rpc.LoadsDemand) {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.daemons[message.GetDaemonId()]
	if known == nil {
		known = &daemonDemand{counts: map[demand.Key]demand.Count{}, running: map[string]uint32{}}
		h.daemons[message.GetDaemonId()] = known
	}
	known.detached = time.Time{}
	h.takeLeaving(message, now)
	h.takeLimits(message, now)
	if message.GetKnowsReplicas() && !known.knows {
		h.directories.wake() // the daemon's stream is told what is loaded from now on
	}
	known.knows = message.GetKnowsReplicas()
	for _, one := range message.GetRunning() {
		known.running[one.GetReplicaId()] = one.GetRequests()
		if one.GetRequests() == 0 {
			delete(known.running, one.GetReplicaId())
		}
	}
	if len(message.GetKeys()) > 0 {
		h.Wake()
	}
	for _, one := range message.GetKeys() {
		key := demand.Key{Service: one.GetService(), Target: fleet.Target{Model: one.GetModel(), Adapter: one.GetAdapter()}}
		before, had := known.counts[key]
		count := demand.Count{Arrivals: one.GetArrivals(), Waiting: int(one.GetWaiting()), Running: int(one.GetRunning())}
		if count.Waiting > 0 {
			count.WaitingSince = now.Add(-time.Duration(one.GetWaitingMs()) * time.Millisecond)
		}
		known.counts[key] = count
		arrivals := h.rates[key]
		if arrivals == nil {
			arrivals = &rate{}
			h.rates[key] = arrivals
		}
		// What a daemon counted before it attached came some time ago.
		if had && count.Arrivals >= before.Arrivals {
			arrivals.add(count.Arrivals-before.Arrivals, now)
		} else if count.Waiting+count.Running > 0 {
			arrivals.add(1, now)
		}
	}
}

// told is what a stream has told its daemon.
type told struct {
	version     uint64 // of what is loaded; zero: nothing yet
	term        int64
	directories uint64 // version of the list of directories
}

// tell sends what is loaded and how many requests run on each replica, first all and
// then each change. Daemons that do not know all replicas are told of the term and of the
// directories only.
func (h *Leader) tell(stream rpc.DRPCLoads_AttachStream, daemonID string, failed <-chan error) error {
	var told told
	beat := time.NewTicker(beatPause)
	defer beat.Stop()
	for due := true; ; {
		next, err := h.viewsFor(&told, daemonID, time.Now())
		if err != nil {
			return err
		}
		for _, message := range next.messages {
			if due || saysSomething(message) {
				if err := stream.Send(message); err != nil {
					return err
				}
			}
		}
		due = false
		select {
		case <-beat.C:
			due = true
		case err := <-failed:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-next.changed:
			time.Sleep(next.pause)
		}
	}
}

func saysSomething(view *rpc.LoadsView) bool {
	return len(view.GetReplicas())+len(view.GetRunning())+len(view.GetLeaving())+len(view.GetLimits())+len(view.GetPacked()) > 0 || view.GetDirectories() != nil
}

// nextViews are the messages that a daemon gets now, and when there may be more.
type nextViews struct {
	messages []*rpc.LoadsView
	changed  <-chan struct{}
	pause    time.Duration
}

// viewsFor returns what a daemon is to be told, and notes it as told.
func (h *Leader) viewsFor(told *told, daemonID string, now time.Time) (nextViews, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if told.term != 0 && told.term != h.fence {
		return nextViews{}, errTermOver
	}
	told.term = h.fence
	next := nextViews{changed: h.changed, pause: viewPause(h.listeners())}
	if h.isTold(daemonID) {
		next.messages = append(next.messages, h.view(told.version, now))
		told.version = h.version
	} else {
		next.messages = append(next.messages, &rpc.LoadsView{Fence: h.fence, Daemons: uint32(h.attached)})
		next.changed, told.version = h.directories.changed, 0
	}
	if version := h.directories.version; told.directories != version && h.directories.isDecided() {
		told.directories = version
		list := &rpc.Directories{Serve: h.directories.chosen[daemonID], Addresses: h.directories.addresses}
		next.messages = append(next.messages, &rpc.LoadsView{Fence: h.fence, Daemons: uint32(h.attached), Directories: list})
	}
	return next, nil
}

// isTold tells whether a daemon is told what is loaded on each replica; the mutex is held.
func (h *Leader) isTold(daemonID string) bool {
	known := h.daemons[daemonID]
	return known == nil || known.knows
}

// view makes the message of what changed after a version; the mutex is held. Daemons
// that heard the same share it.
func (h *Leader) view(after uint64, now time.Time) *rpc.LoadsView {
	if known := h.views[after]; known != nil {
		return known
	}
	view := &rpc.LoadsView{Fence: h.fence, Daemons: uint32(h.attached), Running: h.runningView(after), Leaving: h.leavingView(after), Limits: h.limitsView(after, now)}
	for _, id := range h.loads.after(after) {
		if state := h.states[id]; state != nil && state.Verified {
			view.Replicas = append(view.Replicas, replicaView(state, now))
		}
	}
	packed := view.Pack()
	if len(view.GetLimits()) == 0 { // ages of limits are told as of now
		h.views[after] = packed
	}
	return packed
}

func replicaView(state *loading.Replica, now time.Time) *rpc.ReplicaLoads {
	told := &rpc.ReplicaLoads{ReplicaId: state.ID, BornUnixMs: state.Born, Sequence: state.Sequence, InMemory: state.InMemory, OnDisk: state.OnDisk}
	leaving := map[fleet.Target]bool{}
	for _, order := range state.Pending {
		if order.Verb == loading.Unload {
			leaving[order.Target] = true
			continue
		}
		told.Loading = append(told.Loading, &rpc.LoadUnderWay{
			Model: order.Target.Model, Adapter: order.Target.Adapter, ReadyInMs: max(0, order.ReadyAt().Sub(now).Milliseconds()),
		})
	}
	for model, adapters := range state.Holdings {
		if leaving[fleet.Target{Model: model}] {
			continue
		}
		held := &rpc.HeldModel{Model: model}
		for _, adapter := range adapters {
			if !leaving[fleet.Target{Model: model, Adapter: adapter}] {
				held.Adapters = append(held.Adapters, adapter)
			}
		}
		told.Models = append(told.Models, held)
	}
	return told
}
