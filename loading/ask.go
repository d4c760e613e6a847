package loading

import (
	"slices"
	"time"
)

const (
	// askAgain is the time between two questions whether a load has ended.
	askAgain = 50 * time.Millisecond
	// mostAsked is how often a replica is asked before its reports are read instead.
	mostAsked = 4
	// triedWithin is how long after an unload should have ended its replica's report is
	// read, where no next order told.
	triedWithin = 100 * time.Millisecond
	// readAfter is how long after an answer the report tells of it, and of the copies of
	// weights that are kept.
	readAfter = 600 * time.Millisecond
)

// reasonAsked is the reason of an order that is given again.
const reasonAsked = "whether it has ended"

// Question returns the order to be given again to learn at once, not from a later report,
// that the load of a model has ended: the replica answers that it holds the model, or
// that it is busy.
func (r *Replica) ProbeOrder(now time.Time) (Order, bool) {
	if !r.Verified || now.Before(r.TermGapUntil) {
		return Order{}, false
	}
	for _, order := range r.Pending {
		if order.Verb == Load && order.ForModel() && order.Probes < mostAsked && !now.Before(order.askAt()) {
			asked := order.Order
			asked.Sequence, asked.Reason = r.Sequence, reasonAsked
			return asked, true
		}
	}
	return Order{}, false
}

// askAt is when the replica should be asked whether the order has ended.
func (u Pending) askAt() time.Time {
	return u.ReadyAt().Add(time.Duration(u.Probes) * askAgain)
}

// Ended takes in the replica's answer that an order under way has ended.
func (r *Replica) CompleteOrder(order Order, now time.Time) {
	r.Pending = slices.DeleteFunc(r.Pending, func(one Pending) bool { return one.is(order) })
	r.apply(order)
	r.ReportDueAt = now.Add(readAfter)
	if order.Verb == Load && order.ForModel() {
		if r.LoadedAt == nil {
			r.LoadedAt = map[string]time.Time{}
		}
		r.LoadedAt[order.Target.Model] = now
		r.OnDisk = withName(r.OnDisk, order.Target.Model)
	}
}

func withName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

// MarkUnfinished takes in the replica's answer that a model is still being loaded or unloaded.
func (r *Replica) MarkUnfinished(now time.Time) {
	for index := range r.Pending {
		if order := &r.Pending[index]; order.ForModel() && !now.Before(order.ReadyAt()) {
			if order.Probes++; order.Probes >= mostAsked {
				r.Verified = false // only its report tells, whatever it says
			}
		}
	}
}

// Awaits tells whether the replica has an order for a model under way that should have
// ended.
func (r *Replica) HasOverdueOrder(now time.Time) bool {
	return slices.ContainsFunc(r.Pending, func(order Pending) bool {
		return order.ForModel() && !now.Before(order.ReadyAt())
	})
}

// endUnloads takes in that unloads have ended, since the replica accepts an order for a
// model only when none is under way.
func (r *Replica) endUnloads(now time.Time) {
	for _, order := range slices.Clone(r.Pending) {
		if order.unloaded(now) {
			r.CompleteOrder(order.Order, now)
		}
	}
}

// olderThanAnswers tells whether a report lacks a model of which the replica has said
// since that it holds it.
func (r *Replica) olderThanAnswers(report Report, now time.Time) bool {
	if r.ReportDueAt.IsZero() || now.After(r.ReportDueAt.Add(readAfter)) {
		return false
	}
	for model := range r.Holdings {
		if _, held := report.Holdings[model]; !held && now.Sub(r.LoadedAt[model]) < 2*readAfter {
			return true
		}
	}
	return false
}
