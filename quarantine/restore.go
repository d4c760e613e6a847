package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
)

// markLost records that a restore of the key-value service removed a report's record. The report
// remains in the ledger, and the leader writes it again for daemons that start later. The caller holds
// the mutex.
func (g *Guard) markLost(key string) {
	report := g.ledger.reports[key]
	if report == nil {
		return
	}
	g.lostReports[key] = report.revision
	report.revision = unpublished
	g.signalLost()
}

// signalLost makes Serve call rewriteLost.
func (g *Guard) signalLost() {
	select {
	case g.lostSignal <- struct{}{}:
	default:
	}
}

// rewriteLost rewrites lost reports if this daemon is the leader. It keeps their original order, since
// a report that clears a request only applies to crashes reported before it. It schedules another run
// for reports that remain lost.
func (g *Guard) rewriteLost(ctx context.Context) {
	g.mutex.Lock()
	lostReports := maps.Clone(g.lostReports)
	g.mutex.Unlock()
	if len(lostReports) == 0 {
		return
	}
	defer time.AfterFunc(maxRetryDelay, g.signalLost)
	if !g.Leading() {
		return
	}
	keys := slices.SortedFunc(maps.Keys(lostReports), func(a, b string) int { return cmp.Compare(lostReports[a], lostReports[b]) })
	for rewritten, key := range keys {
		if err := g.rewriteReport(ctx, key); err != nil {
			g.Log.WithFields(logrus.Fields{logging.Dependency: dependencyKeyValue, logging.Cause: err.Error(), logging.Listed: rewritten}).
				Info("replica crash reports lost in a restore not rewritten yet; will retry")
			return
		}
	}
	g.Log.WithField(logging.Listed, len(keys)).Info(logging.MessageReportsRewritten)
}

// rewriteReport writes a lost report again unless it has expired, and removes it from lostReports.
func (g *Guard) rewriteReport(ctx context.Context, key string) error {
	g.mutex.Lock()
	report := g.ledger.reports[key]
	var content Report
	if report != nil {
		content = report.clone()
	}
	g.mutex.Unlock()
	if report != nil {
		txn, err := reportTxn(key, content)
		if err != nil {
			return err
		}
		if _, err := g.Store.Commit(ctx, txn); err != nil {
			return err
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.lostReports, key)
	return nil
}
