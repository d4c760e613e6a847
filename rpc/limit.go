package rpc

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// LimitMessage makes the message of what a replica said of its limit.
func LimitMessage(word fleet.ReplicaLimit, now time.Time) *ReplicaLimit {
	return &ReplicaLimit{
		Replica:   &ReplicaIncarnation{ReplicaId: word.ID, BornUnixMs: word.Born},
		PerSecond: word.PerSecond, AgeMs: max(0, now.Sub(word.HeardAt).Milliseconds()),
	}
}

// Word reads the message.
func (m *ReplicaLimit) Word(now time.Time) fleet.ReplicaLimit {
	replica := m.GetReplica()
	return fleet.ReplicaLimit{
		Incarnation: fleet.Incarnation{ID: replica.GetReplicaId(), Born: replica.GetBornUnixMs()},
		PerSecond:   max(0, m.GetPerSecond()), HeardAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}
