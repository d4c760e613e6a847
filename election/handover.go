package election

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// Handover is what the next holder must know to keep its distance from the orders of
// earlier ones. Times are in ms before, or after, the record was written.
type Handover struct {
	// LastOrderMs is how long ago each replica got its last order, for those that got one
	// lately.
	LastOrderMs map[string]int64 `json:"last_order_ms,omitempty"`
	// WaitMs is how long no replica may be given an order.
	WaitMs int64 `json:"wait_ms,omitempty"`
}

// Inheritance is a handover as the next holder counts it, by its own clock.
type Inheritance struct {
	LastOrders map[string]time.Time // by replica
	NotBefore  time.Time            // no order is given before
}

// inheritance counts the handover's times from when its record was heard of, which is later
// than when it was written.
func (h *Handover) inheritance(heard time.Time) *Inheritance {
	inherited := &Inheritance{LastOrders: make(map[string]time.Time, len(h.LastOrderMs)), NotBefore: heard.Add(time.Duration(h.WaitMs) * time.Millisecond)}
	for replica, age := range h.LastOrderMs {
		inherited.LastOrders[replica] = heard.Add(-time.Duration(age) * time.Millisecond)
	}
	return inherited
}

// Inherited returns what the holder before this daemon's term handed over; nil if the term
// was not handed over.
func (e *Election) Inherited() *Inheritance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.inherited
}

// Resign ends the term, if this daemon has it, and campaigns no more. handover is asked,
// once no order is given any more, for what the next holder must know.
func (e *Election) Resign(ctx context.Context, handover func() Handover) {
	e.mutex.Lock()
	e.resigned = true
	e.mutex.Unlock()
	e.giveUp(ctx, handover)
}

// Yielding begins to hand the term over to whoever campaigns first: Term tells of none from
// now on, and Yield has to follow. It returns false if there is no term to hand over.
func (e *Election) BeginHandover() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce == "" || e.resigned || e.yielding {
		return false
	}
	e.yielding = true
	return true
}

// Yield hands over the term. This daemon goes on to campaign for it, after its own delay.
func (e *Election) CompleteHandover(ctx context.Context, handover func() Handover) {
	e.giveUp(ctx, handover)
	e.mutex.Lock()
	e.yielding = false
	if e.term.Nonce != "" {
		e.loseTerm("handed over")
	}
	e.mutex.Unlock()
	e.signal()
}

// giveUp offers the term to others, or ends it at least.
func (e *Election) giveUp(ctx context.Context, handover func() Handover) {
	defer e.signal()
	e.mutex.Lock()
	term, lease := e.term, e.lease
	e.mutex.Unlock()
	if lease == (kv.LeaseID{}) {
		return
	}
	err := e.handOver(ctx, term, lease, handover())
	if err == nil {
		e.written()
		return
	}
	// A handover that comes late finds no record to replace once the lease is over.
	e.log.WithFields(logrus.Fields{logging.Fence: term.Fence, logging.Cause: err.Error()}).Warn("the term is not handed over; its lease is ended")
	e.endLease(ctx, lease)
}

func (e *Election) written() {
	if e.OnWritten != nil {
		e.OnWritten()
	}
}

// handOver replaces the term's record by one that offers the term, under the same lease.
func (e *Election) handOver(ctx context.Context, term Leader, lease kv.LeaseID, handover Handover) error {
	term.Handover = &handover
	result, err := e.store.Commit(ctx, e.replacing(term.Fence, term, lease))
	if err == nil && !result.Succeeded {
		err = errors.New("another record stands")
	}
	return err
}
