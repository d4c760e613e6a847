package quarantine

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// Liveness is the state of a replica's process, as determined by a probe.
type Liveness uint8

// Results of a probe.
const (
	// Unknown means that the probe timed out, as it does on a network partition. The guard does not
	// treat this as a crash.
	Unknown Liveness = iota
	// Running means that the probed incarnation answered.
	Running
	// NotRunning means that nothing listens at the address, or that another process does, which may be a
	// later incarnation of the same replica.
	NotRunning
)

// String returns the value used in log fields and metric labels.
func (l Liveness) String() string { return [...]string{"unknown", "running", "ended"}[l] }

// Prober checks whether a replica's process is still running.
type Prober interface {
	Probe(ctx context.Context, replica fleet.Incarnation, address string) Liveness
}

// RequestLimiter reserves probes within the request limits of replicas.
type RequestLimiter interface {
	// TryReserve reserves one message to a replica, and reports whether its limit allows one now.
	TryReserve(ctx context.Context, replica fleet.Incarnation) bool
	// Charge counts a message against a replica's limit without a reservation.
	Charge(replica fleet.Incarnation)
}

const (
	// probeTimeout bounds a probe, and with it the delay before a request whose connection broke
	// is retried at another replica.
	probeTimeout = 300 * time.Millisecond
	// maxReportFingerprints and maxReportParts bound the size of a report's record.
	maxReportFingerprints = 512
	maxReportParts        = 8192
)

// Guard detects replica crashes, publishes the requests that the replicas had, and decides which
// requests are quarantined. Daemons share reports as records of the platform's key-value service,
// where they survive daemon restarts and partitions between daemons.
// Guard is safe for concurrent use and implements suture.Service.
type Guard struct {
	// Prefix is the key prefix of the reports' records.
	Prefix string
	Store  kv.Store
	Prober Prober
	// IsDraining reports whether a replica is about to stop as planned, so that its end is no crash.
	IsDraining func(replica string) bool
	// BackoffUntil returns the end of the back-off that a replica asked this daemon for. The time is
	// zero or in the past if there is none.
	BackoffUntil func(replica string) time.Time
	// RequestLimiter accounts for probes of replicas with a request limit; nil if no replica has one.
	RequestLimiter RequestLimiter
	// Leading reports whether this daemon is the leader, which deletes expired records and
	// rewrites lost ones.
	Leading func() bool
	// DaemonCount returns the number of daemons; zero if unknown. Nil means that this is the only one.
	DaemonCount func() int
	// Draw returns a random duration below a bound; nil means rand.N.
	Draw    func(bound time.Duration) time.Duration
	Now     func() time.Time
	Metrics *Metrics
	Log     logrus.FieldLogger

	mutex        sync.Mutex
	ledger       *ledger
	pending      pendingReport   // collects entries until it is published
	sealed       []pendingReport // complete and not being published yet, oldest first
	pendingReady chan struct{}   // holds an element while there is one to publish
	probes       map[fleet.Incarnation]*probe
	// lostReports maps the keys of records that a restore of the key-value service removed to
	// their revisions before it.
	lostReports map[string]int64
	lostSignal  chan struct{} // holds an element while lostReports should be rewritten
	// probedInBackoff holds, by replica, the end of the back-off during which it was last probed.
	probedInBackoff map[string]time.Time
	abandoned       abandonedRequests
	popularity      popularity
	suspectParts    map[PartHash]*suspectPart
	partsOutdated   bool // the ledger has changed since suspectParts was determined
	// partsChanged is closed and replaced when a part is held, quarantined or free again, when a request is free again, and
	// when a trial begins or ends.
	partsChanged chan struct{}
	// trialsInProgress holds of what this daemon is about to begin a trial, and since when.
	trialsInProgress map[subject]time.Time
	// resolveAfter holds when to ask again for the outcome of a subject's latest trial.
	resolveAfter map[subject]time.Time
	// foundRunning holds the number of a subject's latest trial if its replica was found running although it is reported to
	// have crashed.
	foundRunning map[subject]int
	// unannounced holds clearances that are not part of a report yet, as replicas by part.
	unannounced map[PartHash][]string
}

// probe is a probe in flight; all waiters share its result, which is set before done is closed.
type probe struct {
	done   chan struct{}
	result Liveness
}

// Prepare initializes the guard. It must be called before any other method.
func (g *Guard) Prepare() {
	g.ledger, g.pendingReady, g.probes = newLedger(), make(chan struct{}, 1), map[fleet.Incarnation]*probe{}
	g.probedInBackoff = map[string]time.Time{}
	g.abandoned = abandonedRequests{}
	g.suspectParts, g.partsChanged, g.unannounced = map[PartHash]*suspectPart{}, make(chan struct{}), map[PartHash][]string{}
	g.trialsInProgress, g.resolveAfter = map[subject]time.Time{}, map[subject]time.Time{}
	g.foundRunning = map[subject]int{}
	g.lostReports, g.lostSignal = map[string]int64{}, make(chan struct{}, 1)
	g.pending = pendingReport{key: g.newKey(), revision: firstPending}
}

// newKey returns a unique record key, so that no other daemon writes the same record.
func (g *Guard) newKey() string { return g.Prefix + uuid.NewString() }

// requestFailure returns the error for a quarantined request. The caller holds the mutex.
func (g *Guard) requestFailure(request Fingerprint, trialAt time.Time) *failure.Error {
	replicas := g.ledger.crashHistory(request).Replicas
	return failure.New(failure.Quarantined, "retry this request only after the given time; other requests are not affected",
		"%d replicas crashed while they had this request: %s", len(replicas), strings.Join(replicas, ", ")).
		WithRetryAfter(max(time.Second, trialAt.Sub(g.Now())))
}

// ConnectionBroken probes a replica whose connection broke while it had a request, and records a
// crash if the replica has ended. It returns once the probe has finished or timed out. The request
// must not be dispatched again before that, since it may be quarantined by then.
func (g *Guard) ConnectionBroken(ctx context.Context, replica fleet.Incarnation, address string, suspect Suspect) {
	if g.IsDraining(replica.ID) {
		return
	}
	if g.probe(ctx, replica, address, g.chargeProbe) == NotRunning {
		g.recordCrash(replica, suspect)
	}
}

// chargeProbe counts a probe against the replica's request limit without waiting for a reservation:
// after a broken connection the probe is urgent, as the request may crash the next replica.
func (g *Guard) chargeProbe(replica fleet.Incarnation) {
	if g.RequestLimiter != nil {
		g.RequestLimiter.Charge(replica)
	}
}

// reserveProbe reports whether the replica's request limit allows a probe for abandoned requests.
func (g *Guard) reserveProbe(ctx context.Context, replica fleet.Incarnation) bool {
	return g.RequestLimiter == nil || g.RequestLimiter.TryReserve(ctx, replica)
}

// isBackingOff reports whether the replica has asked this daemon to pause requests.
func (g *Guard) isBackingOff(replica string) bool { return g.Now().Before(g.BackoffUntil(replica)) }

// Abandoned records that a dispatch was canceled while the replica had the request, because the
// caller disconnected or the deadline passed. The replica may still execute the request and crash
// without a broken connection at this daemon, so the guard probes it later.
func (g *Guard) Abandoned(replica fleet.Incarnation, address string, suspect Suspect) {
	if g.IsDraining(replica.ID) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.abandoned.add(replica.String(), suspect, g.Now()) {
		g.scheduleAbandonCheck(replica, address)
	}
}

func (g *Guard) scheduleAbandonCheck(replica fleet.Incarnation, address string) {
	time.AfterFunc(abandonCheckDelay, func() { g.checkAbandoned(replica, address) })
}

// checkAbandoned probes a replica at which requests were abandoned, and records a crash if it has
// ended.
func (g *Guard) checkAbandoned(replica fleet.Incarnation, address string) {
	startedAt := g.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	// An abandoned request alone is too little evidence of a crash to probe a replica during back-off.
	if !g.IsDraining(replica.ID) && !g.isBackingOff(replica.ID) {
		if !g.reserveProbe(ctx, replica) {
			g.scheduleAbandonCheck(replica, address)
			return
		}
		alreadyCharged := func(fleet.Incarnation) {}
		if g.probe(ctx, replica, address, alreadyCharged) == NotRunning {
			g.recordCrash(replica)
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.abandoned.prune(replica.String(), startedAt) {
		g.scheduleAbandonCheck(replica, address)
	}
}

// recordCrash records the given requests, and those recently abandoned at the replica, as suspects
// of its crash.
func (g *Guard) recordCrash(replica fleet.Incarnation, suspects ...Suspect) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, suspect := range append(suspects, g.abandoned.takeRecent(replica.String(), g.Now())...) {
		g.recordSuspect(replica.String(), suspect)
	}
	g.updateSuspectParts()
}

// probe returns the liveness of a replica. Concurrent calls for the same incarnation share one probe;
// charge is called only when a new one starts.
func (g *Guard) probe(ctx context.Context, replica fleet.Incarnation, address string, charge func(fleet.Incarnation)) Liveness {
	backoffUntil := g.BackoffUntil(replica.ID)
	g.mutex.Lock()
	inFlight := g.probes[replica]
	if inFlight == nil && !g.mayProbe(replica.ID, backoffUntil) {
		g.mutex.Unlock()
		return Unknown
	}
	if inFlight == nil {
		inFlight = &probe{done: make(chan struct{})}
		g.probes[replica] = inFlight
		charge(replica)
		go g.runProbe(inFlight, replica, address)
	}
	g.mutex.Unlock()
	select {
	case <-inFlight.done:
		return inFlight.result
	case <-ctx.Done():
		return Unknown
	}
}

// mayProbe reports whether a replica may be probed now. During a back-off it allows a single probe,
// without which a crash would go undetected. The caller holds the mutex.
func (g *Guard) mayProbe(replica string, backoffUntil time.Time) bool {
	now := g.Now()
	if !now.Before(backoffUntil) {
		return true
	}
	if g.probedInBackoff[replica].Equal(backoffUntil) {
		return false
	}
	maps.DeleteFunc(g.probedInBackoff, func(_ string, until time.Time) bool { return !now.Before(until) })
	g.probedInBackoff[replica] = backoffUntil
	return true
}

func (g *Guard) runProbe(inFlight *probe, replica fleet.Incarnation, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	inFlight.result = g.Prober.Probe(ctx, replica, address)
	g.Metrics.probes.WithLabelValues(inFlight.result.String()).Inc()
	g.Log.WithFields(logrus.Fields{logging.Replica: replica.ID, logging.Address: address, logging.Outcome: inFlight.result.String()}).
		Info(logging.MessageReplicaProbed)
	g.mutex.Lock()
	delete(g.probes, replica)
	g.mutex.Unlock()
	close(inFlight.done)
}

// recordSuspect adds a request to the pending report as a suspect of a replica's crash. replica is
// the incarnation as text. The caller holds the mutex and calls updateSuspectParts afterwards.
func (g *Guard) recordSuspect(replica string, suspect Suspect) {
	if !g.hasRoom() {
		return
	}
	g.pending.addCrash(replica, suspect.Request, g.withPopularity(suspect.Parts))
	g.queuePending()
	history := g.ledger.crashHistory(suspect.Request)
	g.Log.WithFields(logrus.Fields{
		logging.Fingerprint: suspect.Request.String(), logging.PartHashes: joinParts(suspect.Parts), logging.Replica: replica, logging.Crashes: len(history.Replicas),
		logging.Outcome: map[bool]string{true: "withheld", false: "may go on"}[history.Blocked()],
	}).Warn(logging.MessageReplicaCrashed)
}

// Served records that a replica served a request completely, which clears its earlier crashes. To
// save writes to the key-value service, it is reported only if one more crash would quarantine the
// request.
func (g *Guard) Served(request Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.ledger.suspects[request] == nil {
		return
	}
	if len(g.ledger.crashHistory(request).Replicas) < CrashThreshold-1 || !g.hasRoom() {
		return
	}
	if g.pending.namesCrashOf(request) {
		g.sealPending() // within one report, a served request would not clear the crash
	}
	g.pending.Served = append(g.pending.Served, request[:])
	g.queuePending()
	g.signalPartsChanged()
	g.Log.WithField(logging.Fingerprint, request.String()).Info(logging.MessageSuspectCleared)
}

// hasRoom reports whether the pending report has room for another fingerprint, and counts a dropped
// one if not. The report fills up while the key-value service is unavailable. The caller holds the mutex.
func (g *Guard) hasRoom() bool {
	if g.pending.fingerprintCount() < maxReportFingerprints && g.pending.partCount() < maxReportParts {
		return true
	}
	g.Metrics.dropped.Inc()
	return false
}

// queuePending applies the pending report to the local ledger and schedules its publication. The
// caller holds the mutex.
func (g *Guard) queuePending() {
	g.ledger.put(g.pending.key, g.pending.clone(), g.pending.revision, g.Now())
	select {
	case g.pendingReady <- struct{}{}:
	default:
	}
}

// Observe applies a change of a report's record in the key-value service.
func (g *Guard) Observe(event kv.Event) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.scheduleUpdate()
	switch {
	case event.Deleted && event.AfterRestore:
		g.markLost(event.Pair.Key)
		return
	case event.Deleted:
		g.ledger.remove(event.Pair.Key)
		return
	}
	delete(g.lostReports, event.Pair.Key)
	report, err := ParseReport(event.Pair.Value)
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).WithFields(logging.RevisionFields(event.Pair.ModRevision)).Warn("replica crash report could not be decoded and is ignored")
		return
	}
	if report.Trial != nil && !event.AfterRestore && g.ledger.isOutdated(event.Pair) {
		return // this daemon has changed the record since
	}
	g.ledger.put(event.Pair.Key, report, event.Pair.ModRevision, g.Now())
	for _, crash := range report.Crashes {
		for _, suspect := range g.abandoned.takeRecent(crash.Replica, g.Now()) {
			g.recordSuspect(crash.Replica, suspect)
		}
	}
}

// Counts returns the number of suspect requests, of quarantined requests among them, and of reports.
func (g *Guard) Counts() (suspects, quarantined, reports int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.ledger.suspects), g.ledger.quarantined(), len(g.ledger.reports)
}

// String names the service in the supervisor's events.
func (g *Guard) String() string { return fmt.Sprintf("quarantine of %s", g.Prefix) }
