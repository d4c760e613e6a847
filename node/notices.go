package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// heardOf takes in what a replica said of itself.
func (n *Node) heardOf(notice fleet.Notice) {
	entry := n.log.WithFields(logrus.Fields{logging.RequestID: notice.RequestID, logging.Replica: notice.Replica})
	leaves := n.fleet.Hear(notice, time.Now())
	n.holder.RegistryChanged(notice.Replica)
	if leaves {
		entry.Info(logging.MessageReplicaLeaves)
	}
	if notice.Rest > 0 {
		entry.WithField(logging.RestMs, notice.Rest.Milliseconds()).Info(logging.MessageReplicaRests)
	}
}
