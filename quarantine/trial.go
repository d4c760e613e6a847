package quarantine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

const (
	// trialTimeout bounds the calls that a trial begins with.
	trialTimeout = 500 * time.Millisecond
	// unresolvedRetryDelay is the time between two probes for the outcome of an earlier trial.
	unresolvedRetryDelay = time.Second
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

// trialRecord is the record of the latest trial of a subject.
type trialRecord struct {
	key   string
	trial Trial
}

// trialKey returns the key of the record of a subject's latest trial.
func (g *Guard) trialKey(of subject) string { return g.Prefix + "trial-" + string(of) }

// BeginTrial begins a trial for a request that is about to be sent to a replica, and returns nil if there may be none: it
// finds out whether the request, or the quarantined part of its prompt, still crashes replicas. Of all daemons, one may.
// earlier is a trial of the same request that no replica saw, and that goes on with this one; nil if there was none. It
// blocks for a short, bounded time.
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
		entry.WithField(logging.Cause, err.Error()).WithField(logging.Outcome, "not begun").Info(logging.MessageTrial)
		return nil
	case !result.Succeeded:
		entry.WithField(logging.Outcome, "begun by another daemon").Info(logging.MessageTrial)
		return nil
	}
	begun := plan.begun()
	begun.revision = result.Revision
	g.applyTrial(begun)
	g.Metrics.trials.Inc()
	entry.WithField(logging.Outcome, "begun").Info(logging.MessageTrial)
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
			g.Log.WithField(logging.Cause, err.Error()).Error("trial could not be encoded")
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
		entry.WithField(logging.Cause, err.Error()).WithField(logging.Outcome, "not withdrawn").Info(logging.MessageTrial)
		return false
	}
	trial.revision, trial.withdrawn = result.Revision, true
	g.applyTrial(trial)
	g.Metrics.trialsWithdrawn.Inc()
	entry.WithField(logging.Outcome, "withdrawn").Info(logging.MessageTrial)
	return true
}

// EndTrial ends a trial whose request was answered: it counts for no later quarantine. It does not block.
func (g *Guard) EndTrial(trial *BegunTrial) {
	if len(trial.records) == 0 {
		return
	}
	var txn kv.Txn
	for _, record := range trial.records {
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: record.key, ModRevision: trial.revision})
		txn.Deletes = append(txn.Deletes, record.key)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		defer cancel()
		_, err := g.Store.Commit(ctx, txn)
		entry := g.trialEntry(trial.records, Fingerprint(trial.records[0].trial.Request)).WithField(logging.Outcome, "answered")
		if err != nil { // the record expires
			entry = entry.WithField(logging.Cause, err.Error())
		}
		entry.Info(logging.MessageTrial)
	}()
}

// trialEntry returns a log entry about a trial.
func (g *Guard) trialEntry(records []trialRecord, request Fingerprint) *logrus.Entry {
	entry := g.Log.WithFields(nil)
	for _, record := range records {
		if record.trial.Part != nil {
			entry = entry.WithField(logging.PartHash, string(record.trial.subject()))
		}
	}
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

// planTrial returns the trial of what of the request is quarantined; nil if none may begin. A plan without records means
// that nothing of it is quarantined any more.
func (g *Guard) planTrial(suspect Suspect, to Destination, earlier *BegunTrial) *trialPlan {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateIfOutdated()
	subjects := g.quarantinedIn(suspect)
	if !mayShareTrial(subjects) {
		return nil
	}
	plan := &trialPlan{}
	for _, of := range subjects {
		if !g.planRecord(plan, of, suspect.Request, to, earlier) {
			return nil
		}
	}
	for _, record := range plan.records {
		g.trialsInProgress[record.trial.subject()] = g.Now()
	}
	return plan
}

// planRecord adds the trial of a subject to a plan, and reports whether it may begin. The caller holds the mutex.
func (g *Guard) planRecord(plan *trialPlan, of quarantined, request Fingerprint, to Destination, earlier *BegunTrial) bool {
	if _, inProgress := g.trialsInProgress[of.subject]; inProgress {
		return false
	}
	status, previous := g.trialStatus(of), g.ledger.trials[of.subject]
	if !earlier.isLatestOf(of.subject, previous) && g.Now().Before(status.due) {
		return false
	}
	if status.unresolved != nil {
		plan.unresolved = append(plan.unresolved, status.unresolved)
	}
	record := trialRecord{key: g.trialKey(of.subject), trial: Trial{Part: of.part, Number: 1, Request: request[:], Crashes: firstOf(of.crashes, CrashThreshold)}}
	revision := int64(0)
	if previous != nil {
		revision, record.trial.Number = previous.revision, previous.Trial.Number+1
		if previous.Trial.concerns(of.crashes) {
			record.trial.Replicas = slices.Clone(previous.Trial.Replicas)
		}
		if g.foundRunning[of.subject] == previous.Trial.Number { // it did not end its replica
			record.trial.Replicas = record.trial.Replicas[:max(0, len(record.trial.Replicas)-1)]
		}
	}
	record.trial.Replicas = append(record.trial.Replicas, trialReplica{ID: to.Replica.ID, Born: to.Replica.Born, Address: to.Address})
	record.trial.Replicas = record.trial.Replicas[max(0, len(record.trial.Replicas)-maxTrialReplicas):]
	put, err := record.put()
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).Error("trial could not be encoded")
		return false
	}
	plan.records = append(plan.records, record)
	plan.conditions = append(plan.conditions, kv.Condition{Key: record.key, ModRevision: revision})
	plan.puts = append(plan.puts, put)
	return true
}

// endPlan lets other trials of the plan's subjects begin.
func (g *Guard) endPlan(plan *trialPlan) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, record := range plan.records {
		delete(g.trialsInProgress, record.trial.subject())
	}
	g.signalPartsChanged()
}

// isLatestOf reports whether the trial was withdrawn and is still the latest of a subject.
func (t *BegunTrial) isLatestOf(of subject, current *ledgerEntry) bool {
	return t != nil && t.withdrawn && current != nil && current.revision == t.revision &&
		slices.ContainsFunc(t.records, func(record trialRecord) bool { return record.trial.subject() == of })
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
		replica := trial.Replicas[len(trial.Replicas)-1]
		liveness := g.probe(ctx, replica.Incarnation(), replica.Address, g.chargeProbe)
		g.trialEntry([]trialRecord{{trial: *trial}}, Fingerprint(trial.Request)).
			WithFields(logrus.Fields{logging.Replica: replica.Incarnation().String(), logging.Outcome: "replica " + liveness.String()}).Info(logging.MessageTrial)
		if liveness == Running {
			continue
		}
		if liveness == NotRunning {
			suspect := Suspect{Request: Fingerprint(trial.Request)}
			if trial.Part != nil {
				suspect.Parts = []PartHash{PartHash(trial.Part)}
			}
			g.recordCrash(replica.Incarnation(), suspect)
		}
		g.mutex.Lock()
		g.resolveAfter[trial.subject()] = g.Now().Add(unresolvedRetryDelay)
		delete(g.foundRunning, trial.subject())
		g.mutex.Unlock()
		return false
	}
	return true
}

// forgetTrials drops what is known of trials whose records have gone. The caller holds the mutex.
func (g *Guard) forgetTrials() {
	maps.DeleteFunc(g.resolveAfter, func(of subject, _ time.Time) bool { return g.ledger.trials[of] == nil })
	maps.DeleteFunc(g.foundRunning, func(of subject, _ int) bool { return g.ledger.trials[of] == nil })
}

// recheckCrash probes the replica of a trial that is reported to have crashed, from time to time: a link that refuses
// connections looks like the end of a replica that runs on. If it runs, the trial counts as one without an outcome. A
// replica without a known start time cannot be told from its successor. The caller holds the mutex.
func (g *Guard) recheckCrash(of subject, trial *Trial) {
	if len(trial.Replicas) == 0 {
		return // written by an earlier version
	}
	replica := trial.Replicas[len(trial.Replicas)-1]
	observedAt, now := g.ledger.trials[of].observedAt, g.Now()
	if replica.Born == 0 || now.Sub(observedAt) < outcomeDelay || now.Before(g.resolveAfter[of]) {
		return
	}
	g.resolveAfter[of] = now.Add(now.Sub(observedAt)) // half as often each time
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if g.probe(ctx, replica.Incarnation(), replica.Address, g.chargeProbe) != Running {
			return
		}
		g.trialEntry([]trialRecord{{trial: *trial}}, Fingerprint(trial.Request)).
			WithFields(logrus.Fields{logging.Replica: replica.Incarnation().String(), logging.Outcome: "replica running after all"}).Info(logging.MessageTrial)
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.foundRunning[of] = trial.Number
		delete(g.resolveAfter, of)
		g.signalPartsChanged()
	}()
}
