package node

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
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
	n.mirror.Handle(n.config.CrashPrefix, n.quarantine.Observe)
	n.mirror.SetUrgentKey(n.config.TermKey)
	n.mirror.LimitReplicaRecords(adapters.ReplicaPrefix, cmp.Or(n.config.KnownByAll, KnownByAll), n.config.FleetSizeKey, n.replicas.changed)
	n.mirror.SetFallbackDelay(n.replicas.loneTime)
	n.mirror.SetHasPeers(n.listensToPeers)
	n.mirror.SetForwardFilter(func(before, after kv.Pair) bool { return notable(adapters, before, after) })
	n.mirror.OnLoaded(func() {
		if _, held := n.mirror.Get(n.config.TermKey); !held {
			n.election.ObserveAbsent(n.mirror.Revision())
		}
		n.replicas.loaded()
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
			if taken {
				now := time.Now()
				n.tableAt.Store(&now)
			}
			n.log.WithFields(logrus.Fields{logging.ConfigVersion: table.Version, logging.Outcome: taken}).WithFields(logging.RevisionFields(pair.ModRevision)).
				Info(logging.MessageTableRead)
			n.holder.Wake()
			return
		}
	}
	n.log.WithFields(logrus.Fields{logging.Cause: err.Error(), logging.ConfigVersion: n.routes.Version()}).WithFields(logging.RevisionFields(pair.ModRevision)).
		Error("routing table not used; the one in force stays")
}

func (n *Node) takeReplica(adapters Adapters, event kv.Event) {
	id := event.Pair.Key[len(adapters.ReplicaPrefix):]
	if event.Deleted {
		n.fleet.Remove(id, time.Now())
		n.registryLog.replicaGone(id, event.Pair.ModRevision)
		n.holder.RegistryChanged(id)
		return
	}
	entry, err := adapters.ReadReplica(event.Pair)
	if err != nil {
		// What was known under that id was written over: it names no replica any more.
		n.fleet.Remove(id, time.Now())
		n.registryLog.entryRefused(id, err, event.Pair.ModRevision)
		n.holder.RegistryChanged(id)
		return
	}
	n.putReplica(entry, event.AfterRestore)
	n.registryLog.replicaListed(entry, event.Pair.ModRevision)
	n.holder.RegistryChanged(entry.ID)
}

// putReplica takes in an entry of the registry, which may be out of a copy that the key-value service was
// restored from.
func (n *Node) putReplica(entry fleet.Entry, restored bool) {
	if !restored {
		n.fleet.Put(entry, time.Now())
		return
	}
	if !n.fleet.PutRestored(entry, time.Now()) {
		return
	}
	n.log.WithField(logging.Replica, entry.ID).Info(logging.MessageRestoredReplicaOnHold)
	time.AfterFunc(fleet.RestoredEntryHold, func() {
		n.fleet.TrustRestored(entry.Incarnation())
		n.holder.RegistryChanged(entry.ID)
	})
}

// notable tells whether peers need a change of a record. What is loaded on a replica
// the holder of load orders tells them by itself, and sooner.
func notable(adapters Adapters, before, after kv.Pair) bool {
	if !strings.HasPrefix(after.Key, adapters.ReplicaPrefix) {
		return true
	}
	earlier, earlierErr := adapters.ReadReplica(before)
	later, laterErr := adapters.ReadReplica(after)
	return earlierErr != nil || laterErr != nil || !earlier.EqualExceptModels(later)
}

// recordSource returns the daemon that passes the platform's records on to this one: the
// holder of load orders, or the directory that this daemon asks for replicas.
func (n *Node) recordSource() (address string, other bool) {
	if address = n.replicas.directory(); address != "" {
		return address, true
	}
	address = n.election.LeaderAddress()
	return address, address != n.config.PeerAddress
}

// deputySource returns the daemon that passes records on while nobody holds the load
// orders: the first seed, for daemons that are no seeds.
func (n *Node) deputySource() string {
	seeds := *n.seeds.Load()
	if len(seeds) == 0 || slices.Contains(seeds, n.config.PeerAddress) {
		return ""
	}
	return seeds[0]
}

// listensToPeers tells whether this daemon asks a peer for records now: the holder of load orders, or
// the deputy.
func (n *Node) listensToPeers() bool {
	address, other := n.recordSource()
	if address == "" {
		return n.deputySource() != ""
	}
	return other
}

// otherSeeds lists the seeds that are other daemons.
func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(*n.seeds.Load()), func(seed string) bool { return seed == n.config.PeerAddress })
}
