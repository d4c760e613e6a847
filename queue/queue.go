// Package queue implements the queue of a base model and its adapters in a region, and
// the request slots of the model's replicas. A Queue performs no I/O and reads no clock:
// its methods take the time and return the actions to perform, in sequence. It is not safe
// for concurrent use.
package queue

import (
	"container/heap"
	"fmt"
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/request"
)

// New returns an empty queue of a base model whose replicas each run up to concurrency
// requests.
func New(model string, concurrency int) *Queue {
	return &Queue{
		model: model, concurrency: max(1, concurrency),
		lanes: map[string]*lane{}, items: map[string]*waitingItem{}, branches: map[string]*branchState{},
		replicas: map[string]*replicaSlots{}, running: map[string]runningItem{}, lastUsed: map[string]time.Time{},
		affinity: newAffinity(),
	}
}

// SetConcurrency changes how many requests may run on a replica concurrently.
func (q *Queue) SetConcurrency(now time.Time, concurrency int) []Action {
	q.concurrency = max(1, concurrency)
	return q.grantWaiting(now)
}

// Submit adds an item, or refuses it at once if it exceeds a limit of its branch or cannot
// meet its deadline. Submitting an id that waits or runs already has no effect.
func (q *Queue) Submit(now time.Time, item Item) []Action {
	if q.items[item.ID] != nil {
		return nil
	}
	if _, running := q.running[item.ID]; running {
		return nil
	}
	item.Share = max(1, item.Share)
	q.lastUsed[item.Target] = now
	state := q.branch(item.Branch)
	wait, known := q.estimateWait(now, item)
	switch {
	case item.Limits.MaxWaiting > 0 && state.waiting >= item.Limits.MaxWaiting:
		return []Action{Refusal{Item: item, Kind: failure.LimitExceeded, RetryAfter: max(wait, minRetryAfter),
			Message: fmt.Sprintf("branch %s already has %d requests waiting for %s", item.Branch, state.waiting, q.model)}}
	case !item.Deadline.After(now.Add(dispatchMargin)):
		return []Action{expiredRefusal(item, wait)}
	case known && now.Add(wait).After(q.latestDispatch(item)):
		return []Action{Refusal{Item: item, Kind: failure.DeadlineTooShort, RetryAfter: max(wait, minRetryAfter),
			Message: fmt.Sprintf("%s is expected to have a free slot in %s, too late for the deadline", item.Target, wait.Round(time.Millisecond))}}
	}
	if retryAfter, exceeded := state.admit(now, item); exceeded != "" {
		return []Action{Refusal{Item: item, Kind: failure.LimitExceeded, RetryAfter: retryAfter,
			Message: fmt.Sprintf("branch %s exceeds its limit of %s for %s", item.Branch, exceeded, q.model)}}
	}
	q.push(item)
	return q.grantWaiting(now)
}

func expiredRefusal(item Item, wait time.Duration) Refusal {
	return Refusal{Item: item, Kind: failure.DeadlineExceeded, RetryAfter: max(wait, minRetryAfter),
		Message: fmt.Sprintf("the request waited for %s until its deadline could no longer be met", item.Target)}
}

// Cancel removes a waiting item.
func (q *Queue) Cancel(id string) {
	if waiting := q.items[id]; waiting != nil {
		q.remove(waiting)
	}
}

// Release frees the slot of a request. serviceTime is how long the request ran, zero if
// it did not run; engineFailed suspends the replica.
func (q *Queue) Release(now time.Time, id string, engineFailed bool, serviceTime time.Duration) []Action {
	item, found := q.running[id]
	if !found {
		return nil
	}
	q.stopRunning(id, item)
	q.lastUsed[item.target] = now
	if replica := q.replicas[item.replicaID]; replica != nil {
		replica.running = max(0, replica.running-1)
		if engineFailed {
			q.suspend(replica, now)
		} else {
			replica.failures = 0
		}
		q.dropIfUnused(replica)
	}
	if serviceTime > 0 && !engineFailed {
		q.recordService(serviceTime, item.tokens)
	}
	return q.grantWaiting(now)
}

// Running is a request that holds a slot, as its gateway reports it.
type Running struct {
	ID        string
	Target    string
	ReplicaID string
}

// Restore records a request that a gateway runs already, after the queue was created or
// the gateway reconnected.
func (q *Queue) Restore(now time.Time, gatewayID string, running Running) {
	if _, known := q.running[running.ID]; known {
		return
	}
	q.Cancel(running.ID)
	q.lastUsed[running.Target] = now
	q.startRunning(running.ID, runningItem{gatewayID: gatewayID, target: running.Target, replicaID: running.ReplicaID})
}

func (q *Queue) startRunning(id string, item runningItem) {
	q.running[id] = item
	if item.branch != "" {
		q.branch(item.branch).running++
	}
	replica := q.replicas[item.replicaID]
	if replica == nil {
		replica = &replicaSlots{Replica: Replica{ID: item.replicaID}}
		q.replicas[item.replicaID] = replica
	}
	replica.running++
}

// DropWaiting removes the waiting items of a disconnected gateway, which submits them
// again when it reconnects. Its running requests keep their slots until Reconcile.
func (q *Queue) DropWaiting(gatewayID string) {
	for _, waiting := range q.items {
		if waiting.item.GatewayID == gatewayID {
			q.remove(waiting)
		}
	}
}

// Reconcile replaces the running requests of a gateway: those not listed have ended, and
// their slots are freed. For a dead gateway, running is empty.
func (q *Queue) Reconcile(now time.Time, gatewayID string, running []Running) []Action {
	listed := make(map[string]bool, len(running))
	for _, request := range running {
		listed[request.ID] = true
		q.Restore(now, gatewayID, request)
	}
	for id, item := range q.running {
		if item.gatewayID == gatewayID && !listed[id] {
			q.releaseSlot(id, item)
		}
	}
	return q.grantWaiting(now)
}

func (q *Queue) stopRunning(id string, item runningItem) {
	delete(q.running, id)
	if item.branch != "" {
		q.branch(item.branch).running--
	}
}

func (q *Queue) releaseSlot(id string, item runningItem) {
	q.stopRunning(id, item)
	if replica := q.replicas[item.replicaID]; replica != nil {
		replica.running = max(0, replica.running-1)
		q.dropIfUnused(replica)
	}
}

// SetReplicas replaces the ready replicas. readyIn is the time until a first replica is
// expected if there is none; it is negative if unknown.
func (q *Queue) SetReplicas(now time.Time, replicas []Replica, readyIn time.Duration) []Action {
	for _, replica := range q.replicas {
		replica.ready = false
	}
	for _, ready := range replicas {
		replica := q.replicas[ready.ID]
		if replica == nil {
			replica = &replicaSlots{}
			q.replicas[ready.ID] = replica
		}
		replica.Replica = ready
		replica.ready = true
	}
	for _, replica := range q.replicas {
		q.dropIfUnused(replica)
	}
	q.firstReadyAt = time.Time{}
	if readyIn >= 0 {
		q.firstReadyAt = now.Add(readyIn)
	}
	return append(q.grantWaiting(now), q.refuseUnmeetable(now)...)
}

func (q *Queue) dropIfUnused(replica *replicaSlots) {
	if !replica.ready && replica.running == 0 {
		delete(q.replicas, replica.ID)
	}
}

// refuseUnmeetable refuses the items whose deadline cannot be met because the first replica
// is ready too late, so that callers need not wait until the deadline.
func (q *Queue) refuseUnmeetable(now time.Time) []Action {
	if len(q.replicas) > 0 || q.firstReadyAt.IsZero() {
		return nil
	}
	var actions []Action
	wait := q.firstReadyAt.Sub(now)
	for _, waiting := range q.sortedItems() {
		if q.firstReadyAt.After(q.latestDispatch(waiting.item)) {
			q.remove(waiting)
			actions = append(actions, Refusal{Item: waiting.item, Kind: failure.DeadlineTooShort, RetryAfter: max(wait, minRetryAfter),
				Message: fmt.Sprintf("%s is expected to be loaded in %s, too late for the deadline", waiting.item.Target, wait.Round(time.Millisecond))})
		}
	}
	return actions
}

// Tick refuses items that can no longer meet their deadline, and grants slots on replicas
// whose suspension has ended.
func (q *Queue) Tick(now time.Time) []Action {
	var actions []Action
	for _, targetLane := range q.lanes {
		for class := range targetLane.classes {
			for _, items := range targetLane.classes[class] {
				for items.Len() > 0 && !q.latestDispatch((*items)[0].item).After(now) {
					late := (*items)[0]
					wait, _ := q.estimateWait(now, late.item)
					q.remove(late)
					actions = append(actions, expiredRefusal(late.item, wait))
				}
			}
		}
	}
	return append(actions, q.grantWaiting(now)...)
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.items) }

// HasWaiting reports whether any item waits for a target.
func (q *Queue) HasWaiting(target string) bool { return q.lanes[target] != nil }

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Demands lists the demand for every target used so far, sorted by name.
func (q *Queue) Demands() []Demand {
	byTarget := map[string]*Demand{}
	for target, used := range q.lastUsed {
		byTarget[target] = &Demand{Target: target, LastUsed: used}
	}
	for _, waiting := range q.items {
		demand := byTarget[waiting.item.Target]
		demand.Waiting++
		if waiting.item.Class == request.Interactive {
			demand.Urgent++
		}
	}
	for _, granted := range q.running {
		byTarget[granted.target].Running++
	}
	demands := make([]Demand, 0, len(byTarget))
	for _, demand := range byTarget {
		demands = append(demands, *demand)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Target < demands[j].Target })
	return demands
}

func (q *Queue) branch(name string) *branchState {
	state := q.branches[name]
	if state == nil {
		state = &branchState{virtualStart: q.virtualTime}
		q.branches[name] = state
	}
	return state
}

func (q *Queue) push(item Item) {
	waiting := q.lanes[item.Target]
	if waiting == nil {
		waiting = &lane{target: item.Target}
		for class := range waiting.classes {
			waiting.classes[class] = map[string]*itemHeap{}
		}
		q.lanes[item.Target] = waiting
	}
	items := waiting.classes[item.Class][item.Branch]
	if items == nil {
		items = &itemHeap{}
		waiting.classes[item.Class][item.Branch] = items
	}
	state := q.branch(item.Branch)
	if state.waiting == 0 {
		// A branch gets no credit for the time in which it had no items waiting.
		state.virtualStart = max(state.virtualStart, q.virtualTime)
	}
	state.waiting++
	q.waitingByClass[item.Class]++
	q.sequence++
	added := &waitingItem{item: item, heap: items, sequence: q.sequence}
	heap.Push(items, added)
	q.items[item.ID] = added
}

func (q *Queue) remove(waiting *waitingItem) {
	heap.Remove(waiting.heap, waiting.index)
	delete(q.items, waiting.item.ID)
	q.branches[waiting.item.Branch].waiting--
	q.waitingByClass[waiting.item.Class]--
	if waiting.heap.Len() == 0 {
		targetLane := q.lanes[waiting.item.Target]
		delete(targetLane.classes[waiting.item.Class], waiting.item.Branch)
		if targetLane.empty() {
			delete(q.lanes, waiting.item.Target)
		}
	}
}

func (l *lane) empty() bool {
	for _, branches := range l.classes {
		if len(branches) > 0 {
			return false
		}
	}
	return true
}

func (q *Queue) sortedItems() []*waitingItem {
	sorted := make([]*waitingItem, 0, len(q.items))
	for _, waiting := range q.items {
		sorted = append(sorted, waiting)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].sequence < sorted[j].sequence })
	return sorted
}
