package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/rpc"
)

// broadcast wakes all waiters at once.
type broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{channel: make(chan struct{})} }

func (b *broadcast) signal() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.channel)
	b.channel = make(chan struct{})
}

func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.channel
}

// errNotLeading is returned to home daemons, which then look for the placer again.
var errNotLeading = errors.New("this daemon is not the placer of its region")

// watcher is the stream of one home daemon.
type watcher struct {
	term   *leadership
	mutex  sync.Mutex
	models map[string]bool // base models reported
	sent   map[string]sentState
}

// sentState is the state of a model that a home daemon was last sent.
type sentState struct {
	replicas    []string // id, address and adapters, joined by spaces
	readyAt     time.Time
	hasEstimate bool
}

// readyTolerance is how far an estimated ready time may drift before it is sent again.
const readyTolerance = 500 * time.Millisecond

// Watch implements the Placer rpc: it receives a home daemon's demand reports and sends
// the replicas of the models reported.
func (s *Service) Watch(stream rpc.DRPCPlacer_WatchStream) error {
	term := s.leading.Load()
	if term == nil {
		return errNotLeading
	}
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive demand report")
	}
	home := first.GetHomeId()
	watch := &watcher{term: term, models: map[string]bool{}, sent: map[string]sentState{}}
	watch.applyReport(home, first)
	receiveErr := make(chan error, 1)
	go func() {
		for {
			report, err := stream.Recv()
			if err != nil {
				receiveErr <- err
				return
			}
			watch.applyReport(home, report)
			term.changed.signal() // sends the replicas of a newly reported model at once
		}
	}()
	defer term.cell.dropHome(home)
	for {
		changed := term.changed.wait()
		if update := watch.update(time.Now()); update != nil {
			update.PlacerId, update.Epoch = s.SelfID, term.epoch
			if err := stream.Send(update); err != nil {
				return errors.Wrap(err, "send placement update")
			}
		}
		select {
		case <-term.done:
			return errNotLeading
		case err := <-receiveErr:
			return errors.Wrap(err, "receive demand report")
		case <-changed:
		}
	}
}

// applyReport records a demand report.
func (w *watcher) applyReport(home string, report *rpc.DemandReport) {
	now := time.Now()
	reported := make(map[string]placement.TargetDemand, len(report.GetModels()))
	w.mutex.Lock()
	for _, model := range report.GetModels() {
		if model.GetForget() {
			delete(w.models, model.GetBaseModel())
			delete(w.sent, model.GetBaseModel())
			reported[model.GetTarget()] = placement.TargetDemand{}
			continue
		}
		w.models[model.GetBaseModel()] = true
		reported[model.GetTarget()] = placement.TargetDemand{
			Waiting: int(model.GetWaiting()), Urgent: int(model.GetUrgent()), Running: int(model.GetRunning()),
			LastUsed: now.Add(-time.Duration(model.GetIdleMs()) * time.Millisecond),
		}
	}
	w.mutex.Unlock()
	w.term.cell.setDemand(home, reported)
}

// update returns the models whose state differs from what was last sent, or nil.
func (w *watcher) update(now time.Time) *rpc.PlacementUpdate {
	view := w.term.cell.cellView()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	update := &rpc.PlacementUpdate{}
	for model := range w.models {
		message, state := describeModel(now, view, model)
		if last, found := w.sent[model]; found && last.equivalent(state) {
			continue
		}
		w.sent[model] = state
		update.Models = append(update.Models, message)
	}
	if len(update.Models) == 0 {
		return nil
	}
	return update
}

// equivalent reports whether two states differ by no more than readyTolerance.
func (s sentState) equivalent(other sentState) bool {
	drift := s.readyAt.Sub(other.readyAt).Abs()
	return slices.Equal(s.replicas, other.replicas) && s.hasEstimate == other.hasEstimate && drift <= readyTolerance
}

// describeModel returns a model's state, as a message and in the form that equivalent compares.
func describeModel(now time.Time, view cellView, model string) (*rpc.ModelReplicas, sentState) {
	message := &rpc.ModelReplicas{BaseModel: model, ReadyInMs: -1}
	state := sentState{}
	for _, ready := range placement.Ready(view.Plan, view.Engines, model) {
		message.Replicas = append(message.Replicas, &rpc.ReplicaInfo{
			ReplicaId: ready.ReplicaID, EngineId: ready.Engine.ID, Address: ready.Engine.Address, Zone: ready.Engine.Zone, Adapters: ready.Adapters})
		text := ready.ReplicaID + " " + ready.Engine.Address
		for _, adapter := range ready.Adapters {
			text += " " + adapter
		}
		state.replicas = append(state.replicas, text)
	}
	readyIn := placement.ReadyIn(now, view.Plan, view.Engines, view.State, model)
	if readyIn != placement.NoEstimate {
		message.ReadyInMs = readyIn.Milliseconds()
		state.hasEstimate = true
		if len(message.Replicas) == 0 {
			state.readyAt = now.Add(readyIn)
		}
	}
	return message, state
}
