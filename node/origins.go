package node

import (
	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/transport"
)

// assembleOrigins creates the client that knows which software version began a stream, and the record of versions.
func (n *Node) assembleOrigins(requestCore *core.Core, adapters Adapters) {
	reader := &registryReader{store: adapters.Store, prefix: adapters.ReplicaPrefix, decode: adapters.DecodeReplica, recordKey: n.config.VersionsKey, now: boottime.Now}
	n.origins = &origin.Client{
		Daemon: n.config.ID, Address: n.config.PeerAddress, Network: origin.PooledNetwork{Pool: transport.NewPool()},
		Versions: n.versionView, ReadVersions: reader.Versions, Leader: n.election.LeaderAddress, Seeds: n.otherSeeds, Directories: n.replicas.directories,
		Now: boottime.Now, Metrics: origin.NewMetrics(n.metrics), Log: n.log,
	}
	n.origins.Prepare()
	if n.config.VersionsKey != "" {
		n.versionRecord = &origin.VersionRecord{
			Key: n.config.VersionsKey, Store: adapters.Store, Leads: n.mirror.Leading, Watched: n.replicas.completeFor, Versions: n.versionsByService, Log: n.log,
		}
		n.mirror.Handle(n.config.VersionsKey, n.versionRecord.Observe)
	}
	requestCore.Origins, requestCore.Registry = n.origins, newVersionReader(n, adapters)
	n.leader.KnownKeepers = n.origins.Keepers
	n.follower.SetKeepers, n.follower.OriginProcess = n.origins.SetKeepers, n.origins.Process()
}
