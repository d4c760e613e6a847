package loading

import (
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// Report is a replica's report of its own state, which may lag behind its responses to orders.
type Report struct {
	// RequestedAt is when this daemon asked for the report, which may take long to arrive; zero: when it is applied.
	RequestedAt     time.Time
	Born            int64 // start time in Unix ms; zero if not given
	Sequence        int64
	Busy            bool // a model is being loaded or unloaded
	Holdings        fleet.Holdings
	LoadingAdapters []fleet.Target // adapters being loaded
	InMemory        []string
	OnDisk          []string
}

const (
	// unconfirmedOrderTTL is how long after its acceptance a report must be requested to show that an order has ended which
	// the report does not reflect.
	unconfirmedOrderTTL = 600 * time.Millisecond
	// refusalBackoff defers orders after a refusal.
	refusalBackoff = 150 * time.Millisecond
)

// MarkAccepted records that the replica accepted an order.
func (r *Replica) MarkAccepted(order Order, now time.Time) {
	r.completeUnloads(now)
	r.Sequence = order.Sequence + 1
	r.Pending = slices.DeleteFunc(r.Pending, func(pending Pending) bool { return pending.sameAs(order) })
	r.Pending = append(r.Pending, Pending{Order: order, Since: now})
	r.reserveRoom(order, now)
}

// WithPendingCall returns a copy of the replica's state for the time of a call: the order counts as pending,
// and no other order can be given.
func (r *Replica) WithPendingCall(order *Order, now, blockedUntil time.Time) *Replica {
	clone := *r
	clone.BlockedUntil = blockedUntil
	if order != nil {
		clone.Pending = append(slices.Clone(r.Pending), Pending{Order: *order, Since: now})
	}
	return &clone
}

// ResumeOrders takes over the pending orders of the replica's state in an earlier term of the same leader.
func (r *Replica) ResumeOrders(earlier *Replica) {
	r.Pending, r.Sequence = earlier.Pending, earlier.Sequence
}

// reserveRoom records a reservation of memory by an unload, or its use by a load.
func (r *Replica) reserveRoom(order Order, now time.Time) {
	if order.RoomFor != "" {
		r.ReservedFor, r.ReservedUntil = order.RoomFor, now.Add(roomReservationTime)
	} else if order.Verb == Load && order.Target.Model == r.ReservedFor {
		r.ReservedFor = ""
	}
}

// roomReservationTime is how long freed memory stays reserved for a model.
const roomReservationTime = 3 * time.Second

// MarkDone applies the response Done to an order: the target of a load is loaded, or an adapter was unloaded at
// once.
func (r *Replica) MarkDone(order Order, now time.Time) {
	if order.Verb == Unload {
		r.Sequence = order.Sequence + 1
	}
	if order.ForModel() {
		r.completeUnloads(now)
		r.CompleteOrder(order, now)
		return
	}
	r.applyOrder(order)
}

// MarkUnverified records that the replica refused an order or did not respond; a report is needed before the
// next order.
func (r *Replica) MarkUnverified(now time.Time) {
	r.Verified, r.Assumed = false, false
	r.BlockedUntil = now.Add(refusalBackoff)
}

// MarkUnreachable records that nothing listens at the replica's address, or that another replica does. The
// registry is expected to change accordingly.
func (r *Replica) MarkUnreachable(now time.Time) {
	r.Verified, r.Assumed = false, false
	r.BlockedUntil = now.Add(unreachableBackoff)
}

// unreachableBackoff defers orders and reports after a replica was unreachable.
const unreachableBackoff = 1500 * time.Millisecond

// MarkRestarted records that the replica has restarted under the same ID. Nothing is loaded, it has taken no
// order, and a report is needed before the next order.
func (r *Replica) MarkRestarted(startedUnixMs int64) {
	if r.Born != 0 {
		r.Verified, r.Assumed = false, false
		r.Sequence, r.Holdings, r.Pending, r.InMemory = 0, nil, nil, nil
		r.ReservedFor, r.LoadedAt, r.ReportDueAt, r.BusySince = "", nil, time.Time{}, time.Time{}
	}
	r.Born = startedUnixMs
}

// ApplyReport applies a replica's report and returns whether the known state changed.
func (r *Replica) ApplyReport(report Report, now time.Time) bool {
	switch {
	case report.Born != 0 && report.Born < r.Born:
		return false // from an earlier incarnation
	case report.Born > r.Born:
		r.MarkRestarted(report.Born)
	case report.Sequence < r.Sequence && r.Verified:
		return false // from before the last order
	}
	if r.predatesResponses(report, now) {
		return false
	}
	r.ReportDueAt, r.Assumed = time.Time{}, false
	changed := report.Sequence != r.Sequence || !r.Verified
	changed = changed || !slices.Equal(r.InMemory, report.InMemory) || !slices.Equal(r.OnDisk, report.OnDisk)
	r.InMemory, r.OnDisk = report.InMemory, report.OnDisk
	if report.Sequence != r.Sequence {
		// The replica took orders from others, or an order of this leader late. Adapters that load count until a
		// report shows them, since it may not name them before.
		r.Pending = slices.DeleteFunc(r.Pending, func(pending Pending) bool { return pending.ForModel() || pending.Verb != Load })
	}
	changed = r.replaceHoldings(report.Holdings, now) || changed
	r.Sequence = report.Sequence
	before := len(r.Pending)
	r.Pending = slices.DeleteFunc(r.Pending, func(order Pending) bool { return r.orderEnded(order, report, now) })
	// While the replica carries out an order that this leader does not know, give it no order.
	r.Verified = !report.Busy || r.busy()
	if r.Verified {
		r.BusySince = time.Time{}
	} else if r.BusySince.IsZero() {
		r.BusySince = now
	}
	for _, adapter := range report.LoadingAdapters {
		if r.pending(adapter) == nil {
			r.Pending = append(r.Pending, Pending{Order: Order{ReplicaID: r.ID, Verb: Load, Target: adapter, ExpectedDuration: adapterLoadTime}, Since: now})
		}
	}
	return changed || before != len(r.Pending)
}

// replaceHoldings replaces the holdings, records when models appeared, and returns whether the holdings changed.
func (r *Replica) replaceHoldings(holdings fleet.Holdings, now time.Time) bool {
	if r.LoadedAt == nil {
		r.LoadedAt = map[string]time.Time{}
	}
	for model := range holdings {
		if _, held := r.Holdings[model]; !held && r.Verified {
			r.LoadedAt[model] = now
		}
	}
	for model := range r.LoadedAt {
		if _, held := holdings[model]; !held {
			delete(r.LoadedAt, model)
		}
	}
	changed := !maps.EqualFunc(r.Holdings, holdings, slices.Equal[[]string])
	r.Holdings = holdings
	return changed
}

// orderEnded reports whether, according to a report, an order is no longer pending.
func (r *Replica) orderEnded(order Pending, report Report, now time.Time) bool {
	done := report.Holdings.Has(order.Target) == (order.Verb == Load)
	if !report.RequestedAt.IsZero() {
		now = report.RequestedAt
	}
	confirmable := now.Sub(order.Since) > unconfirmedOrderTTL
	switch {
	case order.ForModel():
		return !report.Busy && (done || confirmable)
	case done:
		return true
	}
	return !slices.Contains(report.LoadingAdapters, order.Target) && confirmable
}

// applyOrder changes the holdings as a finished order does.
func (r *Replica) applyOrder(order Order) {
	holdings := maps.Clone(r.Holdings)
	if holdings == nil {
		holdings = fleet.Holdings{}
	}
	model, adapter := order.Target.Model, order.Target.Adapter
	switch {
	case order.Verb == Load && adapter == "":
		holdings[model] = slices.Clone(holdings[model])
	case order.Verb == Load && !holdings.Has(order.Target):
		holdings[model] = append(slices.Clone(holdings[model]), adapter)
	case order.Verb == Unload && adapter == "":
		delete(holdings, model)
	case order.Verb == Unload:
		if adapters, held := holdings[model]; held {
			holdings[model] = slices.DeleteFunc(slices.Clone(adapters), func(name string) bool { return name == adapter })
		}
	}
	r.Holdings = holdings
}

// NextCheck returns when to check on the replica next, by a probe or a report; zero: not needed.
func (r *Replica) NextCheck(now time.Time) time.Time {
	if r.Assumed {
		return time.Time{}
	}
	if !r.Verified {
		return r.BlockedUntil
	}
	next := r.ReportDueAt
	for _, order := range r.Pending {
		at := order.ReadyAt()
		switch {
		case !order.ForModel():
		case order.Verb == Load && order.Probes < maxProbes:
			at = order.probeAt()
		case order.Verb == Unload && order.Probes == 0:
			at = at.Add(unloadReportDelay) // the response to the next order may show it earlier
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// StoreWindow bounds the loads from the weight store, over all replicas, that start within a sliding window.
type StoreWindow struct {
	Length time.Duration
	Max    int
	starts []time.Time
}

// Allowed returns how many loads may start now.
func (w *StoreWindow) Allowed(now time.Time) int {
	w.starts = slices.DeleteFunc(w.starts, func(start time.Time) bool { return now.Sub(start) > w.Length })
	return max(0, w.Max-len(w.starts))
}

// RecordStart counts a load that starts now.
func (w *StoreWindow) RecordStart(now time.Time) { w.starts = append(w.starts, now) }
