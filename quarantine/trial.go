package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// trialDelays are the times to the next trial of a quarantined part, by the number of its trials that ended their
// replicas: from its quarantine, or from its latest trial. The last one repeats; it is shorter than quarantineTTL, so that
// a part that still crashes replicas stays quarantined.
var trialDelays = []time.Duration{time.Second, time.Minute, 10 * time.Minute, quarantineTTL - 5*time.Minute}

const (
	// trialTimeout bounds the calls that a trial begins with.
	trialTimeout = 500 * time.Millisecond
	// outcomeDelay is how long the outcome of a trial is awaited before another one may begin. It doubles with each trial in
	// a row without an outcome, up to the delay after a trial that ended its replica.
	outcomeDelay = 2 * time.Second
	// unresolvedRetryDelay is the time between two probes for the outcome of an earlier trial.
	unresolvedRetryDelay = time.Second
	// maxAllowedCrashes is how many replicas a part may end. From then on, trials are put off by one delay.
	maxAllowedCrashes = 5
	// maxTrialReplicas bounds the replicas that a trial's record names.
	maxTrialReplicas = 8
)

// Destination is the replica that a request is about to be sent to.
type Destination struct {
	Replica fleet.Incarnation
	Address string
}

// BegunTrial is a trial that this daemon has begun. It is not safe for concurrent use.
type BegunTrial struct {
	records   []trialRecord
	revision  int64 // of the records
	withdrawn bool
}

// trialRecord is the record of the latest trial of a quarantined part.
type trialRecord struct {
	key   string
	part  PartHash
	trial Trial
}

// trialStatus tells when the next trial of a quarantined part is due.
type trialStatus struct {
	due time.Time
	// heldUntil is until when requests wait for the outcome of a trial that has just begun.
	heldUntil time.Time
	// unresolved is the latest trial if its outcome is unknown; nil otherwise.
	unresolved *Trial
}

// trialStatus returns the status of a part that was quarantined at some time after it was at crashes that no answer has
// cleared since. The caller holds the mutex.
func (g *Guard) trialStatus(part PartHash, quarantinedAt time.Time, crashes map[string]bool) trialStatus {
	if at, inProgress := g.trialsInProgress[part]; inProgress {
		return trialStatus{due: at.Add(outcomeDelay), heldUntil: at.Add(holdTime)}
	}
	entry := g.ledger.trials[part]
	if entry == nil || !entry.Trial.concerns(crashes) {
		return trialStatus{due: quarantinedAt.Add(g.delayAfter(0, part, crashes))}
	}
	since := latest(quarantinedAt, entry.observedAt)
	if entry.Trial.Withdrawn {
		return trialStatus{due: since.Add(trialDelays[0])}
	}
	ended, unreported := entry.Trial.outcomes(crashes)
	if unreported == 0 {
		return trialStatus{due: since.Add(g.delayAfter(ended, part, crashes))}
	}
	status := trialStatus{due: since.Add(min(outcomeDelay<<(unreported-1), trialDelays[1])), heldUntil: entry.observedAt.Add(holdTime), unresolved: entry.Trial}
	status.due = latest(status.due, g.resolveAfter[part])
	return status
}

// delayAfter returns the time to the next trial of a part, by the trials that ended their replicas. The first trial is not
// put off for a part that was answered shortly before the crashes: an outage of many replicas is the likelier cause. The
// caller holds the mutex.
func (g *Guard) delayAfter(ended int, part PartHash, crashes map[string]bool) time.Duration {
	if len(crashes) >= maxAllowedCrashes && (ended > 0 || g.ledger.evidence.popularityOf(part) == 0) {
		ended++
	}
	return trialDelays[min(max(ended, 0), len(trialDelays)-1)]
}

// concerns reports whether a trial was of a quarantine for some of these crashes, and not of one that has ended. A trial
// of an earlier version does not tell.
func (t *Trial) concerns(crashes map[string]bool) bool {
	return len(t.Crashes) == 0 || slices.ContainsFunc(t.Crashes, func(replica string) bool { return crashes[replica] })
}

// outcomes returns how many trials ended their replicas, and how many of the latest in a row have no reported outcome. Of
// trials of an earlier version only the number is known, and all count as if they had ended their replicas.
func (t *Trial) outcomes(crashes map[string]bool) (ended, unreported int) {
	if len(t.Replicas) == 0 {
		return t.Number, 0
	}
	for _, replica := range t.Replicas {
		if crashes[replica.Incarnation().String()] {
			ended, unreported = ended+1, 0
		} else {
			unreported++
		}
	}
	return ended, unreported
}

// trialKey returns the key of the record of a part's latest trial.
func (g *Guard) trialKey(part PartHash) string { return g.Prefix + "trial-" + part.String() }

// BeginTrial begins a trial for a request that is about to be sent to a replica, and returns nil if there may be none: it
// finds out whether the request's quarantined part still crashes replicas. Of all daemons, one may. earlier is a trial of
// the same request that no replica saw, and that goes on with this one; nil if there was none. It blocks for a short,
// bounded time.
func (g *Guard) BeginTrial(ctx context.Context, suspect Suspect, to Destination, earlier *BegunTrial) *BegunTrial {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	plan := g.planTrial(suspect, to, earlier)
	if plan == nil || len(plan.records) == 0 {
		return plan.begun()
	}
	defer g.endPlan(plan)
	if !g.resolve(ctx, plan.unresolved) {
		return nil
	}
	result, err := g.Store.Commit(ctx, kv.Txn{Conditions: plan.conditions, Puts: plan.puts})
	entry := g.trialEntry(plan.records, suspect.Request).WithField(logging.Replica, to.Replica.String())
	switch {
	case err != nil:
		entry.WithField(logging.Cause, err.Error()).WithField(logging.Outcome, "not begun").Info(logging.MessagePartTrial)
		return nil
	case !result.Succeeded:
		entry.WithField(logging.Outcome, "begun by another daemon").Info(logging.MessagePartTrial)
		return nil
	}
	begun := plan.begun()
	begun.revision = result.Revision
	g.applyTrial(begun)
	g.Metrics.trials.Inc()
	entry.WithField(logging.Outcome, "begun").Info(logging.MessagePartTrial)
	return begun
}

// WithdrawTrial undoes a trial that ended without a replica that saw the request, so that the next one is due soon. It
// reports whether the same request may go on with the trial. It blocks for a short, bounded time.
func (g *Guard) WithdrawTrial(trial *BegunTrial) bool {
	if len(trial.records) == 0 || trial.withdrawn {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	var txn kv.Txn
	for index := range trial.records {
		record := &trial.records[index]
		record.trial.Withdrawn, record.trial.Replicas = true, record.trial.Replicas[:len(record.trial.Replicas)-1]
		put, err := record.put()
		if err != nil {
			g.Log.WithField(logging.Cause, err.Error()).Error("trial of a prompt's part could not be encoded")
			return false
		}
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: record.key, ModRevision: trial.revision})
		txn.Puts = append(txn.Puts, put)
	}
	result, err := g.Store.Commit(ctx, txn)
	if err == nil && !result.Succeeded {
		err = errors.New("another trial has begun")
	}
	entry := g.trialEntry(trial.records, Fingerprint{})
	if err != nil {
		// The next trial finds out that the replica runs.
		entry.WithField(logging.Cause, err.Error()).WithField(logging.Outcome, "not withdrawn").Info(logging.MessagePartTrial)
		return false
	}
	trial.revision, trial.withdrawn = result.Revision, true
	g.applyTrial(trial)
	g.Metrics.trialsWithdrawn.Inc()
	entry.WithField(logging.Outcome, "withdrawn").Info(logging.MessagePartTrial)
	return true
}

// trialEntry returns a log entry about a trial.
func (g *Guard) trialEntry(records []trialRecord, request Fingerprint) *logrus.Entry {
	var parts []PartHash
	for _, record := range records {
		parts = append(parts, record.part)
	}
	entry := g.Log.WithField(logging.PartHash, joinParts(parts))
	if request != (Fingerprint{}) {
		entry = entry.WithField(logging.Fingerprint, request.String())
	}
	return entry
}

// applyTrial adds the records of a trial to the ledger.
func (g *Guard) applyTrial(trial *BegunTrial) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, record := range trial.records {
		written := record.trial
		g.ledger.put(record.key, Report{Trial: &written}, trial.revision, g.Now())
	}
	g.signalPartsChanged()
}

// trialPlan is a trial that is about to begin.
type trialPlan struct {
	records    []trialRecord
	conditions []kv.Condition
	puts       []kv.Put
	unresolved []*Trial // earlier trials whose outcome must be known first
}

// begun returns the trial that the plan becomes; nil for no plan.
func (p *trialPlan) begun() *BegunTrial {
	if p == nil {
		return nil
	}
	return &BegunTrial{records: p.records}
}

// planTrial returns the trial of the request's quarantined part; nil if none may begin. A plan without records means that
// nothing of the request is quarantined any more.
func (g *Guard) planTrial(suspect Suspect, to Destination, earlier *BegunTrial) *trialPlan {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateIfOutdated()
	if g.blocked(suspect.Request) != nil {
		return nil
	}
	plan := &trialPlan{}
	for _, part := range suspect.Parts {
		if !g.suspectParts[part].isQuarantined() {
			continue
		}
		if len(plan.records) > 0 || !g.planRecord(plan, part, suspect, to, earlier) {
			return nil
		}
	}
	for _, record := range plan.records {
		g.trialsInProgress[record.part] = g.Now()
	}
	return plan
}

// planRecord adds the trial of a part to a plan, and reports whether it may begin. The caller holds the mutex.
func (g *Guard) planRecord(plan *trialPlan, part PartHash, suspect Suspect, to Destination, earlier *BegunTrial) bool {
	if _, inProgress := g.trialsInProgress[part]; inProgress {
		return false
	}
	crashes := g.ledger.evidence.uncleared[part]
	status := g.trialStatus(part, g.suspectParts[part].quarantinedAt, crashes)
	goesOn := earlier.isLatestOf(part, g.ledger.trials[part])
	if !goesOn && g.Now().Before(status.due) {
		return false
	}
	if status.unresolved != nil {
		plan.unresolved = append(plan.unresolved, status.unresolved)
	}
	record := trialRecord{key: g.trialKey(part), part: part, trial: Trial{Part: part[:], Number: 1, Request: suspect.Request[:], Crashes: firstOf(crashes, CrashThreshold)}}
	revision := int64(0)
	if previous := g.ledger.trials[part]; previous != nil {
		revision, record.trial.Number = previous.revision, previous.Trial.Number+1
		if previous.Trial.concerns(crashes) {
			record.trial.Replicas = slices.Clone(previous.Trial.Replicas)
		}
	}
	record.trial.Replicas = append(record.trial.Replicas, trialReplica{ID: to.Replica.ID, Born: to.Replica.Born, Address: to.Address})
	record.trial.Replicas = record.trial.Replicas[max(0, len(record.trial.Replicas)-maxTrialReplicas):]
	put, err := record.put()
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).Error("trial of a prompt's part could not be encoded")
		return false
	}
	plan.records = append(plan.records, record)
	plan.conditions = append(plan.conditions, kv.Condition{Key: record.key, ModRevision: revision})
	plan.puts = append(plan.puts, put)
	return true
}

// endPlan lets other trials of the plan's parts begin.
func (g *Guard) endPlan(plan *trialPlan) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, record := range plan.records {
		delete(g.trialsInProgress, record.part)
	}
	g.signalPartsChanged()
}

// isLatestOf reports whether the trial was withdrawn and is still the latest of a part.
func (t *BegunTrial) isLatestOf(part PartHash, current *ledgerEntry) bool {
	return t != nil && t.withdrawn && current != nil && current.revision == t.revision &&
		slices.ContainsFunc(t.records, func(record trialRecord) bool { return record.part == part })
}

// put returns the write of the record.
func (r trialRecord) put() (kv.Put, error) {
	value, err := Report{Trial: &r.trial}.Encode()
	return kv.Put{Key: r.key, Value: value}, err
}

// firstOf returns the first replicas by name.
func firstOf(replicas map[string]bool, count int) []string {
	names := sortedNames(replicas)
	return names[:min(count, len(names))]
}

// resolve finds out whether earlier trials ended their replicas, since the daemons that began them may not have reported
// it. It reports whether all of these replicas still run.
func (g *Guard) resolve(ctx context.Context, trials []*Trial) bool {
	for _, trial := range trials {
		replica, part := trial.Replicas[len(trial.Replicas)-1], PartHash(trial.Part)
		liveness := g.probe(ctx, replica.Incarnation(), replica.Address, g.chargeProbe)
		g.Log.WithFields(logrus.Fields{logging.PartHash: part.String(), logging.Replica: replica.Incarnation().String(), logging.Outcome: "replica " + liveness.String()}).
			Info(logging.MessagePartTrial)
		switch liveness {
		case Running:
			continue
		case NotRunning:
			g.recordCrash(replica.Incarnation(), Suspect{Request: Fingerprint(trial.Request), Parts: []PartHash{part}})
		case Unknown:
			g.mutex.Lock()
			g.resolveAfter[part] = g.Now().Add(unresolvedRetryDelay)
			g.mutex.Unlock()
		}
		return false
	}
	return true
}
