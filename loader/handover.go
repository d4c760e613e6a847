package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/election"
)

// recentOrders records when each replica last received an order from this daemon or from earlier leaders.
// With it, the next leader keeps the term gap for each replica instead of for all of them.
type recentOrders struct {
	own       map[string]time.Time
	inherited map[string]time.Time // from earlier leaders, as handed over
}

// record sets the time of this daemon's last order to a replica.
func (r *recentOrders) record(replica string, at time.Time) {
	if r.own == nil {
		r.own = map[string]time.Time{}
	}
	r.own[replica] = at
}

// forget drops a replica that was removed.
func (r *recentOrders) forget(replica string) {
	delete(r.own, replica)
	delete(r.inherited, replica)
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
// maxAge. An order that may still be in flight has age zero.
func (r *recentOrders) ages(now time.Time, maxAge time.Duration) map[string]int64 {
	ages := map[string]int64{}
	keepNewest := func(replica string, age time.Duration) {
		if previous, known := ages[replica]; age < maxAge && (!known || age.Milliseconds() < previous) {
			ages[replica] = max(0, age.Milliseconds())
		}
	}
	for replica, at := range r.inherited {
		keepNewest(replica, now.Sub(at))
	}
	for replica, at := range r.own {
		age := now.Sub(at)
		if age < orderTimeout {
			age = 0
		}
		keepNewest(replica, age)
	}
	return ages
}

// Handover returns the times of this daemon's orders for the next leader. The election calls it once this
// daemon has given up the term, so that no order follows.
func (l *Leader) Handover() election.Handover {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return election.Handover{
		LastOrderMs: l.orderTimes.ages(now, l.Limits.TermGap),
		WaitMs:      max(0, l.ordersFrom.Sub(now).Milliseconds()),
	}
}
