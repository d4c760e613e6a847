package discovery

import (
	"sync"

	"github.com/finchspoke/finchspoke/fleet"
)

// hub leads each change of the fleet to the subscribers that it concerns: those that were told of
// the replica, and those that lack replicas for a target which it has gained.
type hub struct {
	mutex     sync.Mutex
	byReplica map[string]subscribers
	byKey     map[Key]map[*subscriber]lacking
}

type subscribers map[*subscriber]struct{}

// lacking are the interests of a subscriber for which a replica that gains a target matters.
type lacking map[Key]struct{}

func newHub() *hub {
	return &hub{byReplica: map[string]subscribers{}, byKey: map[Key]map[*subscriber]lacking{}}
}

// pending is what changed for a subscriber since it looked last.
type pending struct {
	replicas map[string]struct{}
	keys     map[Key]struct{}
}

func newPending() pending {
	return pending{replicas: map[string]struct{}{}, keys: map[Key]struct{}{}}
}

// observe implements fleet.Observer.
func (h *hub) observe(change fleet.Change) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for one := range h.byReplica[change.ID] {
		one.pending.replicas[change.ID] = struct{}{}
		one.signal()
	}
	for _, target := range change.Gained {
		for one, interests := range h.byKey[Key{change.Service, target}] {
			for key := range interests {
				one.pending.keys[key] = struct{}{}
			}
			one.signal()
		}
	}
}

// watch makes a subscriber hear of a replica's changes.
func (h *hub) watch(one *subscriber, replica string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.byReplica[replica] == nil {
		h.byReplica[replica] = subscribers{}
	}
	h.byReplica[replica][one] = struct{}{}
}

// unwatch ends watch.
func (h *hub) unwatch(one *subscriber, replica string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.byReplica[replica], one)
	if len(h.byReplica[replica]) == 0 {
		delete(h.byReplica, replica)
	}
}

// lack makes a subscriber look again for an interest once a replica gains a target.
func (h *hub) lack(one *subscriber, gained, interest Key) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.byKey[gained] == nil {
		h.byKey[gained] = map[*subscriber]lacking{}
	}
	if h.byKey[gained][one] == nil {
		h.byKey[gained][one] = lacking{}
	}
	h.byKey[gained][one][interest] = struct{}{}
}

// suffice ends lack.
func (h *hub) suffice(one *subscriber, gained, interest Key) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.byKey[gained][one], interest)
	if len(h.byKey[gained][one]) == 0 {
		delete(h.byKey[gained], one)
	}
	if len(h.byKey[gained]) == 0 {
		delete(h.byKey, gained)
	}
}

// take returns what changed for a subscriber, and begins anew.
func (h *hub) take(one *subscriber) pending {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := one.pending
	one.pending = newPending()
	return taken
}
