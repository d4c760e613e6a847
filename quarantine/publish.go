package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// dependencyService names the key-value service in log lines.
const dependencyService = "key-value service"

const (
	// gatherTime lets one report hold all requests that a daemon had at a replica: their
	// connections break within some ms.
	gatherTime = 20 * time.Millisecond
	// pauseFirst and pauseLongest are between attempts to write a report. All daemons are to
	// know of an end within three seconds after the service answers again.
	pauseFirst   = 200 * time.Millisecond
	pauseLongest = time.Second
	// sweepPause is between looks at what need not be kept any longer.
	sweepPause = 10 * time.Second
	// mostDeletes bounds the records that one call deletes.
	mostDeletes = 64
)

// Serve implements suture.Service.
func (g *Guard) Serve(ctx context.Context) error {
	sweep := time.NewTicker(sweepPause)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			g.forget(ctx)
		case <-g.foundLost:
			g.rewriteLost(ctx)
		case <-g.filled:
			sleep.For(ctx, gatherTime)
			key, report := g.take()
			g.publish(ctx, key, report)
		}
	}
}

// take returns the report that was being filled, and begins another.
func (g *Guard) take() (key string, report Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	key, report = g.key, g.filling
	g.key, g.filling = g.newKey(), Report{}
	select {
	case <-g.filled: // added meanwhile, and taken with the rest
	default:
	}
	return key, report
}

// publish writes a report until the key-value service has it. Its key is this daemon's alone,
// so that it does no harm to write it twice.
func (g *Guard) publish(ctx context.Context, key string, report Report) {
	write, err := writeOf(key, report)
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).Error("report of replicas that ended not written")
		return
	}
	for pause := pauseFirst; ; pause = min(2*pause, pauseLongest) {
		_, err := g.Store.Commit(ctx, write)
		if err == nil {
			g.Metrics.published.Inc()
			return
		}
		if ctx.Err() != nil {
			return
		}
		g.Log.WithFields(logrus.Fields{logging.Dependency: dependencyService, logging.Cause: err.Error()}).Info("report of replicas that ended waits to be written")
		if !sleep.For(ctx, pause) {
			return
		}
	}
}

// writeOf returns the transaction that writes a report. One that fails says that the record is there, by an
// attempt without answer.
func writeOf(key string, report Report) (kv.Txn, error) {
	value, err := report.Encode()
	return kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: value}}}, err
}

// forget drops what need not be kept any longer: here, and for all daemons where this one
// leads.
func (g *Guard) forget(ctx context.Context) {
	g.mutex.Lock()
	over := g.ledger.outdated(g.Now())
	for _, key := range over {
		g.ledger.remove(key)
	}
	g.mutex.Unlock()
	if !g.Leading() {
		return
	}
	for len(over) > 0 {
		some := over[:min(mostDeletes, len(over))]
		over = over[len(some):]
		if _, err := g.Store.Commit(ctx, kv.Txn{Deletes: some}); err != nil {
			g.Log.WithField(logging.Cause, err.Error()).Info("old reports of replicas that ended not deleted; they count no more here")
			return
		}
	}
}
