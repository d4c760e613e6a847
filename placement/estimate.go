package placement

import (
	"time"

	"github.com/finchspoke/finchspoke/engine"
)

// speedWeight is the weight of a new sample in the remote speed.
const speedWeight = 0.3

// ObserveRemoteLoad takes in how long a remote load took.
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

// Unknown is an estimate that cannot be made.
const NoEstimate = time.Duration(-1)

// ReadyIn estimates when a model's first replica is ready: zero if one is, and
// Unknown if no load runs or no load was seen yet to judge by.
func ReadyIn(now time.Time, plan Plan, engines map[string]Engine, state State, model string) time.Duration {
	best := NoEstimate
	for id, planned := range plan.Engines {
		known := engines[id]
		for _, assignment := range planned.Assignments {
			if assignment.Model != model || assignment.DesiredState != Keep || !known.Reachable {
				continue
			}
			left := loadLeft(now, known, assignment, state)
			if left != NoEstimate && (best == NoEstimate || left < best) {
				best = left
			}
		}
	}
	return best
}

func loadLeft(now time.Time, known Engine, assignment Assignment, state State) time.Duration {
	if isReady(known, assignment.ReplicaID) {
		return 0
	}
	if !assignment.Remote {
		return costDisk * time.Second
	}
	if state.RemoteBytesPerSecond == 0 {
		return NoEstimate
	}
	bytes := float64(assignment.MemoryBytes) * float64(len(assignment.Accelerators))
	whole := time.Duration(bytes / state.RemoteBytesPerSecond * float64(time.Second))
	return max(0, whole-now.Sub(assignment.Since))
}

// Ready lists the replicas of a model that can serve, with their engines.
func Ready(plan Plan, engines map[string]Engine, model string) []ReadyReplica {
	var ready []ReadyReplica
	for _, id := range sortedKeys(plan.Engines) {
		known := engines[id]
		if !known.Reachable || known.Leaving || known.Inventory == nil {
			continue
		}
		for _, assignment := range plan.Engines[id].Assignments {
			if assignment.Model != model || assignment.DesiredState != Keep {
				continue
			}
			for _, held := range known.Inventory.Replicas {
				if held.ID == assignment.ReplicaID && held.State == engine.Ready {
					ready = append(ready, ReadyReplica{held.ID, known, held.Adapters})
				}
			}
		}
	}
	return ready
}

// ReadyReplica is a replica that can serve.
type ReadyReplica struct {
	ReplicaID string
	Engine    Engine
	Adapters  []string
}
