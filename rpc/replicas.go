package rpc

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// LimitMessage encodes the rate limit of a replica. The time of the observation is sent as its age at
// now, because the clocks of daemons may differ.
func LimitMessage(limit fleet.ReplicaLimit, now time.Time) *ReplicaLimit {
	return &ReplicaLimit{
		Replica:   IncarnationMessage(limit.Incarnation),
		PerSecond: limit.PerSecond, AgeMs: max(0, now.Sub(limit.ObservedAt).Milliseconds()),
	}
}

// Decode returns the limit that the message carries. now is the receiver's time, from which the age of
// the observation is subtracted. A negative rate is read as zero, which means no limit.
func (m *ReplicaLimit) Decode(now time.Time) fleet.ReplicaLimit {
	return fleet.ReplicaLimit{
		Incarnation: m.GetReplica().Incarnation(),
		PerSecond:   max(0, m.GetPerSecond()), ObservedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

// IncarnationMessage encodes the id and start time of a replica process.
func IncarnationMessage(incarnation fleet.Incarnation) *ReplicaIncarnation {
	return &ReplicaIncarnation{ReplicaId: incarnation.ID, BornUnixMs: incarnation.Born}
}

// Incarnation decodes the message. A nil message yields the zero value.
func (m *ReplicaIncarnation) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: m.GetReplicaId(), Born: m.GetBornUnixMs()}
}
