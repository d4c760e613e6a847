package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/election"
)

// recentOrders remembers when each replica was last given an order, by this daemon or by
// the holders before it, so that the next holder keeps its distance from each replica's
// last order and need not wait for all of them.
type recentOrders struct {
	own       map[string]time.Time
	inherited map[string]time.Time // of the holders before, as handed over
}

// note takes in that this daemon gave a replica an order.
func (r *recentOrders) note(replica string, at time.Time) {
	if r.own == nil {
		r.own = map[string]time.Time{}
	}
	r.own[replica] = at
}

// forget drops a replica that is gone.
func (r *recentOrders) forget(replica string) {
	delete(r.own, replica)
	delete(r.inherited, replica)
}

// heldUntil returns until when a replica gets no order of this daemon, since one of the
// holders before it gave one; zero if none did lately.
func (r *recentOrders) heldUntil(replica string, gap time.Duration) time.Time {
	if last, known := r.inherited[replica]; known {
		return last.Add(gap)
	}
	return time.Time{}
}

// ages returns how long ago, in ms, each replica got an order of any holder, for orders
// younger than oldest. One that may still be on its way counts as given now.
func (r *recentOrders) ages(now time.Time, oldest time.Duration) map[string]int64 {
	ages := map[string]int64{}
	note := func(replica string, age time.Duration) {
		if before, known := ages[replica]; age < oldest && (!known || age.Milliseconds() < before) {
			ages[replica] = max(0, age.Milliseconds())
		}
	}
	for replica, at := range r.inherited {
		note(replica, now.Sub(at))
	}
	for replica, at := range r.own {
		age := now.Sub(at)
		if age < orderTimeout {
			age = 0
		}
		note(replica, age)
	}
	return ages
}

// Handover returns what the next holder must know of this daemon's orders. It is asked once
// this daemon's term is given up, so that no order follows.
func (h *Leader) Handover() election.Handover {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return election.Handover{
		LastOrderMs: h.ordered.ages(now, h.Limits.TermGap),
		WaitMs:      max(0, h.begins.Sub(now).Milliseconds()),
	}
}
