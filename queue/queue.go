// Package queue is the pure core of a home: the one queue of a base model and
// its adapters in a region, and the slots of the model's replicas.
//
// A Queue reads no clock, starts nothing and sends nothing. Each method takes the
// time and returns the actions to carry out, in order. It is not safe for
// concurrent use.
package queue

import (
	"container/heap"
	"fmt"
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/request"
)

// New returns an empty queue of a base model.
func New(model string, concurrency int) *Queue {
	return &Queue{
		model: model, concurrency: max(1, concurrency),
		lanes: map[string]*lane{}, items: map[string]*waitingItem{}, branches: map[string]*branchState{},
		replicas: map[string]*slots{}, running: map[string]runningItem{}, lastUsed: map[string]time.Time{},
		affinity: newAffinity(),
	}
}

// SetConcurrency changes how many requests run at once on a replica.
func (q *Queue) SetConcurrency(now time.Time, concurrency int) []Action {
	q.concurrency = max(1, concurrency)
	return q.fill(now)
}

// Submit adds an item, or refuses it at once if its branch has too many waiting
// or its deadline cannot be met. Submitting a known id again does nothing.
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
	wait, known := q.estimate(now, item)
	switch {
	case item.Limits.MaxWaiting > 0 && state.waiting >= item.Limits.MaxWaiting:
		return []Action{Refusal{Item: item, Kind: failure.LimitExceeded, RetryAfter: max(wait, retryAfterLeast),
			Message: fmt.Sprintf("branch %s already has %d requests waiting for %s", item.Branch, state.waiting, q.model)}}
	case !item.Deadline.After(now.Add(dispatchMargin)):
		return []Action{expired(item, wait)}
	case known && now.Add(wait).After(q.usefulUntil(item)):
		return []Action{Refusal{Item: item, Kind: failure.DeadlineTooShort, RetryAfter: max(wait, retryAfterLeast),
			Message: fmt.Sprintf("%s is expected to be free in %s, after the deadline", item.Target, wait.Round(time.Millisecond))}}
	}
	if retryAfter, over := state.admit(now, item); over != "" {
		return []Action{Refusal{Item: item, Kind: failure.LimitExceeded, RetryAfter: retryAfter,
			Message: fmt.Sprintf("branch %s is over its limit of %s for %s", item.Branch, over, q.model)}}
	}
	q.push(item)
	return q.fill(now)
}

func expired(item Item, wait time.Duration) Refusal {
	return Refusal{Item: item, Kind: failure.DeadlineExceeded, RetryAfter: max(wait, retryAfterLeast),
		Message: fmt.Sprintf("the request waited for %s until its deadline could no longer be met", item.Target)}
}

// Cancel withdraws a waiting item of an owner.
func (q *Queue) Cancel(id string) {
	if waiting := q.items[id]; waiting != nil {
		q.remove(waiting)
	}
}

// Release gives a slot back. service is how long the request ran; zero when it
// did not. engineFailed suspends the replica for a while.
func (q *Queue) Release(now time.Time, id string, engineFailed bool, service time.Duration) []Action {
	held, found := q.running[id]
	if !found {
		return nil
	}
	q.stopRunning(id, held)
	q.lastUsed[held.target] = now
	if replica := q.replicas[held.replicaID]; replica != nil {
		replica.running = max(0, replica.running-1)
		if engineFailed {
			q.suspend(replica, now)
		} else {
			replica.failures = 0
		}
		q.dropIfGone(replica)
	}
	if service > 0 && !engineFailed {
		q.observe(service, held.tokens)
	}
	return q.fill(now)
}

// Running is a request that a gateway runs already.
type Running struct {
	ID        string
	Target    string
	ReplicaID string
}

// Restore counts a request that a gateway runs already, after this queue was made
// or lost touch with the gateway.
func (q *Queue) Restore(now time.Time, owner string, running Running) {
	if _, known := q.running[running.ID]; known {
		return
	}
	q.Cancel(running.ID)
	q.lastUsed[running.Target] = now
	q.run(running.ID, runningItem{owner: owner, target: running.Target, replicaID: running.ReplicaID})
}

func (q *Queue) run(id string, held runningItem) {
	q.running[id] = held
	if held.branch != "" {
		q.branch(held.branch).running++
	}
	replica := q.replicas[held.replicaID]
	if replica == nil {
		replica = &slots{Replica: Replica{ID: held.replicaID}}
		q.replicas[held.replicaID] = replica
	}
	replica.running++
}

// DropWaiting forgets what a gateway has waiting, after its link broke: it submits
// that again when it is back. What it runs keeps its slots until it says otherwise
// or is known dead.
func (q *Queue) DropWaiting(owner string) {
	for _, waiting := range q.items {
		if waiting.item.Owner == owner {
			q.remove(waiting)
		}
	}
}

// Reconcile takes in all that a gateway runs in this queue; whatever else of it
// holds a slot has ended. With nothing running it forgets a dead gateway.
func (q *Queue) Reconcile(now time.Time, owner string, running []Running) []Action {
	still := make(map[string]bool, len(running))
	for _, one := range running {
		still[one.ID] = true
		q.Restore(now, owner, one)
	}
	for id, held := range q.running {
		if held.owner == owner && !still[id] {
			q.free(id, held)
		}
	}
	return q.fill(now)
}

func (q *Queue) stopRunning(id string, held runningItem) {
	delete(q.running, id)
	if held.branch != "" {
		q.branch(held.branch).running--
	}
}

func (q *Queue) free(id string, held runningItem) {
	q.stopRunning(id, held)
	if replica := q.replicas[held.replicaID]; replica != nil {
		replica.running = max(0, replica.running-1)
		q.dropIfGone(replica)
	}
}

// SetReplicas replaces the ready replicas. readyIn is when a first replica is
// expected where there is none; negative when unknown.
func (q *Queue) SetReplicas(now time.Time, replicas []Replica, readyIn time.Duration) []Action {
	for _, replica := range q.replicas {
		replica.ready = false
	}
	for _, ready := range replicas {
		replica := q.replicas[ready.ID]
		if replica == nil {
			replica = &slots{}
			q.replicas[ready.ID] = replica
		}
		replica.Replica = ready
		replica.ready = true
	}
	for _, replica := range q.replicas {
		q.dropIfGone(replica)
	}
	q.readyAt = time.Time{}
	if readyIn >= 0 {
		q.readyAt = now.Add(readyIn)
	}
	return append(q.fill(now), q.refuseHopeless(now)...)
}

func (q *Queue) dropIfGone(replica *slots) {
	if !replica.ready && replica.running == 0 {
		delete(q.replicas, replica.ID)
	}
}

// refuseHopeless ends the items whose deadline is before the first replica can
// be ready: the caller learns it now rather than at the deadline.
func (q *Queue) refuseHopeless(now time.Time) []Action {
	if len(q.replicas) > 0 || q.readyAt.IsZero() {
		return nil
	}
	var actions []Action
	wait := q.readyAt.Sub(now)
	for _, waiting := range q.sortedItems() {
		if q.readyAt.After(q.usefulUntil(waiting.item)) {
			q.remove(waiting)
			actions = append(actions, Refusal{Item: waiting.item, Kind: failure.DeadlineTooShort, RetryAfter: max(wait, retryAfterLeast),
				Message: fmt.Sprintf("%s is expected to be loaded in %s, after the deadline", waiting.item.Target, wait.Round(time.Millisecond))})
		}
	}
	return actions
}

// Tick refuses what has passed its deadline and uses replicas whose suspension
// has ended.
func (q *Queue) Tick(now time.Time) []Action {
	var actions []Action
	for _, waiting := range q.lanes {
		for class := range waiting.classes {
			for _, items := range waiting.classes[class] {
				for items.Len() > 0 && !q.usefulUntil((*items)[0].item).After(now) {
					late := (*items)[0]
					wait, _ := q.estimate(now, late.item)
					q.remove(late)
					actions = append(actions, expired(late.item, wait))
				}
			}
		}
	}
	return append(actions, q.fill(now)...)
}

// Waiting is the number of items that wait.
func (q *Queue) Waiting() int { return len(q.items) }

// HasWaiting tells whether any item waits for a target.
func (q *Queue) HasWaiting(target string) bool { return q.lanes[target] != nil }

// Running is the number of items that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Demands lists the demand of every target used, sorted by name.
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
	for _, held := range q.running {
		byTarget[held.target].Running++
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
		state = &branchState{virtual: q.virtualTime}
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
		// A branch that was idle has no claim on the time it did not use.
		state.virtual = max(state.virtual, q.virtualTime)
	}
	state.waiting++
	q.byClass[item.Class]++
	q.sequence++
	added := &waitingItem{item: item, heap: items, sequence: q.sequence}
	heap.Push(items, added)
	q.items[item.ID] = added
}

func (q *Queue) remove(waiting *waitingItem) {
	heap.Remove(waiting.heap, waiting.index)
	delete(q.items, waiting.item.ID)
	q.branches[waiting.item.Branch].waiting--
	q.byClass[waiting.item.Class]--
	if waiting.heap.Len() == 0 {
		held := q.lanes[waiting.item.Target]
		delete(held.classes[waiting.item.Class], waiting.item.Branch)
		if held.empty() {
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
