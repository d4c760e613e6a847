package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/routing"
)

// follow leads records to the parts that use them.
func (n *Node) follow(adapters Adapters) {
	n.mirror.Handle(adapters.TableKey, func(event kv.Event) {
		if event.Pair.Key == adapters.TableKey && !event.Deleted {
			n.takeTable(adapters, event.Pair)
		}
	})
	n.mirror.Handle(adapters.ReplicaPrefix, func(event kv.Event) { n.takeReplica(adapters, event) })
	n.mirror.Handle(n.config.TermKey, n.election.Observe)
	n.mirror.Loaded(func() {
		if _, held := n.mirror.Get(n.config.TermKey); !held {
			n.election.Vacate()
		}
	})
}

// takeTable takes an imported table into force. One that cannot be read leaves the
// one in force.
func (n *Node) takeTable(adapters Adapters, pair kv.Pair) {
	revision, err := adapters.ReadTable(pair)
	if err == nil {
		var table *routing.Table
		if table, err = routing.NewTable(revision); err == nil {
			taken := n.routes.Put(table)
			n.log.WithFields(logrus.Fields{logging.ConfigVersion: table.Version, logging.Revision: pair.ModRevision, logging.Outcome: taken}).
				Info(logging.MessageTableRead)
			n.holder.Wake()
			return
		}
	}
	n.log.WithFields(logrus.Fields{logging.Cause: err.Error(), logging.ConfigVersion: n.routes.Version(), logging.Revision: pair.ModRevision}).
		Error("routing table not used; the one in force stays")
}

func (n *Node) takeReplica(adapters Adapters, event kv.Event) {
	if event.Deleted {
		id := event.Pair.Key[len(adapters.ReplicaPrefix):]
		n.fleet.Remove(id)
		n.log.WithFields(logrus.Fields{logging.Replica: id, logging.Revision: event.Pair.ModRevision}).Info(logging.MessageReplicaGone)
		n.holder.Wake()
		return
	}
	entry, err := adapters.ReadReplica(event.Pair)
	if err != nil {
		n.log.WithFields(logrus.Fields{logging.Cause: err.Error(), logging.Revision: event.Pair.ModRevision}).Warn("registry entry not used")
		return
	}
	n.fleet.Put(entry, time.Now())
	n.log.WithFields(logrus.Fields{logging.Replica: entry.ID, logging.Service: entry.Service, logging.Address: entry.Address,
		logging.Draining: entry.Draining, logging.Revision: event.Pair.ModRevision}).Info(logging.MessageReplicaListed)
	n.holder.Wake()
}
