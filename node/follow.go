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

// followRecords registers the handlers of mirrored records and configures the mirror.
func (n *Node) followRecords(adapters Adapters) {
	n.mirror.Handle(adapters.TableKey, func(event kv.Event) {
		if event.Pair.Key == adapters.TableKey && !event.Deleted {
			n.applyTable(adapters, event.Pair)
		}
	})
	n.mirror.Handle(adapters.ReplicaPrefix, func(event kv.Event) { n.applyReplicaEvent(adapters, event) })
	n.mirror.Handle(n.config.TermKey, n.election.Observe)
	n.mirror.Handle(n.config.CrashPrefix, n.quarantine.Observe)
	n.mirror.SetUrgentKey(n.config.TermKey)
	n.mirror.LimitReplicaRecords(adapters.ReplicaPrefix, cmp.Or(n.config.FullMirrorLimit, FullMirrorLimit), n.config.FleetSizeKey, n.replicas.omissionChanged)
	n.mirror.SetFallbackDelay(n.replicas.fallbackDelay)
	n.mirror.SetHasPeers(n.hasRecordSource)
	n.mirror.SetForwardFilter(func(before, after kv.Pair) bool { return shouldForward(adapters, before, after) })
	n.mirror.OnLoaded(func() {
		if _, exists := n.mirror.Get(n.config.TermKey); !exists {
			n.election.ObserveAbsent(n.mirror.Revision())
		}
		n.replicas.recordsLoaded()
	})
}

// applyTable applies an imported routing table. If it is invalid, the current table stays in effect.
func (n *Node) applyTable(adapters Adapters, pair kv.Pair) {
	revision, err := adapters.DecodeTable(pair)
	if err == nil {
		var table *routing.Table
		if table, err = routing.NewTable(revision); err == nil {
			applied := n.routes.Put(table)
			if applied {
				now := time.Now()
				n.tableAppliedAt.Store(&now)
			}
			n.log.WithFields(logrus.Fields{logging.ConfigVersion: table.Version, logging.Outcome: applied}).WithFields(logging.RevisionFields(pair.ModRevision)).
				Info(logging.MessageTableRead)
			n.leader.Wake()
			return
		}
	}
	n.log.WithFields(logrus.Fields{logging.Cause: err.Error(), logging.ConfigVersion: n.routes.Version()}).WithFields(logging.RevisionFields(pair.ModRevision)).
		Error("routing table rejected; the current one stays in effect")
}

func (n *Node) applyReplicaEvent(adapters Adapters, event kv.Event) {
	id := event.Pair.Key[len(adapters.ReplicaPrefix):]
	if event.Deleted {
		n.fleet.Remove(id, time.Now())
		n.registryLog.logRemoved(id, event.Pair.ModRevision)
		n.leader.RegistryChanged(id)
		return
	}
	entry, err := adapters.DecodeReplica(event.Pair)
	if err != nil {
		// The record was overwritten, so its id no longer names a replica.
		n.fleet.Remove(id, time.Now())
		n.registryLog.logInvalid(id, err, event.Pair.ModRevision)
		n.leader.RegistryChanged(id)
		return
	}
	n.putReplica(entry, event.AfterRestore)
	n.registryLog.logListed(entry, event.Pair.ModRevision)
	n.leader.RegistryChanged(entry.ID)
}

// putReplica applies an entry of the registry. If a restore from a backup revived an entry that had been removed,
// its replica has probably ended, so the fleet does not trust the entry until fleet.RestoredEntryHold has passed.
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
		n.leader.RegistryChanged(entry.ID)
	})
}

// shouldForward reports whether peers need an update of a record. They do not if only the loaded or cached
// models of a replica changed, because the leader sends these to all daemons itself, sooner than the record.
func shouldForward(adapters Adapters, before, after kv.Pair) bool {
	if !strings.HasPrefix(after.Key, adapters.ReplicaPrefix) {
		return true
	}
	earlier, earlierErr := adapters.DecodeReplica(before)
	later, laterErr := adapters.DecodeReplica(after)
	return earlierErr != nil || laterErr != nil || !earlier.EqualExceptModels(later)
}

// recordSource returns the daemon that forwards records to this one, and whether that is another daemon: the
// leader, or the directory that this daemon uses. The address is empty if no leader is known.
func (n *Node) recordSource() (address string, isOther bool) {
	if address = n.replicas.directory(); address != "" {
		return address, true
	}
	address = n.election.LeaderAddress()
	return address, address != n.config.PeerAddress
}

// standbySource returns the daemon that forwards records while there is no leader: the first seed. It is
// empty on the seeds themselves.
func (n *Node) standbySource() string {
	seeds := *n.seeds.Load()
	if len(seeds) == 0 || slices.Contains(seeds, n.config.PeerAddress) {
		return ""
	}
	return seeds[0]
}

// hasRecordSource reports whether another daemon forwards records to this one: the leader, a directory or,
// while there is no leader, the standby.
func (n *Node) hasRecordSource() bool {
	address, isOther := n.recordSource()
	if address == "" {
		return n.standbySource() != ""
	}
	return isOther
}

// otherSeeds returns the seeds without this daemon.
func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(*n.seeds.Load()), func(seed string) bool { return seed == n.config.PeerAddress })
}
