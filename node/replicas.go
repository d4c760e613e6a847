package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/discovery"
	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// FullMirrorLimit is the default size of the fleet up to which every daemon knows all replicas, so
	// that it need not look any up. A larger fleet would cost each daemon too much memory, and the leader
	// too many messages about changes.
	FullMirrorLimit = 600
	// fallbackBaseDelay is the time without messages from peers after which a daemon without replica records
	// polls the key-value service itself. A lost leader is usually replaced within that time, in which
	// directories confirm that the records are current. fallbackJitter bounds a random addition, so that
	// not all daemons start to poll at once.
	fallbackBaseDelay = 3 * time.Second
	fallbackJitter    = time.Second
	// campaignExtraDelay is how much longer a daemon without replica records waits before it campaigns for
	// the term. Directories go first, because they already have the records, which a leader needs.
	campaignExtraDelay = time.Second
	// campaignDelayFactor multiplies BaseCampaignDelay on a daemon without replica records that knows of no directory.
	// If all directories are lost at once, daemons with more CPU then campaign clearly before the others.
	campaignDelayFactor = 4
)

// replicaDiscovery tracks whether this daemon knows all replicas or only those that its callers need, which it
// gets from a directory, and whether it is a directory itself.
type replicaDiscovery struct {
	node          *Node
	client        *discovery.Client
	server        *discovery.Server
	complete      atomic.Bool   // whether this daemon knows all replicas
	jitteredDelay time.Duration // see fallbackDelay

	mutex     sync.Mutex
	addresses []string // of the directories that the leader named, in order of preference
	// completeSince is when this daemon began to know all replicas; zero if it does not.
	completeSince time.Time
}

func newReplicaDiscovery(n *Node) *replicaDiscovery {
	d := &replicaDiscovery{node: n, jitteredDelay: fallbackBaseDelay + time.Duration(rand.Float64()*float64(fallbackJitter))}
	d.client = &discovery.Client{Daemon: n.config.ID, Zone: n.config.Zone, Fleet: n.fleet, Directories: d.directories, Log: n.log}
	d.client.Prepare()
	d.server = &discovery.Server{Fleet: n.fleet, KnowsAllReplicas: d.complete.Load, IsLoading: n.mirror.RequiresAll, ContactAge: n.mirror.ContactAge, Now: time.Now}
	d.server.Prepare()
	return d
}

func (d *replicaDiscovery) knowsAll() bool { return d.complete.Load() }

// omissionChanged is called when this daemon starts or stops omitting replica records, before the mirror
// delivers the records.
func (d *replicaDiscovery) omissionChanged(omitted bool) {
	if omitted {
		d.setComplete(false)
		d.server.StopObserving()
		d.node.fleet.Limit(d.client)
		d.client.Enable(true)
		return
	}
	d.node.fleet.BeginFullSync()
	d.client.Enable(false)
}

// recordsLoaded is called after a complete list of the records was applied.
func (d *replicaDiscovery) recordsLoaded() {
	isComplete := d.node.mirror.HasAll()
	if isComplete && !d.complete.Load() {
		d.node.fleet.EndFullSync()
		d.server.StartObserving()
		d.node.leader.RegistryChanged("")
	}
	d.setComplete(isComplete)
}

// setComplete records whether this daemon knows all replicas.
func (d *replicaDiscovery) setComplete(isComplete bool) {
	d.complete.Store(isComplete)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case !isComplete:
		d.completeSince = time.Time{}
	case d.completeSince.IsZero():
		d.completeSince = boottime.Now()
	}
}

// completeFor returns for how long this daemon has known all replicas; false if it does not.
func (d *replicaDiscovery) completeFor() (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return boottime.Now().Sub(d.completeSince), !d.completeSince.IsZero()
}

// setDirectories sets the directories that the leader named, and whether this daemon is one.
func (d *replicaDiscovery) setDirectories(isDirectory bool, addresses []string) {
	d.node.mirror.RequireReplicaRecords(isDirectory)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.addresses = rendezvous.Ranked(d.node.config.ID, addresses)
}

// directories returns the addresses of the directories in order of preference, or of the leader if it has not
// named any yet.
func (d *replicaDiscovery) directories() []string {
	d.mutex.Lock()
	ranked := d.addresses
	d.mutex.Unlock()
	leader := d.node.election.LeaderAddress()
	if len(ranked) == 0 && leader != "" {
		return []string{leader}
	}
	return ranked
}

// directory returns the address of the directory that this daemon uses. It is empty if the daemon knows all
// replicas or uses no directory yet.
func (d *replicaDiscovery) directory() string {
	if !d.node.mirror.OmitsReplicaRecords() || d.node.mirror.Leading() {
		return ""
	}
	current := d.client.DirectoryAddress()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !slices.Contains(d.addresses, current) {
		return "" // the client uses the leader, which has not named directories yet
	}
	return current
}

func (d *replicaDiscovery) knowsDirectories() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.addresses) > 0
}

// fallbackDelay returns how long after the last report of a peer this daemon polls the key-value service
// itself. It is zero if no directories are known, because then no other daemon may be polling.
func (d *replicaDiscovery) fallbackDelay() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.addresses) == 0 {
		return 0
	}
	return d.jitteredDelay
}

// recordPeers returns the daemons to try while no peer confirms that the records are current: the directories,
// which poll the key-value service if the leader is silent, the leader, and the seeds.
func (d *replicaDiscovery) recordPeers() []string {
	d.mutex.Lock()
	peers := slices.Clone(d.addresses)
	d.mutex.Unlock()
	candidates := d.node.otherSeeds()
	if leader := d.node.election.LeaderAddress(); leader != "" {
		candidates = append([]string{leader}, candidates...)
	}
	for _, candidate := range candidates {
		if !slices.Contains(peers, candidate) {
			peers = append(peers, candidate)
		}
	}
	return slices.DeleteFunc(peers, func(peer string) bool { return peer == d.node.config.PeerAddress })
}

// ready reports whether requests can find replicas: this daemon knows some, or is connected to a directory.
func (d *replicaDiscovery) ready() bool {
	if d.node.fleet.Limited() {
		return d.client.Connected()
	}
	return d.node.fleet.Len() > 0
}

// campaignDelay returns how long this daemon waits before it campaigns for the term.
func (n *Node) campaignDelay() time.Duration {
	switch {
	case !n.mirror.OmitsReplicaRecords():
		return n.config.BaseCampaignDelay
	case n.replicas.knowsDirectories():
		return n.config.BaseCampaignDelay + campaignExtraDelay
	}
	return campaignDelayFactor * n.config.BaseCampaignDelay
}
