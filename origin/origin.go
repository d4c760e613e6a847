// Package origin knows which software version began a stream. Replicas of several versions may serve one
// service side by side, and an interrupted stream may only go on at the version that began it. The caller
// comes back at any daemon, often because the one that served it has ended, so daemons tell each other the
// origins of their streams while several versions are known.
package origin

import (
	"time"

	"github.com/finchspoke/finchspoke/quarantine"
)

// Horizon is how long an origin is kept, and for how long a version that no longer serves still counts as a
// possible origin.
const Horizon = time.Minute

// Origin says which software version began a stream.
type Origin struct {
	// Attempt is the request id of the attempt that brought the first event.
	Attempt string
	// Fingerprint identifies the request over all its attempts.
	Fingerprint quarantine.Fingerprint
	Service     string
	Tenant      string
	Version     string
}

// Query asks for the origin of a stream.
type Query struct {
	// Attempt is the request id of the attempt that brought the first event; empty if the caller does not
	// name it.
	Attempt     string
	Fingerprint quarantine.Fingerprint
	Service     string
	Tenant      string
}

// Resolution is the outcome of a Query.
type Resolution struct {
	Version string // that began the stream, if Known
	Known   bool
	Source  string // one of the Source constants
	Reason  string // why the version is not known; empty if it is
}

// Sources of a Resolution, used in log fields and metrics.
const (
	SourceOwn      = "own"      // the daemon knew the origin itself
	SourcePeer     = "peer"     // another daemon knew it
	SourceInferred = "inferred" // no other version can have begun the stream
	SourceUnknown  = "unknown"
)

// VersionView is what a daemon knows of the software versions of a service's replicas.
type VersionView struct {
	// Versions are those that serve now or did so within Horizon, without duplicates.
	Versions []string
	// Covered states that Versions holds all versions of the last Horizon: this process has watched the
	// registry for so long, or there were no streams before.
	Covered bool
	// Current states that the daemon's records of replicas are up to date: a daemon that was cut off has caught up.
	Current bool
	// Partial states that the daemon knows only some of the replicas, so that others may have further versions.
	Partial bool
	// OldestBorn is the earliest start of the replicas that serve now; zero if it is not known, or not needed as Covered is
	// set.
	OldestBorn time.Time
}

// KeeperList is what the leader tells every daemon.
type KeeperList struct {
	Keepers []Keeper
	// MixedServices are the services of which replicas of several software versions serve, or did within Horizon,
	// sorted. A daemon that does not know all replicas may see one version only.
	MixedServices []string
}

// Keeper is a daemon that keeps origins for others.
type Keeper struct {
	Daemon  string
	Address string // where daemons reach it
	Process uint64 // unique for each start of the daemon, which forgets all origins when it ends
}
