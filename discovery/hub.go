package discovery

import (
	"slices"
	"sync"

	"github.com/finchspoke/finchspoke/fleet"
)

// hub routes changes of replicas to subscribers: to those that were sent the replica, and to those
// that wait for a replica to gain a target, that is, to have its model and adapter loaded.
type hub struct {
	mutex     sync.Mutex
	byReplica map[string]subscribers
	byKey     map[Key]map[*subscriber]waitingInterests
}

type subscribers map[*subscriber]struct{}

// waitingInterests are a subscriber's interests that wait for a replica to gain a target, each with the software
// versions whose replicas it does not wait for.
type waitingInterests map[Key][]string

func newHub() *hub {
	return &hub{byReplica: map[string]subscribers{}, byKey: map[Key]map[*subscriber]waitingInterests{}}
}

// pendingChanges collects the changes for a subscriber since its last update.
type pendingChanges struct {
	replicas map[string]struct{}
	keys     map[Key]struct{}
}

func newPendingChanges() pendingChanges {
	return pendingChanges{replicas: map[string]struct{}{}, keys: map[Key]struct{}{}}
}

// observe implements fleet.Observer.
func (h *hub) observe(change fleet.Change) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for sub := range h.byReplica[change.ID] {
		sub.pendingChanges.replicas[change.ID] = struct{}{}
		sub.signal()
	}
	for _, target := range change.Gained {
		for sub, interests := range h.byKey[Key{change.Service, target}] {
			for key, ignoredVersions := range interests {
				if slices.Contains(ignoredVersions, change.Version) {
					continue
				}
				sub.pendingChanges.keys[key] = struct{}{}
				sub.signal()
			}
		}
	}
}

// watch notifies a subscriber of a replica's changes until unwatch.
func (h *hub) watch(sub *subscriber, replica string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.byReplica[replica] == nil {
		h.byReplica[replica] = subscribers{}
	}
	h.byReplica[replica][sub] = struct{}{}
}

// unwatch ends the notifications of a replica's changes.
func (h *hub) unwatch(sub *subscriber, replica string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.byReplica[replica], sub)
	if len(h.byReplica[replica]) == 0 {
		delete(h.byReplica, replica)
	}
}

// awaitGain makes a subscriber reselect replicas for an interest when a replica gains a target, unless it
// has one of the ignored software versions.
func (h *hub) awaitGain(sub *subscriber, gained, interest Key, ignoredVersions []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.byKey[gained] == nil {
		h.byKey[gained] = map[*subscriber]waitingInterests{}
	}
	if h.byKey[gained][sub] == nil {
		h.byKey[gained][sub] = waitingInterests{}
	}
	h.byKey[gained][sub][interest] = ignoredVersions
}

// stopAwaiting reverses awaitGain.
func (h *hub) stopAwaiting(sub *subscriber, gained, interest Key) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.byKey[gained][sub], interest)
	if len(h.byKey[gained][sub]) == 0 {
		delete(h.byKey[gained], sub)
	}
	if len(h.byKey[gained]) == 0 {
		delete(h.byKey, gained)
	}
}

// takePending returns and clears the pending changes of a subscriber.
func (h *hub) takePending(sub *subscriber) pendingChanges {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	changes := sub.pendingChanges
	sub.pendingChanges = newPendingChanges()
	return changes
}
