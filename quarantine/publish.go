package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// dependencyKeyValue names the key-value service in the dependency log field.
const dependencyKeyValue = "key-value service"

const (
	// gatherDelay lets one report collect all requests that a daemon had at a crashed replica.
	gatherDelay = 20 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential back-off between attempts to write a
	// report.
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = time.Second
	sweepInterval    = 10 * time.Second // between removals of expired reports
	maxDeletesPerTxn = 32               // entries that the key-value service allows in one transaction
)

// Serve publishes pending reports, rewrites lost ones and removes expired ones until ctx ends. It
// implements suture.Service.
func (g *Guard) Serve(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			g.expireReports(ctx)
		case <-g.lostSignal:
			g.rewriteLost(ctx)
		case <-g.pendingReady:
			sleep.For(ctx, gatherDelay)
			key, report := g.takePending()
			g.publish(ctx, key, report)
		}
	}
}

// pendingReport is a report that is not published yet.
type pendingReport struct {
	Report
	key      string // of its record
	revision int64  // until it is published; orders this daemon's reports
}

// maxSealed bounds the reports that wait while the key-value service is unavailable. Beyond it, a request that is served
// clears no crash of the same report.
const maxSealed = 16

// sealPending starts a new pending report and keeps the one so far to be published before it. The caller holds the mutex.
func (g *Guard) sealPending() {
	if len(g.sealed) < maxSealed {
		g.sealed = append(g.sealed, g.pending)
		g.startPending()
	}
}

// startPending starts a new pending report. The caller holds the mutex.
func (g *Guard) startPending() {
	g.pending = pendingReport{key: g.newKey(), revision: g.pending.revision + 1}
}

// takePending returns the oldest report to publish, with its key.
func (g *Guard) takePending() (pendingKey string, report Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.sealed) > 0 {
		oldest := g.sealed[0]
		g.sealed = slices.Delete(g.sealed, 0, 1)
		select {
		case g.pendingReady <- struct{}{}: // for the next one
		default:
		}
		return oldest.key, oldest.Report
	}
	taken := g.pending
	g.startPending()
	select {
	case <-g.pendingReady: // entries added during gatherDelay are part of the report
	default:
	}
	return taken.key, taken.Report
}

// publish writes a report, with retries until the key-value service confirms it. Retries are safe
// because the record's key is unique.
func (g *Guard) publish(ctx context.Context, key string, report Report) {
	txn, err := reportTxn(key, report)
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).Error("replica crash report could not be encoded")
		return
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		_, err := g.Store.Commit(ctx, txn)
		if err == nil {
			g.Metrics.published.Inc()
			return
		}
		if ctx.Err() != nil {
			return
		}
		g.Log.WithFields(logrus.Fields{logging.Dependency: dependencyKeyValue, logging.Cause: err.Error()}).Info("replica crash report not written yet; will retry")
		if !sleep.For(ctx, delay) {
			return
		}
	}
}

// reportTxn returns a transaction that creates a report's record unless it exists. An unmet condition
// means that an earlier attempt with an unknown outcome has written the record.
func reportTxn(key string, report Report) (kv.Txn, error) {
	value, err := report.Encode()
	return kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: value}}}, err
}

// expireReports removes expired reports from the ledger and, on the leader, deletes their records.
func (g *Guard) expireReports(ctx context.Context) {
	g.mutex.Lock()
	keys := g.ledger.expired(g.Now())
	for _, key := range keys {
		g.ledger.remove(key)
	}
	g.forgetTrials()
	g.updateSuspectParts()
	g.mutex.Unlock()
	if !g.Leading() {
		return
	}
	for len(keys) > 0 {
		batch := keys[:min(maxDeletesPerTxn, len(keys))]
		keys = keys[len(batch):]
		if _, err := g.Store.Commit(ctx, kv.Txn{Deletes: batch}); err != nil {
			g.Log.WithField(logging.Cause, err.Error()).Info("expired replica crash reports could not be deleted; this daemon ignores them")
			return
		}
	}
}
