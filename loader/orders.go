package loader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/logging"
)

// giveOrder sends an order if the replica's state is verified, and requests its report otherwise. The caller
// holds the mutex.
func (l *Leader) giveOrder(ctx context.Context, order loading.Order, now time.Time) {
	if state := l.states[order.ReplicaID]; state != nil && !state.Verified {
		l.requestReport(ctx, order.ReplicaID, now) // the next round decides with the report
		return
	}
	entry, found := l.Fleet.Entry(order.ReplicaID)
	if !found || !l.reserveMessage(l.states[order.ReplicaID], now) {
		return
	}
	l.inFlight[order.ReplicaID] = &order
	if order.LoadsFromStore() {
		l.storeWindow.RecordStart(now)
	}
	l.sendOrder(ctx, entry, order, l.fence, l.applyResponse)
}

// responseHandler applies a replica's response to an order. The caller holds the mutex.
type responseHandler func(state *loading.Replica, order loading.Order, response OrderResponse, err error, now time.Time)

// sendOrder sends an order in the background and passes the response to handle, which runs under the mutex.
func (l *Leader) sendOrder(ctx context.Context, entry fleet.Entry, order loading.Order, fence int64, handle responseHandler) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		sentAt := time.Now()
		if !l.beginOrder(order.ReplicaID, fence, sentAt) {
			l.handleResponse(order, fence, 0, errTermUncertain, sentAt, handle)
			return
		}
		response, err := l.ReplicaClient.Order(ctx, entry, order, l.Daemon, fence)
		l.handleResponse(order, fence, response, err, sentAt, handle)
	}()
}

// errTermUncertain is why an order is not sent although its round decided on it.
var errTermUncertain = errors.New("the term may have ended since the order was decided")

// beginOrder reports whether an order of a term may still be sent, and records it if so. The process may have been
// suspended since the round that decided on it.
func (l *Leader) beginOrder(replica string, fence int64, now time.Time) bool {
	lease := l.leaseState()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if lease.fence != fence || l.fence != fence || !l.mayGiveOrders(lease) {
		return false
	}
	l.lastOrderAt = l.now()
	l.orderTimes.record(replica, now.Add(orderTimeout), now, l.Limits.termGap())
	return true
}

// handleResponse passes a response to its handler, unless the term has ended since, and logs it.
func (l *Leader) handleResponse(order loading.Order, fence int64, response OrderResponse, err error, sentAt time.Time, handle responseHandler) {
	now := time.Now()
	l.mutex.Lock()
	if fence == l.fence {
		delete(l.inFlight, order.ReplicaID)
		if state := l.states[order.ReplicaID]; state != nil {
			handle(state, order, response, err, now)
			l.markChanged(order.ReplicaID)
		}
	}
	l.mutex.Unlock()
	l.logOrder(order, fence, response, err, now.Sub(sentAt))
	if err == nil && response == Fenced {
		l.Election.StepDown("a replica has received a higher fencing token")
	}
	l.Wake()
}

func (l *Leader) applyResponse(state *loading.Replica, order loading.Order, response OrderResponse, err error, now time.Time) {
	switch {
	case response == Refused && err == nil && state.HasOverdueOrder(now):
		state.MarkUnfinished(now)
	case err != nil, response == Refused, response == Fenced:
		state.MarkUnverified(now)
	case response == Gone:
		state.MarkUnreachable(now)
	case response == Accepted:
		l.Metrics.countLoad(order)
		state.MarkAccepted(order, now)
		l.fetches.Start(order, now)
	case response == Done:
		state.MarkDone(order, now)
		l.fetches.Update(state, now)
	}
}

// markChanged publishes a change of a replica's state. The caller holds the mutex.
func (l *Leader) markChanged(id string) {
	l.publishChange()
	l.loadChanges.mark(id, l.version)
}

func (l *Leader) logOrder(order loading.Order, fence int64, response OrderResponse, err error, took time.Duration) {
	outcome := response.String()
	entry := l.Log.WithFields(logrus.Fields{
		logging.Replica: order.ReplicaID, logging.Order: order.Verb.String(), logging.Model: order.Target.Model, logging.Adapter: order.Target.Adapter,
		logging.Sequence: order.Sequence, logging.Fence: fence, logging.Reason: order.Reason, logging.Source: order.Origin.String(),
		logging.ReadyInMs: order.ExpectedDuration.Milliseconds(), logging.TookMs: took.Milliseconds(),
	})
	if err != nil {
		outcome = "unanswered"
		entry = entry.WithField(logging.Cause, err.Error())
	}
	l.Metrics.orders.WithLabelValues(order.Verb.String(), outcome).Inc()
	entry.WithField(logging.Outcome, outcome).Info(logging.MessageLoadOrder)
}

// checkMode is how the leader may check replicas.
type checkMode uint8

const (
	reportsAndProbes checkMode = iota
	reportsOnly                // a probe is an order
)

// checkReplicas requests reports of, or sends probes to, the replicas whose next check is due. The caller
// holds the mutex.
func (l *Leader) checkReplicas(ctx context.Context, now time.Time, mode checkMode) {
	for id, state := range l.states {
		dueAt := state.NextCheck(now)
		if _, inFlight := l.inFlight[id]; inFlight || state.Draining && state.Verified || (state.Verified || state.Assumed) && dueAt.IsZero() {
			continue
		}
		for _, earliest := range []time.Time{l.polledAt[id].Add(pollInterval), state.BackoffUntil} {
			if dueAt.Before(earliest) {
				dueAt = earliest
			}
		}
		if dueAt.After(now) {
			l.scheduleRound(dueAt)
			continue
		}
		if probe, possible := state.ProbeOrder(now); possible && mode == reportsAndProbes {
			l.sendProbe(ctx, probe, now)
			continue
		}
		l.requestReport(ctx, id, now)
	}
}

// sendProbe repeats an order that should have been carried out, to find out whether it was. The caller holds
// the mutex.
func (l *Leader) sendProbe(ctx context.Context, order loading.Order, now time.Time) {
	entry, found := l.Fleet.Entry(order.ReplicaID)
	if !found || !l.reserveMessage(l.states[order.ReplicaID], now) {
		return
	}
	l.inFlight[order.ReplicaID] = nil
	l.sendOrder(ctx, entry, order, l.fence, l.applyProbeResponse)
}

// applyProbeResponse applies the response to a probe. The caller holds the mutex.
func (l *Leader) applyProbeResponse(state *loading.Replica, order loading.Order, response OrderResponse, err error, now time.Time) {
	if err == nil && (response == Accepted || response == Refused) {
		state.MarkUnfinished(now) // the order is still being carried out
		return
	}
	l.applyResponse(state, order, response, err, now)
}

// scheduleRound schedules a round of decisions. The caller holds the mutex.
func (l *Leader) scheduleRound(at time.Time) {
	if l.nextRoundAt.IsZero() || at.Before(l.nextRoundAt) {
		l.nextRoundAt = at
	}
}

// requestReport fetches a replica's report in the background. The caller holds the mutex.
func (l *Leader) requestReport(ctx context.Context, id string, now time.Time) {
	entry, found := l.Fleet.Entry(id)
	if !found || !l.reserveMessage(l.states[id], now) {
		return
	}
	l.inFlight[id] = nil
	l.polledAt[id] = now
	fence := l.fence
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		requestedAt := time.Now()
		report, err := l.ReplicaClient.Report(ctx, entry)
		report.RequestedAt = requestedAt
		l.applyReport(id, fence, report, err)
	}()
}

// applyReport applies a replica's report to its state.
func (l *Leader) applyReport(id string, fence int64, report loading.Report, err error) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if fence != l.fence {
		return
	}
	delete(l.inFlight, id)
	state := l.states[id]
	if state == nil {
		return
	}
	if err != nil {
		if state.Verified {
			l.polledAt[id] = now.Add(pollInterval) // wait longer before polling an unresponsive replica again
		} else {
			state.MarkUnreachable(now)
		}
		return
	}
	changed := state.ApplyReport(report, now)
	l.fetches.Update(state, now)
	if changed {
		l.markChanged(id)
		l.Log.WithFields(logrus.Fields{logging.Replica: id, logging.Sequence: report.Sequence, logging.Model: slices.Sorted(maps.Keys(report.Holdings)),
			logging.Busy: report.Busy, logging.Fence: fence}).Info(logging.MessageReplicaState)
	}
	l.Wake()
}

func sortedIDs(states map[string]*loading.Replica) []string { return slices.Sorted(maps.Keys(states)) }
