package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// Notices is how the replicas' protocol deals with what replicas say of themselves.
type Notices struct {
	// Hear takes in a notice, before the answer that it came with is used.
	Hear func(fleet.Notice)
	// Admit tells, right before a request is written, whether its replica still takes it.
	Admit func(replica string) error
}

// hear takes in what a replica said of itself.
func (n *Node) hear(notice fleet.Notice) {
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
