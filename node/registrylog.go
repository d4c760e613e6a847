package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// registrySummaryPause is the least time between two summaries of registry changes. With
// 300 daemons and 200 replicas, a line for each replica on each daemon was four in five of
// all lines of a day.
const registrySummaryPause = 5 * time.Second

// registryLog writes the registry's changes to the log: each of them where load orders are
// decided, and counts elsewhere, since all daemons hear the same changes.
type registryLog struct {
	log     logrus.FieldLogger
	leading func() bool
	now     func() time.Time

	mutex        sync.Mutex
	lines        int       // of single changes in the present second
	second       time.Time // when it began
	summaryAt    time.Time // of the last summary; zero before the first
	listed, gone int       // changes since then
}

// replicaListed logs that a replica came, or that its entry changed.
func (r *registryLog) replicaListed(entry fleet.Entry, revision int64) {
	if !r.leading() || !r.mayWrite() {
		r.count(1, 0, revision)
		return
	}
	r.log.WithFields(logrus.Fields{logging.Replica: entry.ID, logging.Service: entry.Service, logging.Address: entry.Address,
		logging.Draining: entry.Draining}).WithFields(logging.RevisionFields(revision)).Info(logging.MessageReplicaListed)
}

// replicaGone logs that a replica's entry is gone.
func (r *registryLog) replicaGone(id string, revision int64) {
	if !r.leading() || !r.mayWrite() {
		r.count(0, 1, revision)
		return
	}
	r.log.WithField(logging.Replica, id).WithFields(logging.RevisionFields(revision)).Info(logging.MessageReplicaRemoved)
}

// entryRefused logs that an entry is not one of a replica. Others may write it again and again.
func (r *registryLog) entryRefused(id string, cause error, revision int64) {
	if !r.leading() || !r.mayWrite() {
		r.count(1, 0, revision)
		return
	}
	r.log.WithFields(logrus.Fields{logging.Replica: id, logging.Cause: cause.Error()}).WithFields(logging.RevisionFields(revision)).Warn(logging.MessageEntryRejected)
}

// mostLines bounds the lines of single changes in a second: 10,000 replicas that a new holder reads at
// once were 4 MB of lines, and a second of its processor.
const mostLines = 50

// mayWrite tells whether one more line of a single change may be written now.
func (r *registryLog) mayWrite() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := r.now(); now.Sub(r.second) >= time.Second {
		r.second, r.lines = now, 0
	}
	r.lines++
	return r.lines <= mostLines
}

// count adds changes to the next summary, and writes it if the last one is old enough.
func (r *registryLog) count(listed, gone int, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listed += listed
	r.gone += gone
	now := r.now()
	if now.Sub(r.summaryAt) < registrySummaryPause {
		return
	}
	r.log.WithFields(logrus.Fields{logging.Listed: r.listed, logging.Removed: r.gone}).WithFields(logging.RevisionFields(revision)).Info(logging.MessageRegistrySummary)
	r.summaryAt, r.listed, r.gone = now, 0, 0
}
