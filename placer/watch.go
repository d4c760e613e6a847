package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/rpc"
)

// broadcast wakes any number of waiters.
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

// errNotLeading tells a home to look for the placer again.
var errNotLeading = errors.New("this daemon does not place for the region")

// watcher is one home's stream.
type watcher struct {
	term   *leadership
	mutex  sync.Mutex
	models map[string]bool // base models reported
	sent   map[string]sentState
}

// sentState is what a home was last told of a model.
type sentState struct {
	replicas []string // id, address and adapters, as one text each
	readyAt  time.Time
	known    bool
}

// readyTolerance is how far an estimate may drift before it is sent again.
const readyTolerance = 500 * time.Millisecond

// Watch implements the Placer rpc.
func (s *Service) Watch(stream rpc.DRPCPlacer_WatchStream) error {
	term := s.leading.Load()
	if term == nil {
		return errNotLeading
	}
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "read demand")
	}
	home := first.GetHomeId()
	watching := &watcher{term: term, models: map[string]bool{}, sent: map[string]sentState{}}
	watching.take(home, first)
	ended := make(chan error, 1)
	go func() {
		for {
			report, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			watching.take(home, report)
			term.changed.signal() // a model reported anew is told of at once
		}
	}()
	defer term.cell.dropHome(home)
	for {
		changed := term.changed.wait()
		if update := watching.update(time.Now()); update != nil {
			update.PlacerId, update.Epoch = s.SelfID, term.epoch
			if err := stream.Send(update); err != nil {
				return errors.Wrap(err, "tell home")
			}
		}
		select {
		case <-term.done:
			return errNotLeading
		case err := <-ended:
			return errors.Wrap(err, "read demand")
		case <-changed:
		}
	}
}

// take takes a demand report in.
func (w *watcher) take(home string, report *rpc.DemandReport) {
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

// update returns what changed for the home since it was last told, or nil.
func (w *watcher) update(now time.Time) *rpc.PlacementUpdate {
	shown := w.term.cell.picture()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	update := &rpc.PlacementUpdate{}
	for model := range w.models {
		message, state := describe(now, shown, model)
		if last, told := w.sent[model]; told && last.same(state) {
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

func (s sentState) same(other sentState) bool {
	drift := s.readyAt.Sub(other.readyAt).Abs()
	return slices.Equal(s.replicas, other.replicas) && s.known == other.known && drift <= readyTolerance
}

func describe(now time.Time, shown picture, model string) (*rpc.ModelReplicas, sentState) {
	message := &rpc.ModelReplicas{BaseModel: model, ReadyInMs: -1}
	state := sentState{}
	for _, ready := range placement.Ready(shown.Plan, shown.Engines, model) {
		message.Replicas = append(message.Replicas, &rpc.ReplicaInfo{
			ReplicaId: ready.ReplicaID, EngineId: ready.Engine.ID, Address: ready.Engine.Address, Zone: ready.Engine.Zone, Adapters: ready.Adapters})
		text := ready.ReplicaID + " " + ready.Engine.Address
		for _, adapter := range ready.Adapters {
			text += " " + adapter
		}
		state.replicas = append(state.replicas, text)
	}
	readyIn := placement.ReadyIn(now, shown.Plan, shown.Engines, shown.State, model)
	if readyIn != placement.NoEstimate {
		message.ReadyInMs = readyIn.Milliseconds()
		state.known = true
		if len(message.Replicas) == 0 {
			state.readyAt = now.Add(readyIn)
		}
	}
	return message, state
}
