package loading

import (
	"slices"
	"time"
)

const (
	// probeInterval is the time between two probes of an overdue load.
	probeInterval = 50 * time.Millisecond
	// maxProbes is the number of probes after which the replica's report is fetched instead.
	maxProbes = 4
	// unloadReportDelay is the time from when an unload is due until the replica's report is fetched, unless
	// the response to another order shows earlier that the unload has ended.
	unloadReportDelay = 100 * time.Millisecond
	// reportDelay is how long a replica's report may lag behind its responses.
	reportDelay = 600 * time.Millisecond
)

// reasonProbe is the logged reason of probes.
const reasonProbe = "probe whether the load has ended"

// ProbeOrder returns an order that probes whether a model load has ended. It repeats the order of the load:
// the replica responds that the model is loaded, or that it is busy.
func (r *Replica) ProbeOrder(now time.Time) (Order, bool) {
	if !r.Verified || now.Before(r.TermGapUntil) {
		return Order{}, false
	}
	for _, order := range r.Pending {
		if order.Verb == Load && order.ForModel() && order.Probes < maxProbes && !now.Before(order.probeAt()) {
			probe := order.Order
			probe.Sequence, probe.Reason = r.Sequence, reasonProbe
			return probe, true
		}
	}
	return Order{}, false
}

// probeAt returns when the next probe of the order is due.
func (o Pending) probeAt() time.Time {
	return o.ReadyAt().Add(time.Duration(o.Probes) * probeInterval)
}

// CompleteOrder applies the response that a pending order has ended.
func (r *Replica) CompleteOrder(order Order, now time.Time) {
	r.Pending = slices.DeleteFunc(r.Pending, func(pending Pending) bool { return pending.sameAs(order) })
	r.applyOrder(order)
	r.ReportDueAt = now.Add(reportDelay)
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

// MarkUnfinished applies the response that a model is still being loaded or unloaded.
func (r *Replica) MarkUnfinished(now time.Time) {
	for index := range r.Pending {
		if order := &r.Pending[index]; order.ForModel() && !now.Before(order.ReadyAt()) {
			if order.Probes++; order.Probes >= maxProbes {
				r.Verified = false // only a report can show the state of the order
			}
		}
	}
}

// HasOverdueOrder reports whether an order for a model is pending that should have ended.
func (r *Replica) HasOverdueOrder(now time.Time) bool {
	return slices.ContainsFunc(r.Pending, func(order Pending) bool {
		return order.ForModel() && !now.Before(order.ReadyAt())
	})
}

// completeUnloads completes overdue unloads. A replica accepts an order for a model only if no other one is
// pending.
func (r *Replica) completeUnloads(now time.Time) {
	for _, order := range slices.Clone(r.Pending) {
		if order.isOverdueUnload(now) {
			r.CompleteOrder(order.Order, now)
		}
	}
}

// predatesResponses reports whether a report lacks a model that the replica has loaded according to a recent
// response.
func (r *Replica) predatesResponses(report Report, now time.Time) bool {
	if r.ReportDueAt.IsZero() || now.After(r.ReportDueAt.Add(reportDelay)) {
		return false
	}
	for model := range r.Holdings {
		if _, held := report.Holdings[model]; !held && now.Sub(r.LoadedAt[model]) < 2*reportDelay {
			return true
		}
	}
	return false
}
