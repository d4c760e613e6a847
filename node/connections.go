package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/upstream"
)

// newReplicaPool returns the pool of connections to replicas. It counts the connections that it opens, and logs and
// counts unsolicited responses.
func (n *Node) newReplicaPool() *upstream.Pool {
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_replica_connections_opened_total", Help: "Connections opened to replicas.",
	})
	unsolicited := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_replica_unsolicited_responses_total",
		Help: "Responses of replicas that answered no waiting request, by where on their connection they were found.",
	}, []string{"position"})
	n.metrics.MustRegister(opened, unsolicited)
	pool := upstream.NewPool(n.config.DialReplica, opened.Inc)
	pool.OnUnsolicited(func(response upstream.UnsolicitedResponse) {
		unsolicited.WithLabelValues(response.Position.String()).Inc()
		n.log.WithFields(logrus.Fields{
			logging.Address: response.Address, logging.Connection: response.Connection, logging.Position: response.Position.String(),
			logging.Status: response.Status, logging.Cause: "the replica answered a request again",
		}).Info(logging.MessageUnsolicitedResponse)
	})
	return pool
}
