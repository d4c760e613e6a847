package loader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/logging"
)

// give sends an order; the mutex is held. The answer is taken in later.
func (l *Leader) giveOrder(ctx context.Context, order loading.Order, now time.Time) {
	if state := l.states[order.ReplicaID]; state != nil && !state.Verified {
		l.requestReport(ctx, order.ReplicaID, now) // its own word first; the next round decides by it
		return
	}
	entry, found := l.Fleet.Entry(order.ReplicaID)
	if !found || !l.reserveMessage(l.states[order.ReplicaID], now) {
		return
	}
	l.inFlight[order.ReplicaID] = &order
	l.lastOrderAt = now
	l.orderTimes.record(order.ReplicaID, now)
	if order.LoadsFromStore() {
		l.storeWindow.RecordStart(now)
	}
	l.sendOrder(ctx, entry, order, l.fence, l.applyResponse)
}

// responseHandler takes in what a replica said to an order.
type responseHandler func(state *loading.Replica, order loading.Order, answer OrderResponse, err error, now time.Time)

// send sends an order; apply gets the answer, under the mutex.
func (l *Leader) sendOrder(ctx context.Context, entry fleet.Entry, order loading.Order, fence int64, handle responseHandler) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		response, err := l.Replicas.Order(ctx, entry, order, l.Daemon, fence)
		l.handleResponse(order, fence, response, err, handle)
	}()
}

// answered takes in what a replica said to an order.
func (l *Leader) handleResponse(order loading.Order, fence int64, response OrderResponse, err error, handle responseHandler) {
	now := time.Now()
	l.mutex.Lock()
	l.orderTimes.record(order.ReplicaID, now) // it may have reached the replica as late as this
	if fence == l.fence {
		delete(l.inFlight, order.ReplicaID)
		if state := l.states[order.ReplicaID]; state != nil {
			handle(state, order, response, err, now)
			l.markChanged(order.ReplicaID)
		}
	}
	l.mutex.Unlock()
	l.logOrder(order, fence, response, err)
	if err == nil && response == Fenced {
		l.Election.Deposed("a replica has seen a higher fence")
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

// touch marks a replica's state as changed; the mutex is held.
func (l *Leader) markChanged(id string) {
	l.publishChange()
	l.loadChanges.mark(id, l.version)
}

func (l *Leader) logOrder(order loading.Order, fence int64, response OrderResponse, err error) {
	outcome := response.String()
	entry := l.Log.WithFields(logrus.Fields{
		logging.Replica: order.ReplicaID, logging.Order: order.Verb.String(), logging.Model: order.Target.Model, logging.Adapter: order.Target.Adapter,
		logging.Sequence: order.Sequence, logging.Fence: fence, logging.Reason: order.Reason, logging.Source: order.Origin.String(),
		logging.ReadyInMs: order.ExpectedDuration.Milliseconds(),
	})
	if err != nil {
		outcome = "unanswered"
		entry = entry.WithField(logging.Cause, err.Error())
	}
	l.Metrics.orders.WithLabelValues(order.Verb.String(), outcome).Inc()
	entry.WithField(logging.Outcome, outcome).Info(logging.MessageLoadOrder)
}

// checkReplicas asks for the reports of replicas of which more must be known; the
// mutex is held.
func (l *Leader) checkReplicas(ctx context.Context, now time.Time) {
	for id, state := range l.states {
		dueAt := state.NextCheck(now)
		if _, inFlight := l.inFlight[id]; inFlight || state.Draining && state.Verified || (state.Verified || state.Assumed) && dueAt.IsZero() {
			continue
		}
		for _, earliest := range []time.Time{l.polledAt[id].Add(pollInterval), state.RestsUntil} {
			if dueAt.Before(earliest) {
				dueAt = earliest
			}
		}
		if dueAt.After(now) {
			l.scheduleRound(dueAt)
			continue
		}
		if probe, possible := state.ProbeOrder(now); possible {
			l.sendProbe(ctx, probe, now)
			continue
		}
		l.requestReport(ctx, id, now)
	}
}

// ask gives an order again that should have been carried out, to learn whether it was; the
// mutex is held.
func (l *Leader) sendProbe(ctx context.Context, order loading.Order, now time.Time) {
	entry, found := l.Fleet.Entry(order.ReplicaID)
	if !found || !l.reserveMessage(l.states[order.ReplicaID], now) {
		return
	}
	l.inFlight[order.ReplicaID] = nil
	l.lastOrderAt = now
	l.orderTimes.record(order.ReplicaID, now)
	l.sendOrder(ctx, entry, order, l.fence, l.applyProbeResponse)
}

// applyProbeResponse takes in the answer to an order that was given before; the mutex is held.
func (l *Leader) applyProbeResponse(state *loading.Replica, order loading.Order, response OrderResponse, err error, now time.Time) {
	if err == nil && (response == Accepted || response == Refused) {
		state.MarkUnfinished(now) // accepted says that it is being carried out
		return
	}
	l.applyResponse(state, order, response, err, now)
}

// due notes a moment at which the holder has to look again; the mutex is held.
func (l *Leader) scheduleRound(at time.Time) {
	if l.nextRoundAt.IsZero() || at.Before(l.nextRoundAt) {
		l.nextRoundAt = at
	}
}

// check asks a replica for its report; the mutex is held.
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
		report, err := l.Replicas.Report(ctx, entry)
		l.applyReport(id, fence, report, err)
	}()
}

// heard takes in a replica's report.
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
			l.polledAt[id] = now.Add(pollInterval) // ask less often where nothing answers
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
			logging.Busy: report.Busy, logging.Fence: fence}).Info(logging.MessageReplicaHeard)
	}
	l.Wake()
}

func sortedIDs(states map[string]*loading.Replica) []string { return slices.Sorted(maps.Keys(states)) }
