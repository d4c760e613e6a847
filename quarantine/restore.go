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

// lose notes that a restore of the key-value service took a report's record away; the mutex is held. The
// report goes on counting, and the daemon that leads writes it again for those that start later.
func (g *Guard) lose(key string) {
	report := g.ledger.reports[key]
	if report == nil {
		return
	}
	g.lost[key] = report.order
	report.order = unpublished
	g.signalLost()
}

// signalLost has lost reports looked at.
func (g *Guard) signalLost() {
	select {
	case g.foundLost <- struct{}{}:
	default:
	}
}

// rewriteLost writes the reports again that a restore took away, where this daemon leads, in the order in
// which they were written: what clears a request clears it of the ends before. What is left is looked at again
// after a pause, since another daemon may lead by then.
func (g *Guard) rewriteLost(ctx context.Context) {
	g.mutex.Lock()
	lost := maps.Clone(g.lost)
	g.mutex.Unlock()
	if len(lost) == 0 {
		return
	}
	defer time.AfterFunc(pauseLongest, g.signalLost)
	if !g.Leading() {
		return
	}
	inOrder := slices.SortedFunc(maps.Keys(lost), func(a, b string) int { return cmp.Compare(lost[a], lost[b]) })
	for written, key := range inOrder {
		if err := g.rewrite(ctx, key); err != nil {
			g.Log.WithFields(logrus.Fields{logging.Dependency: dependencyService, logging.Cause: err.Error(), logging.Listed: written}).
				Info("reports of replicas that ended wait to be written again")
			return
		}
	}
	g.Log.WithField(logging.Listed, len(inOrder)).Info(logging.MessageReportsRewritten)
}

// rewrite writes one lost report again, unless it need not be kept any longer.
func (g *Guard) rewrite(ctx context.Context, key string) error {
	g.mutex.Lock()
	report := g.ledger.reports[key]
	var content Report
	if report != nil {
		content = report.clone()
	}
	g.mutex.Unlock()
	if report != nil {
		write, err := writeOf(key, content)
		if err != nil {
			return err
		}
		if _, err := g.Store.Commit(ctx, write); err != nil {
			return err
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.lost, key)
	return nil
}
