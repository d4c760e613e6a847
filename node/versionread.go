package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

const (
	// versionReadTimeout bounds the wait for the registry before a stream goes on.
	versionReadTimeout = 150 * time.Millisecond
	// maxVersionReads is how many versions all daemons together may read per second; the key-value service limits its
	// reads, and other calls need most of them.
	maxVersionReads  = 200
	versionReadBurst = 8
	// versionReadPause is how long nothing is read after a read without an answer, so that streams do not wait for one each.
	versionReadPause = 500 * time.Millisecond
)

// versionReader reads the software versions of single replicas from the registry. It implements core.Registry.
type versionReader struct {
	store  kv.Store
	prefix string
	decode func(kv.Pair) (fleet.Entry, error)
	// reachable reports whether the key-value service has answered lately; if not, nothing is read.
	reachable   func() bool
	daemonCount func() int // zero if unknown
	log         logrus.FieldLogger
	limiter     *rate.Limiter

	mutex       sync.Mutex
	reads       map[string]*versionRead // under way, by replica
	pausedUntil time.Time
}

// versionRead is a sequence of reads of one replica's version.
type versionRead struct {
	users int // queries that hold or wait for the turn; guarded by versionReader.mutex

	turn    chan struct{} // holds a value while a query has the turn, which guards the fields below
	began   time.Time     // of the latest read; zero before one
	version string
	known   bool
}

func newVersionReader(n *Node, adapters Adapters) *versionReader {
	return &versionReader{
		store: adapters.Store, prefix: adapters.ReplicaPrefix, decode: adapters.DecodeReplica, reachable: n.storeAnswers,
		daemonCount: n.core.DaemonCount, log: n.log, limiter: rate.NewLimiter(maxVersionReads, versionReadBurst),
		reads: map[string]*versionRead{},
	}
}

// VersionOf implements core.Registry. Queries that come during a read share the next one, so that each gets the version
// at a time after it came.
func (r *versionReader) VersionOf(ctx context.Context, replica string) (version string, known bool) {
	if !r.reachable() || r.isPaused() {
		return "", false
	}
	arrived := time.Now()
	read := r.acquire(replica)
	defer r.release(replica, read)
	select {
	case read.turn <- struct{}{}:
	case <-ctx.Done():
		return "", false
	}
	defer func() { <-read.turn }()
	if read.began.After(arrived) {
		return read.version, read.known
	}
	if r.isPaused() {
		return "", false
	}
	read.began = time.Now()
	read.version, read.known = r.read(ctx, replica)
	return read.version, read.known
}

func (r *versionReader) acquire(replica string) *versionRead {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	read := r.reads[replica]
	if read == nil {
		read = &versionRead{turn: make(chan struct{}, 1)}
		r.reads[replica] = read
	}
	read.users++
	return read
}

func (r *versionReader) release(replica string, read *versionRead) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if read.users--; read.users == 0 {
		delete(r.reads, replica)
	}
}

// isPaused reports whether a read had no answer a moment ago.
func (r *versionReader) isPaused() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.pausedUntil)
}

func (r *versionReader) pause() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pausedUntil = time.Now().Add(versionReadPause)
}

// read reads a replica's entry. Its result serves other queries too, so it does not end with ctx.
func (r *versionReader) read(ctx context.Context, replica string) (version string, known bool) {
	r.limiter.SetLimit(maxVersionReads / rate.Limit(max(1, r.daemonCount())))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), versionReadTimeout)
	defer cancel()
	if err := r.limiter.Wait(ctx); err != nil {
		r.logNotRead(replica, err)
		return "", false
	}
	pair, found, err := r.store.Get(ctx, r.prefix+replica)
	if err != nil {
		if ctx.Err() != nil {
			r.pause()
		}
		r.logNotRead(replica, err)
		return "", false
	}
	if !found {
		return "", false
	}
	entry, err := r.decode(pair)
	if err != nil { // the mirror logs entries that name no replica
		return "", false
	}
	return entry.Version, true
}

func (r *versionReader) logNotRead(replica string, cause error) {
	r.log.WithFields(logrus.Fields{logging.Dependency: "key-value service", logging.Replica: replica, logging.Cause: cause.Error()}).Info(logging.MessageVersionNotRead)
}
