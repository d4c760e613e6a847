package rpc

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// LimitMessage makes the message of what a replica said of its limit.
func LimitMessage(word fleet.ReplicaLimit, now time.Time) *ReplicaLimit {
	return &ReplicaLimit{
		Replica:   IncarnationMessage(word.Incarnation),
		PerSecond: word.PerSecond, AgeMs: max(0, now.Sub(word.ObservedAt).Milliseconds()),
	}
}

// Word reads the message.
func (m *ReplicaLimit) Decode(now time.Time) fleet.ReplicaLimit {
	return fleet.ReplicaLimit{
		Incarnation: m.GetReplica().Incarnation(),
		PerSecond:   max(0, m.GetPerSecond()), ObservedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

// IncarnationMessage makes the message that names an incarnation.
func IncarnationMessage(one fleet.Incarnation) *ReplicaIncarnation {
	return &ReplicaIncarnation{ReplicaId: one.ID, BornUnixMs: one.Born}
}

// Incarnation reads the message.
func (m *ReplicaIncarnation) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: m.GetReplicaId(), Born: m.GetBornUnixMs()}
}
