package loader

import (
	"maps"
	"time"

	"github.com/finchspoke/finchspoke/election"
)

// recentOrders records by when each replica had received the last order of this daemon or of earlier leaders, by the clock
// of time.Now. With it, the next leader keeps the term gap for each replica instead of for all of them.
type recentOrders struct {
	own       map[string]time.Time
	inherited map[string]time.Time // from earlier leaders, as handed over
}

// record sets by when a replica will have received this daemon's last order, and drops orders that are too old to matter.
// Replicas that are no longer listed stay until then: they may be listed again.
func (r *recentOrders) record(replica string, by, now time.Time, termGap time.Duration) {
	if r.own == nil {
		r.own = map[string]time.Time{}
	}
	r.own[replica] = later(r.own[replica], by)
	isOld := func(_ string, by time.Time) bool { return now.Sub(by) >= termGap }
	maps.DeleteFunc(r.own, isOld)
	maps.DeleteFunc(r.inherited, isOld)
}

// termGapUntil returns the time until which this daemon must not give a replica orders because an earlier
// leader gave it one; zero if no earlier leader did.
func (r *recentOrders) termGapUntil(replica string, termGap time.Duration) time.Time {
	if last, known := r.inherited[replica]; known {
		return last.Add(termGap)
	}
	return time.Time{}
}

// ages returns the milliseconds since each replica's last order by any leader, for orders younger than
// maxAge. The age of an order that may still be in flight is negative.
func (r *recentOrders) ages(now time.Time, maxAge time.Duration) map[string]int64 {
	ages := map[string]int64{}
	for _, orders := range []map[string]time.Time{r.inherited, r.own} {
		for replica, by := range orders {
			age := now.Sub(by)
			if previous, known := ages[replica]; age < maxAge && (!known || age.Milliseconds() < previous) {
				ages[replica] = age.Milliseconds()
			}
		}
	}
	return ages
}

// inherit records the orders that an earlier leader handed over, whose times are by the clock of the election. Leaders that
// state no validity of their orders count those in flight as received.
func (l *Leader) inherit(beginning election.Beginning) {
	steadyNow, now, inFlight := time.Now(), l.now(), time.Duration(0)
	if beginning.UnboundedValidity {
		inFlight = orderTimeout
	}
	l.orderTimes.inherited = map[string]time.Time{}
	for replica, at := range beginning.Inherited.LastOrders {
		l.orderTimes.inherited[replica] = steadyNow.Add(at.Sub(now) + inFlight)
	}
}

// termGap returns the least time by this daemon's clock between the orders of another leader to a replica and its own.
func (l Limits) termGap() time.Duration { return withDrift(l.TermGap) }

// Handover returns the times of this daemon's orders for the next leader. The election calls it once this
// daemon has given up the term, so that no order follows.
func (l *Leader) Handover() election.Handover {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if fence := l.Election.Beginning().Fence; fence != l.succession.fence {
		l.beginTerm(fence, now) // no round has run in this term, and it takes over what the next leader must wait for
	}
	followed, unfollowed := l.succession.remainingForNext(l.now())
	if ownOrdersBy := l.succession.ownOrdersBy; !ownOrdersBy.IsZero() {
		// Which replicas the earlier process gave orders is forgotten.
		followed = max(followed, ownOrdersBy.Add(l.Limits.termGap()).Sub(l.now()))
	}
	handover := election.Handover{LastOrderMs: l.orderTimes.ages(now, l.Limits.termGap()), WaitMs: followed.Milliseconds()}
	if unfollowed > followed {
		handover.UnfollowedWaitMs = unfollowed.Milliseconds()
	}
	return handover
}
