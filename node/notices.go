package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// Notices is how the replicas' protocol deals with what replicas say of themselves.
type ReplicaCallbacks struct {
	// Hear takes in a notice, before the answer that it came with is used.
	OnHint func(fleet.Hint)
	// Admit tells, right before a request is written, whether its replica still takes it.
	Admit func(replica string, held fleet.Permit) error
}

// hear takes in what a replica said of itself.
func (n *Node) hear(notice fleet.Hint) {
	now := time.Now()
	if notice.InvalidLimit != "" {
		n.noticeEntry(notice).WithField(logging.Limit, notice.InvalidLimit).Warn(logging.MessageInvalidLimit)
	}
	if change, news := n.fleet.ApplyLimitHint(notice, now); news {
		n.notices.limits.Inc()
		n.noticeEntry(notice).WithFields(logrus.Fields{logging.Limit: change.PerSecond, logging.LimitBefore: change.Previous}).Info(logging.MessageReplicaLimitChanged)
		n.follower.LimitReported()
		n.holder.RegistryChanged(notice.Replica)
	}
	if !notice.Leaving && notice.Backoff == 0 {
		return
	}
	leaves := n.fleet.ApplyHint(notice, now)
	n.holder.RegistryChanged(notice.Replica)
	if leaves {
		n.notices.leaving.Inc()
		n.noticeEntry(notice).Info(logging.MessageReplicaDraining)
	}
	if notice.Backoff > 0 {
		n.notices.rests.Inc()
		n.noticeEntry(notice).WithField(logging.BackoffMs, notice.Backoff.Milliseconds()).Info(logging.MessageReplicaBackoff)
	}
}

// noticeEntry begins a line of a notice. It is made where one is written: most answers say nothing.
func (n *Node) noticeEntry(notice fleet.Hint) *logrus.Entry {
	return n.log.WithFields(logrus.Fields{logging.RequestID: notice.RequestID, logging.Replica: notice.Replica})
}

// noticeCounts count what replicas said of themselves.
type noticeCounts struct {
	leaving prometheus.Counter // replicas that say that they leave, each once
	rests   prometheus.Counter // answers that asked for rest
	limits  prometheus.Counter // changes of replicas' limits
}

// newPermitCounts registers the counter of questions for permits, and returns how to count one.
func newPermitCounts(registry *prometheus.Registry) func(source, outcome string) {
	asked := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_permits_asked_total", Help: "Questions for permits at replicas with a limit, by who answered and how.",
	}, []string{"source", "outcome"})
	registry.MustRegister(asked)
	return func(source, outcome string) { asked.WithLabelValues(source, outcome).Inc() }
}

func newNoticeCounts(registry *prometheus.Registry) *noticeCounts {
	made := &noticeCounts{
		leaving: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_replicas_leaving_total", Help: "Replicas whose answers to this daemon said that they leave.",
		}),
		rests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_replica_rests_total", Help: "Answers of replicas that asked this daemon for rest.",
		}),
	}
	made.limits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_replica_limit_changes_total", Help: "Answers to this daemon that named, changed or lifted their replica's limit.",
	})
	registry.MustRegister(made.leaving, made.rests, made.limits)
	return made
}
