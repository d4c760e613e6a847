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
func (h *Holder) Attach(stream rpc.DRPCLoads_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	daemonID := first.GetDaemonId()
	leave := h.join(daemonID)
	defer leave()
	h.begin(daemonID)
	h.report(first)
	h.noteDelay(daemonID, time.Duration(first.GetTermDelayMs())*time.Millisecond)
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
	return h.tell(stream, failed)
}

var errSilent = errors.New("nothing was heard on the stream for too long")

var errTermOver = errors.New("the term of the holder of load orders is over")

// join counts an attached daemon; the function returned ends it.
func (h *Holder) join(daemonID string) func() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.attached++
	h.attachedMax = max(h.attachedMax, h.attached)
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.attached--
		if reported := h.daemons[daemonID]; reported != nil {
			reported.detached = time.Now()
		}
	}
}

// begin forgets what a daemon said on an earlier stream, perhaps as an earlier process:
// the first message of a stream names all that there is. Counts of arrivals stay, so
// that only newer ones are added to the rates.
func (h *Holder) begin(daemonID string) {
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
func (h *Holder) report(message *rpc.LoadsDemand) {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.daemons[message.GetDaemonId()]
	if known == nil {
		known = &daemonDemand{counts: map[demand.Key]demand.Count{}, running: map[string]uint32{}}
		h.daemons[message.GetDaemonId()] = known
	}
	known.detached = time.Time{}
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

// tell sends what is loaded and how many requests run on each replica, first all and
// then each change.
func (h *Holder) tell(stream rpc.DRPCLoads_AttachStream, failed <-chan error) error {
	sent, term := uint64(0), int64(0)
	beat := time.NewTicker(beatPause)
	defer beat.Stop()
	for due := true; ; {
		h.mutex.Lock()
		view, version, fence, changed, pause := h.view(sent, time.Now()), h.version, h.fence, h.changed, viewPause(h.attached)
		h.mutex.Unlock()
		if term != 0 && fence != term {
			return errTermOver
		}
		term = fence
		if due || len(view.GetReplicas())+len(view.GetRunning())+len(view.GetPacked()) > 0 {
			if err := stream.Send(view); err != nil {
				return err
			}
		}
		sent, due = version, false
		select {
		case <-beat.C:
			due = true
		case err := <-failed:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
			time.Sleep(pause)
		}
	}
}

// view makes the message of what changed after a version; the mutex is held. Daemons
// that heard the same share it.
func (h *Holder) view(after uint64, now time.Time) *rpc.LoadsView {
	if known := h.views[after]; known != nil {
		return known
	}
	view := &rpc.LoadsView{Fence: h.fence, Daemons: uint32(h.attached), Running: h.runningView(after)}
	for _, id := range h.loads.after(after) {
		if state := h.states[id]; state != nil && state.Known {
			view.Replicas = append(view.Replicas, replicaView(state, now))
		}
	}
	h.views[after] = view.Pack()
	return h.views[after]
}

func replicaView(state *loading.Replica, now time.Time) *rpc.ReplicaLoads {
	told := &rpc.ReplicaLoads{ReplicaId: state.ID, Sequence: state.Sequence, InMemory: state.InMemory, OnDisk: state.OnDisk}
	leaving := map[fleet.Target]bool{}
	for _, order := range state.UnderWay {
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
