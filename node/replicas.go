package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/finchspoke/finchspoke/discovery"
	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// KnownByAll is up to how many replicas every daemon knows them all. Each costs a daemon 1 to 1.6 KB
	// of heap (9.7 and 16.3 MB at 10,000, without and with the holder's word of it), and a change of it a
	// message from the holder of load orders to each daemon: 300 daemons that knew 3,000 replicas took
	// 2.3 to 7.2 MB a second of it. Twice what fleets of some hundred daemons and 300 replicas have, for
	// which a request without a question to anybody is worth more.
	KnownByAll = 600
	// loneTime is how long after the last word of its peers a daemon that does not know all replicas
	// asks the key-value service itself; up to loneSpread more, so that not all ask at once. A holder
	// that ends is replaced within some 3 s, and directories vouch for the records meanwhile.
	loneTime   = 3 * time.Second
	loneSpread = time.Second
	// campaignLater is how much later than directories a daemon that does not know all replicas
	// campaigns for the term: it would have to read their records first, and all of a thousand daemons
	// would ask at once.
	campaignLater = time.Second
	// campaignTimes is by how many times longer such a daemon waits where it knows of no directory: all
	// were lost at once. Daemons on strong machines then campaign a second before those on weak ones,
	// and 0.7 s sooner than campaignLater lets them.
	campaignTimes = 4
)

// replicaKnowledge decides whether this daemon knows all replicas, or asks directories for those that
// its callers need, and whether it is a directory itself.
type replicaKnowledge struct {
	node   *Node
	client *discovery.Client
	server *discovery.Server
	whole  atomic.Bool // the directory of this daemon holds all replicas
	lone   time.Duration

	mutex     sync.Mutex
	addresses []string // of the directories, as the holder of load orders named them
}

func newReplicaKnowledge(n *Node) *replicaKnowledge {
	k := &replicaKnowledge{node: n, lone: loneTime + time.Duration(rand.Float64()*float64(loneSpread))}
	k.client = &discovery.Client{Daemon: n.config.ID, Zone: n.config.Zone, Fleet: n.fleet, Directories: k.directories, Log: n.log}
	k.client.Prepare()
	k.server = &discovery.Server{Fleet: n.fleet, HasAllReplicas: k.whole.Load, IsLoading: n.mirror.RequiresAll, ContactAge: n.mirror.ContactAge, Now: time.Now}
	k.server.Prepare()
	return k
}

// all tells whether this daemon knows all replicas.
func (k *replicaKnowledge) all() bool { return k.whole.Load() }

// changed takes in that this daemon begins to do without the records of replicas, or knows them all
// again; they follow.
func (k *replicaKnowledge) changed(without bool) {
	if without {
		k.whole.Store(false)
		k.server.StopObserving()
		k.node.fleet.Limit(k.client)
		k.client.Enable(true)
		return
	}
	k.node.fleet.BeginFullSync()
	k.client.Enable(false)
}

// loaded takes in that a whole list of the records was handled.
func (k *replicaKnowledge) loaded() {
	isWhole := k.node.mirror.HasAll()
	if isWhole && !k.whole.Load() {
		k.node.fleet.EndFullSync()
		k.server.StartObserving()
		k.node.holder.RegistryChanged("")
	}
	k.whole.Store(isWhole)
}

// setDirectories takes in which daemons the holder of load orders named, and whether this is one.
func (k *replicaKnowledge) setDirectories(serve bool, addresses []string) {
	k.node.mirror.RequireReplicaRecords(serve)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.addresses = rendezvous.Ranked(k.node.config.ID, addresses)
}

// directories returns the addresses of daemons that know all replicas, in the order in which this
// one asks them. Before any is named, that is the holder.
func (k *replicaKnowledge) directories() []string {
	k.mutex.Lock()
	known := k.addresses
	k.mutex.Unlock()
	holder := k.node.election.LeaderAddress()
	if len(known) == 0 && holder != "" {
		return []string{holder}
	}
	return known
}

// directory returns the address of the directory that this daemon asks; empty: it knows all replicas
// itself, or is asking none yet.
func (k *replicaKnowledge) directory() string {
	if !k.node.mirror.OmitsReplicaRecords() || k.node.mirror.Leading() {
		return ""
	}
	current := k.client.DirectoryAddress()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !slices.Contains(k.addresses, current) {
		return "" // the holder, until it names some
	}
	return current
}

// knowsDirectories tells whether a holder has named directories to this daemon.
func (k *replicaKnowledge) knowsDirectories() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.addresses) > 0
}

// loneTime returns how long after the last word of a peer this daemon asks the key-value service
// itself. Where no directory is named, nobody else may be asking it.
func (k *replicaKnowledge) loneTime() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.addresses) == 0 {
		return 0
	}
	return k.lone
}

// recordPeers lists the daemons to ask for records while nobody vouches for them: the directories,
// which follow the key-value service when the holder is silent, and the seeds.
func (k *replicaKnowledge) recordPeers() []string {
	k.mutex.Lock()
	peers := slices.Clone(k.addresses)
	k.mutex.Unlock()
	others := k.node.otherSeeds()
	if holder := k.node.election.LeaderAddress(); holder != "" {
		others = append([]string{holder}, others...)
	}
	for _, seed := range others {
		if !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	return slices.DeleteFunc(peers, func(peer string) bool { return peer == k.node.config.PeerAddress })
}

// ready tells whether requests find replicas: some are known, or a directory is there to be asked.
func (k *replicaKnowledge) ready() bool {
	if k.node.fleet.Limited() {
		return k.client.Connected()
	}
	return k.node.fleet.Len() > 0
}

// termDelay returns how much later than others this daemon campaigns for the term.
func (n *Node) termDelay() time.Duration {
	switch {
	case !n.mirror.OmitsReplicaRecords():
		return n.config.TermDelay
	case n.replicas.knowsDirectories():
		return n.config.TermDelay + campaignLater
	}
	return campaignTimes * n.config.TermDelay
}
