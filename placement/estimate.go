package placement

import (
	"time"

	"github.com/finchspoke/finchspoke/engine"
)

// speedWeight is the weight of a new sample in the moving average of the load speed.
const speedWeight = 0.3

// ObserveRemoteLoad updates the speed of remote loads with one that has finished.
func (s *State) ObserveRemoteLoad(bytes int64, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := float64(bytes) / took.Seconds()
	if s.RemoteBytesPerSecond == 0 {
		s.RemoteBytesPerSecond = speed
		return
	}
	s.RemoteBytesPerSecond += speedWeight * (speed - s.RemoteBytesPerSecond)
}

// NoEstimate is returned where the time of a load cannot be estimated.
const NoEstimate = time.Duration(-1)

// ReadyIn estimates the time until a model has a ready replica: zero if it has one, and
// NoEstimate if no load is planned or the speed of loads is unknown.
func ReadyIn(now time.Time, plan Plan, engines map[string]Engine, state State, model string) time.Duration {
	best := NoEstimate
	for id, planned := range plan.Engines {
		eng := engines[id]
		for _, assignment := range planned.Assignments {
			if assignment.Model != model || assignment.DesiredState != Keep || !eng.Reachable {
				continue
			}
			remaining := remainingLoadTime(now, eng, assignment, state)
			if remaining != NoEstimate && (best == NoEstimate || remaining < best) {
				best = remaining
			}
		}
	}
	return best
}

func remainingLoadTime(now time.Time, eng Engine, assignment Assignment, state State) time.Duration {
	if isReady(eng, assignment.ReplicaID) {
		return 0
	}
	if !assignment.Remote {
		return costDisk * time.Second
	}
	if state.RemoteBytesPerSecond == 0 {
		return NoEstimate
	}
	bytes := float64(assignment.MemoryBytes) * float64(len(assignment.Accelerators))
	total := time.Duration(bytes / state.RemoteBytesPerSecond * float64(time.Second))
	return max(0, total-now.Sub(assignment.Since))
}

// Ready lists the replicas of a model that can serve requests.
func Ready(plan Plan, engines map[string]Engine, model string) []ReadyReplica {
	var ready []ReadyReplica
	for _, id := range sortedKeys(plan.Engines) {
		eng := engines[id]
		if !eng.Reachable || eng.Draining || eng.Inventory == nil {
			continue
		}
		for _, assignment := range plan.Engines[id].Assignments {
			if assignment.Model != model || assignment.DesiredState != Keep {
				continue
			}
			for _, replica := range eng.Inventory.Replicas {
				if replica.ID == assignment.ReplicaID && replica.State == engine.Ready {
					ready = append(ready, ReadyReplica{replica.ID, eng, replica.Adapters})
				}
			}
		}
	}
	return ready
}

// ReadyReplica is a replica that can serve requests, with its engine.
type ReadyReplica struct {
	ReplicaID string
	Engine    Engine
	Adapters  []string
}
