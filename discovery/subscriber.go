package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// maxReplicasPerKey bounds the replicas that a daemon is sent for a target, except for those of rare
// software versions. It leaves enough of them for the retries of a request if some fail at once, at
// little cost in memory and updates.
const maxReplicasPerKey = 8

// subscriber is the state of a daemon's stream at its directory. The stream's goroutine calls its
// methods; the hub's mutex guards pendingChanges.
type subscriber struct {
	fleet          *fleet.Directory
	hub            *hub
	daemon         string
	zone           string
	wake           chan struct{}
	pendingChanges pendingChanges
	interests      map[Key]*subscriberInterest
	keysByReplica  map[string]map[Key]struct{} // interests by the replicas that were sent for them
	sentVersions   map[string]string           // software versions of these replicas, as last sent
}

// subscriberInterest is the state of one interest of a subscriber.
type subscriberInterest struct {
	replicas []string
	awaited  []Key // targets for which the hub reports a replica that gains them
}

func newSubscriber(directory *fleet.Directory, hub *hub, daemon, zone string) *subscriber {
	return &subscriber{
		fleet: directory, hub: hub, daemon: daemon, zone: zone, wake: make(chan struct{}, 1), pendingChanges: newPendingChanges(),
		interests: map[Key]*subscriberInterest{}, keysByReplica: map[string]map[Key]struct{}{},
		sentVersions: map[string]string{},
	}
}

func (s *subscriber) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// updateInterests applies a message of the daemon and returns the replicas to send.
func (s *subscriber) updateInterests(message *rpc.Interest, now time.Time) *rpc.ReplicaUpdate {
	update := newUpdate()
	for _, target := range message.GetDropped() {
		s.drop(keyFromMessage(target), update)
	}
	for _, target := range message.GetAdded() {
		key := keyFromMessage(target)
		if s.interests[key] == nil {
			s.interests[key] = &subscriberInterest{}
			s.selectReplicas(key, update, now)
		}
		update.message.Answered = append(update.message.Answered, target)
	}
	return s.finish(update, now)
}

// collectChanges returns the changes since the last update to the daemon.
func (s *subscriber) collectChanges(now time.Time) *rpc.ReplicaUpdate {
	update, changed := newUpdate(), s.hub.takePending(s)
	for replica := range changed.replicas {
		if s.keysByReplica[replica] == nil {
			continue
		}
		state, known := s.fleet.State(replica, now)
		if !known {
			update.message.Gone = append(update.message.Gone, replica)
		} else {
			update.replicas[replica] = struct{}{}
		}
		isSaturated, isOtherVersion := 2*state.Requests > state.Slots, state.Version != s.sentVersions[replica]
		for key := range s.keysByReplica[replica] {
			if isSaturated || isOtherVersion || !s.fleet.Serves(replica, key.Target, now) {
				changed.keys[key] = struct{}{}
			}
		}
	}
	for key := range changed.keys {
		s.selectReplicas(key, update, now)
	}
	return s.finish(update, now)
}

// update is a message under construction.
type update struct {
	message  *rpc.ReplicaUpdate
	replicas map[string]struct{} // to be sent
	released map[string]struct{} // no longer selected for any interest
}

func newUpdate() *update {
	return &update{message: &rpc.ReplicaUpdate{}, replicas: map[string]struct{}{}, released: map[string]struct{}{}}
}

// finish adds the states of the replicas to send, and the IDs of released ones, and returns the
// message.
func (s *subscriber) finish(update *update, now time.Time) *rpc.ReplicaUpdate {
	for replica := range update.released {
		if s.keysByReplica[replica] == nil {
			s.hub.unwatch(s, replica)
			delete(s.sentVersions, replica)
			if !slices.Contains(update.message.Gone, replica) {
				update.message.Released = append(update.message.Released, replica)
			}
			delete(update.replicas, replica)
		}
	}
	for replica := range update.replicas {
		if state, known := s.fleet.State(replica, now); known {
			s.sentVersions[replica] = state.Version
			update.message.Replicas = append(update.message.Replicas, stateMessage(state, now))
		}
	}
	return update.message
}

// selectReplicas updates the selection of replicas for an interest.
func (s *subscriber) selectReplicas(key Key, update *update, now time.Time) {
	current := s.interests[key]
	if current == nil {
		return // the daemon has dropped the interest meanwhile
	}
	selected, serving := s.fleet.Subset(key.Service, key.Target, s.daemon, s.zone, maxReplicasPerKey, now)
	for _, replica := range current.replicas {
		if !slices.Contains(selected, replica) {
			s.release(replica, key, update)
		}
	}
	for _, replica := range selected {
		if s.keysByReplica[replica] == nil {
			s.keysByReplica[replica] = map[Key]struct{}{}
			s.hub.watch(s, replica)
			update.replicas[replica] = struct{}{}
		}
		s.keysByReplica[replica][key] = struct{}{}
	}
	current.replicas = selected
	s.awaitGains(key, current, serving)
}

// awaitGains makes the hub report replicas that gain the interest's target, while too few serve it or if
// their software version is rare, and replicas that gain its model, while none serves the adapter.
func (s *subscriber) awaitGains(key Key, current *subscriberInterest, serving int) {
	awaited := map[Key][]string{}
	switch {
	case serving < maxReplicasPerKey:
		awaited[key] = nil
	case len(current.replicas) < maxReplicasPerKey+fleet.MaxRareReplicas:
		awaited[key] = s.fleet.CommonVersions(current.replicas)
	}
	if serving == 0 && key.Target.Adapter != "" {
		awaited[Key{key.Service, fleet.Target{Model: key.Target.Model}}] = nil
	}
	s.setAwaited(key, current, awaited)
}

// setAwaited replaces the targets for which the hub reports gains, each with the software versions to ignore.
func (s *subscriber) setAwaited(key Key, current *subscriberInterest, awaited map[Key][]string) {
	for _, gained := range current.awaited {
		if _, remains := awaited[gained]; !remains {
			s.hub.stopAwaiting(s, gained, key)
		}
	}
	for gained, ignoredVersions := range awaited {
		s.hub.awaitGain(s, gained, key, ignoredVersions)
	}
	current.awaited = slices.Collect(maps.Keys(awaited))
}

// release records that a replica is no longer selected for an interest.
func (s *subscriber) release(replica string, key Key, update *update) {
	delete(s.keysByReplica[replica], key)
	if len(s.keysByReplica[replica]) == 0 {
		delete(s.keysByReplica, replica)
		update.released[replica] = struct{}{}
	}
}

// drop removes an interest.
func (s *subscriber) drop(key Key, update *update) {
	current := s.interests[key]
	if current == nil {
		return
	}
	for _, replica := range current.replicas {
		s.release(replica, key, update)
	}
	s.setAwaited(key, current, nil)
	delete(s.interests, key)
}

// unsubscribe removes the subscriber from the hub.
func (s *subscriber) unsubscribe() {
	update := newUpdate()
	for key := range s.interests {
		s.drop(key, update)
	}
	for replica := range update.released {
		s.hub.unwatch(s, replica)
	}
}
