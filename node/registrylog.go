package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// registrySummaryInterval is the minimum time between two summaries of registry changes. In a fleet of hundreds of
// daemons, a line for each replica on each daemon would be most of all lines.
const registrySummaryInterval = 5 * time.Second

// registryLog logs the changes of the registry. All daemons receive the same changes, so only the leader logs
// each of them; the others log summaries with counts.
type registryLog struct {
	log       logrus.FieldLogger
	isLeading func() bool
	now       func() time.Time

	mutex           sync.Mutex
	linesInWindow   int       // of single changes since windowStart
	windowStart     time.Time // of the current second
	summaryAt       time.Time // time of the last summary; zero before the first
	listed, removed int       // since the last summary
}

// logListed logs that a replica's entry was added or changed.
func (r *registryLog) logListed(entry fleet.Entry, revision int64) {
	if !r.isLeading() || !r.allowLine() {
		r.addToSummary(1, 0, revision)
		return
	}
	r.log.WithFields(logrus.Fields{logging.Replica: entry.ID, logging.Service: entry.Service, logging.Address: entry.Address,
		logging.SoftwareVersion: entry.Version, logging.Draining: entry.Draining}).WithFields(logging.RevisionFields(revision)).Info(logging.MessageReplicaListed)
}

func (r *registryLog) logRemoved(id string, revision int64) {
	if !r.isLeading() || !r.allowLine() {
		r.addToSummary(0, 1, revision)
		return
	}
	r.log.WithField(logging.Replica, id).WithFields(logging.RevisionFields(revision)).Info(logging.MessageReplicaRemoved)
}

// logInvalid logs that an entry cannot be decoded. It is rate-limited, as another program may write such entries
// often.
func (r *registryLog) logInvalid(id string, cause error, revision int64) {
	if !r.isLeading() || !r.allowLine() {
		r.addToSummary(1, 0, revision)
		return
	}
	r.log.WithFields(logrus.Fields{logging.Replica: id, logging.Cause: cause.Error()}).WithFields(logging.RevisionFields(revision)).Warn(logging.MessageEntryRejected)
}

// maxLinesPerSecond bounds the lines of single changes. A new leader reads the entries of all replicas at once.
const maxLinesPerSecond = 50

// allowLine reports whether another line of a single change may be written now, and counts it.
func (r *registryLog) allowLine() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := r.now(); now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.linesInWindow = now, 0
	}
	r.linesInWindow++
	return r.linesInWindow <= maxLinesPerSecond
}

// addToSummary adds changes to the next summary, and logs it if registrySummaryInterval has passed.
func (r *registryLog) addToSummary(listed, removed int, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listed += listed
	r.removed += removed
	now := r.now()
	if now.Sub(r.summaryAt) < registrySummaryInterval {
		return
	}
	r.log.WithFields(logrus.Fields{logging.Listed: r.listed, logging.Removed: r.removed}).WithFields(logging.RevisionFields(revision)).Info(logging.MessageRegistrySummary)
	r.summaryAt, r.listed, r.removed = now, 0, 0
}
