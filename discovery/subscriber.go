package discovery

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// shareMost is how many replicas a daemon is told of for a target. With one in twenty lost at once,
// eight leave more than the two or three that a request may try; each costs the daemon some 300
// bytes of memory and the directory a message when it changes.
const shareMost = 8

// subscriber is one daemon's stream, as its directory keeps it. Its methods are called by the
// stream's goroutine; pending is the hub's.
type subscriber struct {
	fleet     *fleet.Directory
	hub       *hub
	daemon    string
	zone      string
	wake      chan struct{}
	pending   pending
	interests map[Key]*interest
	told      map[string]map[Key]struct{} // interests by the replicas that were told of for them
}

// interest is what a subscriber was told for one key.
type interest struct {
	replicas []string
	lacks    []Key // what replicas may gain that matters
}

func newSubscriber(known *fleet.Directory, hub *hub, daemon, zone string) *subscriber {
	return &subscriber{
		fleet: known, hub: hub, daemon: daemon, zone: zone, wake: make(chan struct{}, 1), pending: newPending(),
		interests: map[Key]*interest{}, told: map[string]map[Key]struct{}{},
	}
}

func (s *subscriber) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// change takes in what the daemon asks for now, and tells it what is new.
func (s *subscriber) change(message *rpc.Interest, now time.Time) *rpc.ReplicaUpdate {
	update := newUpdate()
	for _, one := range message.GetDropped() {
		s.drop(keyOf(one), update)
	}
	for _, one := range message.GetAdded() {
		key := keyOf(one)
		if s.interests[key] == nil {
			s.interests[key] = &interest{}
			s.review(key, update, now)
		}
		update.message.Answered = append(update.message.Answered, one)
	}
	return s.finish(update, now)
}

// changes tells what changed for the daemon since the last word.
func (s *subscriber) changes(now time.Time) *rpc.ReplicaUpdate {
	update, changed := newUpdate(), s.hub.take(s)
	for replica := range changed.replicas {
		if s.told[replica] == nil {
			continue
		}
		state, known := s.fleet.State(replica, now)
		if !known {
			update.message.Gone = append(update.message.Gone, replica)
		} else {
			update.replicas[replica] = struct{}{}
		}
		isCrowded := 2*state.Requests > state.Slots
		for key := range s.told[replica] {
			if isCrowded || !s.fleet.Serves(replica, key.Target, now) {
				changed.keys[key] = struct{}{}
			}
		}
	}
	for key := range changed.keys {
		s.review(key, update, now)
	}
	return s.finish(update, now)
}

// update is a message that is being made.
type update struct {
	message  *rpc.ReplicaUpdate
	replicas map[string]struct{} // to be told of
	released map[string]struct{}
}

func newUpdate() *update {
	return &update{message: &rpc.ReplicaUpdate{}, replicas: map[string]struct{}{}, released: map[string]struct{}{}}
}

// finish fills in what is known of the replicas that are told of.
func (s *subscriber) finish(update *update, now time.Time) *rpc.ReplicaUpdate {
	for replica := range update.released {
		if s.told[replica] == nil {
			s.hub.unwatch(s, replica)
			if !slices.Contains(update.message.Gone, replica) {
				update.message.Released = append(update.message.Released, replica)
			}
			delete(update.replicas, replica)
		}
	}
	for replica := range update.replicas {
		if state, known := s.fleet.State(replica, now); known {
			update.message.Replicas = append(update.message.Replicas, stateMessage(state, now))
		}
	}
	return update.message
}

// review chooses the replicas for an interest again.
func (s *subscriber) review(key Key, update *update, now time.Time) {
	known := s.interests[key]
	if known == nil {
		return // dropped meanwhile
	}
	chosen, serving := s.fleet.Subset(key.Service, key.Target, s.daemon, s.zone, shareMost, now)
	for _, replica := range known.replicas {
		if !slices.Contains(chosen, replica) {
			s.release(replica, key, update)
		}
	}
	for _, replica := range chosen {
		if s.told[replica] == nil {
			s.told[replica] = map[Key]struct{}{}
			s.hub.watch(s, replica)
			update.replicas[replica] = struct{}{}
		}
		s.told[replica][key] = struct{}{}
	}
	known.replicas = chosen
	s.await(key, known, serving)
}

// await notes of which gains the interest hears: of those of its target while too few serve it, and
// of those of the model while none does.
func (s *subscriber) await(key Key, known *interest, serving int) {
	var lacks []Key
	if serving < shareMost {
		lacks = append(lacks, key)
	}
	if serving == 0 && key.Target.Adapter != "" {
		lacks = append(lacks, Key{key.Service, fleet.Target{Model: key.Target.Model}})
	}
	for _, gained := range known.lacks {
		if !slices.Contains(lacks, gained) {
			s.hub.suffice(s, gained, key)
		}
	}
	for _, gained := range lacks {
		s.hub.lack(s, gained, key)
	}
	known.lacks = lacks
}

// release notes that a replica is not told of for an interest any more.
func (s *subscriber) release(replica string, key Key, update *update) {
	delete(s.told[replica], key)
	if len(s.told[replica]) == 0 {
		delete(s.told, replica)
		update.released[replica] = struct{}{}
	}
}

// drop ends an interest.
func (s *subscriber) drop(key Key, update *update) {
	known := s.interests[key]
	if known == nil {
		return
	}
	for _, replica := range known.replicas {
		s.release(replica, key, update)
	}
	s.await(key, known, shareMost)
	delete(s.interests, key)
}

// end takes the subscriber out of the hub.
func (s *subscriber) end() {
	update := newUpdate()
	for key := range s.interests {
		s.drop(key, update)
	}
	for replica := range update.released {
		s.hub.unwatch(s, replica)
	}
}
