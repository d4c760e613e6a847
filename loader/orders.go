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
func (h *Leader) give(ctx context.Context, order loading.Order, now time.Time) {
	if state := h.states[order.ReplicaID]; state != nil && !state.Verified {
		h.check(ctx, order.ReplicaID, now) // its own word first; the next round decides by it
		return
	}
	entry, found := h.Fleet.Entry(order.ReplicaID)
	if !found || !h.mayMessage(h.states[order.ReplicaID], now) {
		return
	}
	h.calling[order.ReplicaID] = &order
	h.lastOrder = now
	h.ordered.note(order.ReplicaID, now)
	if order.LoadsFromStore() {
		h.window.RecordStart(now)
	}
	h.send(ctx, entry, order, h.fence, h.apply)
}

// applyAnswer takes in what a replica said to an order.
type applyAnswer func(state *loading.Replica, order loading.Order, answer OrderResponse, err error, now time.Time)

// send sends an order; apply gets the answer, under the mutex.
func (h *Leader) send(ctx context.Context, entry fleet.Entry, order loading.Order, fence int64, apply applyAnswer) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		answer, err := h.Replicas.Order(ctx, entry, order, h.Daemon, fence)
		h.answered(order, fence, answer, err, apply)
	}()
}

// answered takes in what a replica said to an order.
func (h *Leader) answered(order loading.Order, fence int64, answer OrderResponse, err error, apply applyAnswer) {
	now := time.Now()
	h.mutex.Lock()
	h.ordered.note(order.ReplicaID, now) // it may have reached the replica as late as this
	if fence == h.fence {
		delete(h.calling, order.ReplicaID)
		if state := h.states[order.ReplicaID]; state != nil {
			apply(state, order, answer, err, now)
			h.touch(order.ReplicaID)
		}
	}
	h.mutex.Unlock()
	h.logOrder(order, fence, answer, err)
	if err == nil && answer == Fenced {
		h.Election.StepDown("a replica has seen a higher fence")
	}
	h.Wake()
}

func (h *Leader) apply(state *loading.Replica, order loading.Order, answer OrderResponse, err error, now time.Time) {
	switch {
	case answer == Refused && err == nil && state.HasOverdueOrder(now):
		state.MarkUnfinished(now)
	case err != nil, answer == Refused, answer == Fenced:
		state.MarkUnverified(now)
	case answer == Gone:
		state.MarkUnreachable(now)
	case answer == Accepted:
		h.Metrics.begun(order)
		state.MarkAccepted(order, now)
		h.fetches.Start(order, now)
	case answer == Done:
		state.MarkDone(order, now)
		h.fetches.Update(state, now)
	}
}

// touch marks a replica's state as changed; the mutex is held.
func (h *Leader) touch(id string) {
	h.notify()
	h.loads.mark(id, h.version)
}

func (h *Leader) logOrder(order loading.Order, fence int64, answer OrderResponse, err error) {
	outcome := answer.String()
	entry := h.Log.WithFields(logrus.Fields{
		logging.Replica: order.ReplicaID, logging.Order: order.Verb.String(), logging.Model: order.Target.Model, logging.Adapter: order.Target.Adapter,
		logging.Sequence: order.Sequence, logging.Fence: fence, logging.Reason: order.Reason, logging.Source: order.Origin.String(),
		logging.ReadyInMs: order.ExpectedDuration.Milliseconds(),
	})
	if err != nil {
		outcome = "unanswered"
		entry = entry.WithField(logging.Cause, err.Error())
	}
	h.Metrics.orders.WithLabelValues(order.Verb.String(), outcome).Inc()
	entry.WithField(logging.Outcome, outcome).Info(logging.MessageLoadOrder)
}

// checkReplicas asks for the reports of replicas of which more must be known; the
// mutex is held.
func (h *Leader) checkReplicas(ctx context.Context, now time.Time) {
	for id, state := range h.states {
		at := state.NextCheck(now)
		if _, calling := h.calling[id]; calling || state.Draining && state.Verified || (state.Verified || state.Assumed) && at.IsZero() {
			continue
		}
		for _, earliest := range []time.Time{h.polled[id].Add(pollPause), state.RestsUntil} {
			if at.Before(earliest) {
				at = earliest
			}
		}
		if at.After(now) {
			h.due(at)
			continue
		}
		if question, possible := state.ProbeOrder(now); possible {
			h.ask(ctx, question, now)
			continue
		}
		h.check(ctx, id, now)
	}
}

// ask gives an order again that should have been carried out, to learn whether it was; the
// mutex is held.
func (h *Leader) ask(ctx context.Context, order loading.Order, now time.Time) {
	entry, found := h.Fleet.Entry(order.ReplicaID)
	if !found || !h.mayMessage(h.states[order.ReplicaID], now) {
		return
	}
	h.calling[order.ReplicaID] = nil
	h.lastOrder = now
	h.ordered.note(order.ReplicaID, now)
	h.send(ctx, entry, order, h.fence, h.applyAsked)
}

// applyAsked takes in the answer to an order that was given before; the mutex is held.
func (h *Leader) applyAsked(state *loading.Replica, order loading.Order, answer OrderResponse, err error, now time.Time) {
	if err == nil && (answer == Accepted || answer == Refused) {
		state.MarkUnfinished(now) // accepted says that it is being carried out
		return
	}
	h.apply(state, order, answer, err, now)
}

// due notes a moment at which the holder has to look again; the mutex is held.
func (h *Leader) due(at time.Time) {
	if h.next.IsZero() || at.Before(h.next) {
		h.next = at
	}
}

// check asks a replica for its report; the mutex is held.
func (h *Leader) check(ctx context.Context, id string, now time.Time) {
	entry, found := h.Fleet.Entry(id)
	if !found || !h.mayMessage(h.states[id], now) {
		return
	}
	h.calling[id] = nil
	h.polled[id] = now
	fence := h.fence
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := h.Replicas.Report(ctx, entry)
		h.heard(id, fence, report, err)
	}()
}

// heard takes in a replica's report.
func (h *Leader) heard(id string, fence int64, report loading.Report, err error) {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if fence != h.fence {
		return
	}
	delete(h.calling, id)
	state := h.states[id]
	if state == nil {
		return
	}
	if err != nil {
		if state.Verified {
			h.polled[id] = now.Add(pollPause) // ask less often where nothing answers
		} else {
			state.MarkUnreachable(now)
		}
		return
	}
	changed := state.ApplyReport(report, now)
	h.fetches.Update(state, now)
	if changed {
		h.touch(id)
		h.Log.WithFields(logrus.Fields{logging.Replica: id, logging.Sequence: report.Sequence, logging.Model: slices.Sorted(maps.Keys(report.Holdings)),
			logging.Busy: report.Busy, logging.Fence: fence}).Info(logging.MessageReplicaHeard)
	}
	h.Wake()
}

func sortedIDs(states map[string]*loading.Replica) []string { return slices.Sorted(maps.Keys(states)) }
