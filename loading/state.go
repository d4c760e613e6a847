package loading

import (
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// Report is a replica's own word on itself, as it stood a moment earlier.
type Report struct {
	Born            int64 // Unix ms of its start; zero if it does not say
	Sequence        int64
	Busy            bool // a model is being loaded or unloaded
	Holdings        fleet.Holdings
	LoadingAdapters []fleet.Target // adapters on their way
	InMemory        []string
	OnDisk          []string
}

const (
	// settleTime is how long an order that left no trace in a report is believed to
	// be under way.
	settleTime = 600 * time.Millisecond
	// refusedPause keeps orders back after a replica refused one.
	refusedPause = 150 * time.Millisecond
)

// Took takes in that the replica accepted an order.
func (r *Replica) MarkAccepted(order Order, now time.Time) {
	r.endUnloads(now)
	r.Sequence = order.Sequence + 1
	r.Pending = slices.DeleteFunc(r.Pending, func(one Pending) bool { return one.is(order) })
	r.Pending = append(r.Pending, Pending{Order: order, Since: now})
	r.promise(order, now)
}

// WithPendingCall returns the replica as it may be once a call on its way has been
// answered: the order counts as under way, and no other can be given.
func (r *Replica) WithPendingCall(order *Order, now, blockedUntil time.Time) *Replica {
	calling := *r
	calling.BlockedUntil = blockedUntil
	if order != nil {
		calling.Pending = append(slices.Clone(r.Pending), Pending{Order: *order, Since: now})
	}
	return &calling
}

// promise notes for which model room is made, or that it was used.
func (r *Replica) promise(order Order, now time.Time) {
	if order.RoomFor != "" {
		r.ReservedFor, r.ReservedUntil = order.RoomFor, now.Add(promiseTime)
	} else if order.Verb == Load && order.Target.Model == r.ReservedFor {
		r.ReservedFor = ""
	}
}

// promiseTime is how long room that was made for a model is kept for it.
const promiseTime = 3 * time.Second

// Did takes in that the replica answered that an order needs nothing more: what is
// to be loaded is there, or an adapter was unloaded at once.
func (r *Replica) MarkDone(order Order, now time.Time) {
	if order.Verb == Unload {
		r.Sequence = order.Sequence + 1
	}
	if order.ForModel() {
		r.endUnloads(now)
		r.CompleteOrder(order, now)
		return
	}
	r.apply(order)
}

// Doubt takes in that an order was refused or got no answer, so that the replica's
// own word must be heard before the next.
func (r *Replica) MarkUnverified(now time.Time) {
	r.Verified, r.Assumed = false, false
	r.BlockedUntil = now.Add(refusedPause)
}

// Lost takes in that the address belongs to another replica, or that nothing listens
// there: the registry will say so.
func (r *Replica) MarkUnreachable(now time.Time) {
	r.Verified, r.Assumed = false, false
	r.BlockedUntil = now.Add(lostPause)
}

// lostPause keeps orders and questions back from a replica that is not there.
const lostPause = 1500 * time.Millisecond

// Restarted takes in that the replica has started again under its id, at a moment by its own clock: it is
// empty, knows no order, and its own word must be heard before the next.
func (r *Replica) MarkRestarted(born int64) {
	if r.Born != 0 {
		r.Verified, r.Assumed = false, false
		r.Sequence, r.Holdings, r.Pending, r.InMemory = 0, nil, nil, nil
		r.ReservedFor, r.LoadedAt, r.ReportDueAt = "", nil, time.Time{}
	}
	r.Born = born
}

// Hear takes in a replica's report and tells whether it changed what is known.
func (r *Replica) ApplyReport(report Report, now time.Time) bool {
	switch {
	case report.Born != 0 && report.Born < r.Born:
		return false // of an earlier incarnation
	case report.Born > r.Born:
		r.MarkRestarted(report.Born)
	case report.Sequence < r.Sequence && r.Verified:
		return false // from before the last order
	}
	if r.olderThanAnswers(report, now) {
		return false
	}
	r.ReportDueAt, r.Assumed = time.Time{}, false
	changed := report.Sequence != r.Sequence || !r.Verified
	changed = changed || !slices.Equal(r.InMemory, report.InMemory) || !slices.Equal(r.OnDisk, report.OnDisk)
	r.InMemory, r.OnDisk = report.InMemory, report.OnDisk
	if report.Sequence != r.Sequence {
		// Others gave orders, or one of ours was carried out late.
		r.Pending = nil
	}
	changed = r.adopt(report.Holdings, now) || changed
	r.Sequence = report.Sequence
	before := len(r.Pending)
	r.Pending = slices.DeleteFunc(r.Pending, func(order Pending) bool { return r.ended(order, report, now) })
	// A load that is not known is charged by giving no order until it has ended.
	r.Verified = !report.Busy || r.busy()
	for _, coming := range report.LoadingAdapters {
		if r.underWay(coming) == nil {
			r.Pending = append(r.Pending, Pending{Order: Order{ReplicaID: r.ID, Verb: Load, Target: coming, ExpectedDuration: adapterTime}, Since: now})
		}
	}
	return changed || before != len(r.Pending)
}

// adopt replaces the holdings and notes when models came.
func (r *Replica) adopt(holdings fleet.Holdings, now time.Time) bool {
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

// ended tells whether a report shows that an order is no longer under way.
func (r *Replica) ended(order Pending, report Report, now time.Time) bool {
	done := report.Holdings.Has(order.Target) == (order.Verb == Load)
	switch {
	case order.ForModel():
		return done && !report.Busy || !report.Busy && now.Sub(order.Since) > settleTime
	case done:
		return true
	}
	return !slices.Contains(report.LoadingAdapters, order.Target) && now.Sub(order.Since) > settleTime
}

// apply changes the holdings as an order that was carried out does.
func (r *Replica) apply(order Order) {
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
			holdings[model] = slices.DeleteFunc(slices.Clone(adapters), func(one string) bool { return one == adapter })
		}
	}
	r.Holdings = holdings
}

// NextCheck returns when the replica's report should be read next; zero: not needed.
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
		case order.Verb == Load && order.Probes < mostAsked:
			at = order.askAt()
		case order.Verb == Unload && order.Probes == 0:
			at = at.Add(triedWithin) // the next order tells
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// StoreWindow limits the loads from the weight store that begin within a window of
// time, over all replicas.
type StoreWindow struct {
	Length time.Duration
	Max    int
	starts []time.Time
}

// Allowed returns how many loads may begin now.
func (w *StoreWindow) Allowed(now time.Time) int {
	w.starts = slices.DeleteFunc(w.starts, func(start time.Time) bool { return now.Sub(start) > w.Length })
	return max(0, w.Max-len(w.starts))
}

// Began counts a load.
func (w *StoreWindow) RecordStart(now time.Time) { w.starts = append(w.starts, now) }
