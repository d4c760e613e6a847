// Package discovery tells daemons of the replicas that their callers need, where there are too many
// replicas for each daemon to know them all.
//
// A few daemons know all replicas: the holder of load orders and those that it names, the
// directories. Every other daemon keeps one stream to a directory. It names the services and models
// that its callers ask for, and is told of some replicas for each, of what changes on them, and of
// their end. So what a daemon receives and keeps follows its own requests, and what a directory sends
// follows them and the changes; neither is the product of daemons and replicas.
//
// A daemon that loses its directory goes on with what it knows and asks another.
package discovery

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// Key is what a daemon asks for: a service, with what has to be loaded on its replicas.
type Key struct {
	Service string
	Target  fleet.Target
}

func keyOf(message *rpc.InterestTarget) Key {
	return Key{Service: message.GetService(), Target: fleet.Target{Model: message.GetModel(), Adapter: message.GetAdapter()}}
}

func (k Key) message() *rpc.InterestTarget {
	return &rpc.InterestTarget{Service: k.Service, Model: k.Target.Model, Adapter: k.Target.Adapter}
}

func messagesOf(keys []Key) []*rpc.InterestTarget {
	messages := make([]*rpc.InterestTarget, 0, len(keys))
	for _, key := range keys {
		messages = append(messages, key.message())
	}
	return messages
}

// stateMessage makes the message of what is known of a replica.
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
		Fence: state.Fence, Loads: loads, Running: uint32(state.Requests),
	}
	if state.Limit != nil {
		message.Limit = rpc.LimitMessage(*state.Limit, now)
	}
	return message
}

// stateOf reads the message of what is known of a replica.
func stateOf(message *rpc.ReplicaState, now time.Time) fleet.State {
	loads := message.GetLoads()
	state := fleet.State{
		Entry: fleet.Entry{
			ID: loads.GetReplicaId(), Born: loads.GetBornUnixMs(), Service: message.GetService(), Address: message.GetAddress(), Zone: message.GetZone(),
			Draining: message.GetDraining(), Slots: int(message.GetSlots()), Holdings: fleet.Holdings{},
			InMemory: loads.GetInMemory(), OnDisk: loads.GetOnDisk(),
		},
		Fence: message.GetFence(), Sequence: loads.GetSequence(), Loading: map[fleet.Target]time.Time{}, Requests: int(message.GetRunning()),
	}
	if message.GetLimit() != nil {
		word := message.GetLimit().Word(now)
		state.Limit = &word
	}
	for _, held := range loads.GetModels() {
		state.Holdings[held.GetModel()] = held.GetAdapters()
	}
	for _, load := range loads.GetLoading() {
		state.Loading[fleet.Target{Model: load.GetModel(), Adapter: load.GetAdapter()}] = now.Add(time.Duration(load.GetReadyInMs()) * time.Millisecond)
	}
	return state
}
