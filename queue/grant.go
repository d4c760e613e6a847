package queue

import (
	"time"
)

// suspend keeps a failed replica unused, longer with each consecutive failure.
func (q *Queue) suspend(replica *replicaSlots, now time.Time) {
	suspension := maxSuspension
	const doublings = 6
	if replica.failures < doublings {
		suspension = minSuspension << replica.failures
	}
	replica.failures++
	replica.failedAt = now
	replica.suspendedUntil = now.Add(min(suspension, maxSuspension))
}

func (q *Queue) usable(replica *replicaSlots, now time.Time) bool {
	return replica.ready && !now.Before(replica.suspendedUntil)
}

// grantWaiting grants items while one of them has a replica with a free slot, and refuses
// items that can no longer end by their deadline.
func (q *Queue) grantWaiting(now time.Time) []Action {
	var actions []Action
	for {
		next, replica := q.next(now)
		if next == nil {
			return actions
		}
		if !q.latestDispatch(next.item).After(now) {
			wait, _ := q.estimateWait(now, next.item)
			q.remove(next)
			actions = append(actions, expiredRefusal(next.item, wait))
			continue
		}
		state := q.branch(next.item.Branch)
		q.virtualTime = state.virtualStart
		state.virtualStart += 1 / float64(next.item.Share)
		q.remove(next)
		q.startRunning(next.item.ID, runningItem{gatewayID: next.item.GatewayID, target: next.item.Target, replicaID: replica.ID, branch: next.item.Branch, tokens: next.item.Tokens})
		q.affinity.record(next.item.Prefix, replica.ID)
		actions = append(actions, Grant{Item: next.item, Replica: replica.Replica})
	}
}

// next selects the item to grant and its replica: the highest class first, within it the
// branch that is furthest below its share, within that the earliest deadline.
func (q *Queue) next(now time.Time) (*waitingItem, *replicaSlots) {
	var best *waitingItem
	var bestReplica *replicaSlots
	for _, targetLane := range q.lanes {
		candidate := q.eligibleHead(targetLane)
		if candidate == nil || (best != nil && !q.before(candidate, best)) {
			continue
		}
		if replica := q.pickReplica(candidate.item, now); replica != nil {
			best, bestReplica = candidate, replica
		}
	}
	return best, bestReplica
}

// eligibleHead returns the first item of a lane whose branch is below MaxRunning.
func (q *Queue) eligibleHead(targetLane *lane) *waitingItem {
	for class := range targetLane.classes {
		var best *waitingItem
		for _, items := range targetLane.classes[class] {
			first := (*items)[0]
			limit := first.item.Limits.MaxRunning
			if limit > 0 && q.branch(first.item.Branch).running >= limit {
				continue
			}
			if best == nil || q.before(first, best) {
				best = first
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// before reports whether a is served before b.
func (q *Queue) before(a, b *waitingItem) bool {
	if a.item.Class != b.item.Class {
		return a.item.Class < b.item.Class
	}
	virtualA, virtualB := q.branch(a.item.Branch).virtualStart, q.branch(b.item.Branch).virtualStart
	if a.item.Branch != b.item.Branch && virtualA != virtualB {
		return virtualA < virtualB
	}
	return a.earlier(b)
}

// pickReplica returns the replica for an item: the one with the prompt prefix cached
// unless its load is well above the mean, else the least loaded one, with ties going to
// the gateway's zone. If all are suspended, the one whose last failure is the oldest gets
// one request at a time, so that a short fault does not block the queue for long.
func (q *Queue) pickReplica(item Item, now time.Time) *replicaSlots {
	var best, trial *replicaSlots
	usable, running := 0, 0
	for _, replica := range q.replicas {
		if !replica.ready || (item.Target != q.model && !replica.Adapters[item.Target]) {
			continue
		}
		if !q.usable(replica, now) {
			if replica.running == 0 && (trial == nil || replica.failedAt.Before(trial.failedAt)) {
				trial = replica
			}
			continue
		}
		usable++
		running += replica.running
		if replica.running < q.concurrency && (best == nil || preferred(replica, best, item.Zone)) {
			best = replica
		}
	}
	if usable == 0 && trial != nil && now.Sub(trial.failedAt) >= minSuspension {
		return trial
	}
	if cached := q.cachedReplica(item, now); cached != nil && best != nil {
		if float64(cached.running) <= affinityLoadFactor*float64(running)/float64(usable)+1 {
			return cached
		}
	}
	return best
}

// cachedReplica returns the replica that was last granted the item's prefix, or nil if
// it is not usable or has no free slot.
func (q *Queue) cachedReplica(item Item, now time.Time) *replicaSlots {
	replica := q.replicas[q.affinity.lookup(item.Prefix)]
	if replica == nil || !q.usable(replica, now) || replica.running >= q.concurrency {
		return nil
	}
	if item.Target != q.model && !replica.Adapters[item.Target] {
		return nil
	}
	return replica
}

// preferred reports whether replica a is a better choice than b for a gateway in zone.
func preferred(a, b *replicaSlots, zone string) bool {
	if a.running != b.running {
		return a.running < b.running
	}
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	return a.ID < b.ID
}
