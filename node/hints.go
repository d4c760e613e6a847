package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// ReplicaCallbacks are called by the clients of the replicas' protocol.
type ReplicaCallbacks struct {
	// OnHint receives the hint of each response, which may be empty, before the response is used.
	OnHint func(fleet.Hint)
	// Admit returns an error if a request must not be sent to its replica. It is called right before
	// sending, and consumes the permit if the replica has a request limit.
	Admit func(replica string, permit fleet.Permit) error
}

// handleHint applies the hint of a replica's response: its request limit, draining, or a back-off.
func (n *Node) handleHint(hint fleet.Hint) {
	now := time.Now()
	if hint.InvalidLimit != "" {
		n.hintLogEntry(hint).WithField(logging.Limit, hint.InvalidLimit).Warn(logging.MessageInvalidLimit)
	}
	if change, changed := n.fleet.ApplyLimitHint(hint, now); changed {
		n.hints.limitChanges.Inc()
		n.hintLogEntry(hint).WithFields(logrus.Fields{logging.Limit: change.PerSecond, logging.LimitBefore: change.Previous}).Info(logging.MessageReplicaLimitChanged)
		n.follower.LimitReported()
		n.leader.RegistryChanged(hint.Replica)
	}
	if hint.InvalidBrittle != "" {
		n.hintLogEntry(hint).WithField(logging.Limit, hint.InvalidBrittle).Warn(logging.MessageInvalidLimit)
	}
	if n.fleet.ApplyBrittleHint(hint, now) {
		n.hintLogEntry(hint).WithFields(logrus.Fields{logging.Limit: hint.Brittle.Rejections, logging.Outcome: brittleOutcome(hint.Brittle)}).Info(logging.MessageReplicasBrittle)
	}
	if !hint.Leaving && hint.Backoff == 0 {
		return
	}
	newlyDraining := n.fleet.ApplyHint(hint, now)
	n.leader.RegistryChanged(hint.Replica)
	if newlyDraining {
		n.hints.draining.Inc()
		n.hintLogEntry(hint).Info(logging.MessageReplicaDraining)
	}
	if hint.Backoff > 0 {
		n.hints.backoffs.Inc()
		n.hintLogEntry(hint).WithField(logging.BackoffMs, hint.Backoff.Milliseconds()).Info(logging.MessageReplicaBackoff)
	}
}

func brittleOutcome(hint fleet.BrittleHint) string {
	if hint.Brittle {
		return "brittle"
	}
	return "sound"
}

// hintLogEntry returns the log entry for a hint. It is called only where a line is written, since most responses
// carry no hint.
func (n *Node) hintLogEntry(hint fleet.Hint) *logrus.Entry {
	return n.log.WithFields(logrus.Fields{logging.RequestID: hint.RequestID, logging.Replica: hint.Replica})
}

// hintCounters count the hints of replicas.
type hintCounters struct {
	draining     prometheus.Counter // replicas that reported that they are draining, each once
	backoffs     prometheus.Counter // responses that asked for a back-off
	limitChanges prometheus.Counter // changes of replicas' request limits
}

// newPermitCounter registers the counter of permit requests, and returns a function that counts one.
func newPermitCounter(registry *prometheus.Registry) func(source, outcome string) {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_permits_asked_total", Help: "Permit requests for replicas with a request limit, by source of the answer and outcome.",
	}, []string{"source", "outcome"})
	registry.MustRegister(requests)
	return func(source, outcome string) { requests.WithLabelValues(source, outcome).Inc() }
}

func newHintCounters(registry *prometheus.Registry) *hintCounters {
	counters := &hintCounters{
		draining: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_replicas_leaving_total", Help: "Replicas whose responses to this daemon reported that they are draining.",
		}),
		backoffs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_replica_rests_total", Help: "Responses of replicas that asked this daemon to back off.",
		}),
	}
	counters.limitChanges = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_replica_limit_changes_total", Help: "Responses to this daemon that set, changed or removed their replica's request limit.",
	})
	registry.MustRegister(counters.draining, counters.backoffs, counters.limitChanges)
	return counters
}
