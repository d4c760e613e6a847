package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// trialDelays are the times from the quarantine of a part, or from its latest trial, to the next trial. The last one
// repeats; it is shorter than quarantineTTL, so that a part that still crashes replicas stays quarantined.
var trialDelays = []time.Duration{time.Second, time.Minute, 10 * time.Minute, quarantineTTL - 5*time.Minute}

// trialTimeout bounds the write that a trial begins with.
const trialTimeout = 500 * time.Millisecond

// nextTrial returns when the next trial of a quarantined part is due. The caller holds the mutex.
func (g *Guard) nextTrial(part PartHash) time.Time {
	since, number := g.suspectParts[part].quarantinedAt, 0
	if latestTrial := g.ledger.trials[part]; latestTrial != nil {
		since, number = latest(since, latestTrial.observedAt), latestTrial.Trial.Number
	}
	return since.Add(trialDelays[min(max(number, 0), len(trialDelays)-1)])
}

// trialKey returns the key of the record of a part's latest trial.
func (g *Guard) trialKey(part PartHash) string { return g.Prefix + "trial-" + part.String() }

// BeginTrial reports whether this request, for which Check said that a trial is due, may be dispatched once to find out
// whether its quarantined part still crashes replicas. Of all daemons, one may. It blocks for a short, bounded time.
func (g *Guard) BeginTrial(ctx context.Context, suspect Suspect) bool {
	part, txn, due := g.prepareTrial(suspect)
	if !due {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	result, err := g.Store.Commit(ctx, txn)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if state := g.suspectParts[part]; state != nil {
		state.onTrial = false
	}
	entry := g.Log.WithFields(logrus.Fields{logging.PartHash: part.String(), logging.Fingerprint: suspect.Request.String()})
	switch {
	case err != nil:
		entry.WithField(logging.Cause, err.Error()).WithField(logging.Outcome, "not begun").Info(logging.MessagePartTrial)
		return false
	case !result.Succeeded:
		entry.WithField(logging.Outcome, "begun by another daemon").Info(logging.MessagePartTrial)
		return false
	}
	report, err := ParseReport(txn.Puts[0].Value)
	if err != nil { // the mirror brings the record once it has been written
		entry.WithField(logging.Cause, err.Error()).Warn("replica crash report could not be decoded and is ignored")
	} else {
		g.ledger.put(txn.Puts[0].Key, report, result.Revision, g.Now())
	}
	g.Metrics.trials.Inc()
	entry.WithField(logging.Outcome, "begun").Info(logging.MessagePartTrial)
	return true
}

// prepareTrial returns the transaction that begins a trial of the request's quarantined part, if one is due. It succeeds
// only if no other daemon has begun the same trial.
func (g *Guard) prepareTrial(suspect Suspect) (part PartHash, txn kv.Txn, due bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateIfOutdated()
	for _, candidate := range suspect.Parts {
		state := g.suspectParts[candidate]
		if !state.isQuarantined() {
			continue
		}
		if due || state.onTrial || g.Now().Before(g.nextTrial(candidate)) {
			return part, txn, false
		}
		part, due = candidate, true
	}
	if !due {
		return part, txn, false
	}
	key, number, revision := g.trialKey(part), 1, int64(0)
	if previous := g.ledger.reports[key]; previous != nil && previous.Trial != nil {
		number, revision = previous.Trial.Number+1, previous.revision
	}
	value, err := Report{Trial: &Trial{Part: part[:], Number: number}}.Encode()
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).Error("trial of a prompt's part could not be encoded")
		return part, txn, false
	}
	g.suspectParts[part].onTrial = true
	return part, kv.Txn{Conditions: []kv.Condition{{Key: key, ModRevision: revision}}, Puts: []kv.Put{{Key: key, Value: value}}}, true
}
