// Package discovery sends daemons the replicas that their callers need, in fleets with too many
// replicas for every daemon to mirror. The leader and the directories that it chooses have all
// replicas. Every other daemon subscribes to one directory for the services and models that its
// callers request, so its traffic and memory grow with its requests and not with the fleet.
package discovery

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// Key identifies an interest: a service, and the model and adapter to be loaded on its replicas.
type Key struct {
	Service string
	Target  fleet.Target
}

func keyFromMessage(message *rpc.InterestTarget) Key {
	return Key{Service: message.GetService(), Target: fleet.Target{Model: message.GetModel(), Adapter: message.GetAdapter()}}
}

func (k Key) message() *rpc.InterestTarget {
	return &rpc.InterestTarget{Service: k.Service, Model: k.Target.Model, Adapter: k.Target.Adapter}
}

func keyMessages(keys []Key) []*rpc.InterestTarget {
	messages := make([]*rpc.InterestTarget, 0, len(keys))
	for _, key := range keys {
		messages = append(messages, key.message())
	}
	return messages
}

// stateMessage encodes the state of a replica.
func stateMessage(state fleet.State, now time.Time) *rpc.ReplicaState {
	loads := &rpc.ReplicaLoads{ReplicaId: state.ID, BornUnixMs: state.Born, Sequence: state.Sequence, InMemory: state.InMemory, OnDisk: state.OnDisk}
	for model, adapters := range state.Holdings {
		loads.Models = append(loads.Models, &rpc.HeldModel{Model: model, Adapters: adapters})
	}
	for target, ready := range state.Loading {
		loads.Loading = append(loads.Loading, &rpc.LoadUnderWay{Model: target.Model, Adapter: target.Adapter, ReadyInMs: max(0, ready.Sub(now).Milliseconds())})
	}
	message := &rpc.ReplicaState{
		Service: state.Service, Address: state.Address, Zone: state.Zone, Draining: state.Draining, Slots: uint32(state.Slots),
		Fence: state.Fence, Loads: loads, Running: uint32(state.Requests), SoftwareVersion: state.Version,
	}
	if state.Limit != nil {
		message.Limit = rpc.LimitMessage(*state.Limit, now)
	}
	return message
}

// stateFromMessage decodes the state of a replica.
func stateFromMessage(message *rpc.ReplicaState, now time.Time) fleet.State {
	loads := message.GetLoads()
	state := fleet.State{
		Entry: fleet.Entry{
			ID: loads.GetReplicaId(), Born: loads.GetBornUnixMs(), Version: message.GetSoftwareVersion(), Service: message.GetService(), Address: message.GetAddress(), Zone: message.GetZone(),
			Draining: message.GetDraining(), Slots: int(message.GetSlots()), Holdings: fleet.Holdings{},
			InMemory: loads.GetInMemory(), OnDisk: loads.GetOnDisk(),
		},
		Fence: message.GetFence(), Sequence: loads.GetSequence(), Loading: map[fleet.Target]time.Time{}, Requests: int(message.GetRunning()),
	}
	if message.GetLimit() != nil {
		limit := message.GetLimit().Decode(now)
		state.Limit = &limit
	}
	for _, loaded := range loads.GetModels() {
		state.Holdings[loaded.GetModel()] = loaded.GetAdapters()
	}
	for _, load := range loads.GetLoading() {
		state.Loading[fleet.Target{Model: load.GetModel(), Adapter: load.GetAdapter()}] = now.Add(time.Duration(load.GetReadyInMs()) * time.Millisecond)
	}
	return state
}
