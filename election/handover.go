package election

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// Handover contains the times of earlier load orders, after which the next leader keeps a gap. They
// are in ms before or after the record was written.
type Handover struct {
	// LastOrderMs is how long ago each replica with a recent load order received its last one.
	LastOrderMs map[string]int64 `json:"last_order_ms,omitempty"`
	// WaitMs is how long the next leader must wait before it sends any load order.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// UnfollowedWaitMs is the same while most daemons do not follow the next leader. Zero: it makes no difference.
	UnfollowedWaitMs int64 `json:"unfollowed_wait_ms,omitempty"`
}

// Inheritance is a handover converted to the next leader's clock.
type Inheritance struct {
	LastOrders map[string]time.Time // by replica
	NotBefore  time.Time            // when the next leader may send load orders at the earliest
	// UnfollowedNotBefore is the same while most daemons do not follow the next leader; zero: it makes no difference.
	UnfollowedNotBefore time.Time
}

// inheritance converts the handover to times relative to when this daemon received its record, which
// is later than when it was written.
func (h *Handover) inheritance(receivedAt time.Time) *Inheritance {
	inherited := &Inheritance{LastOrders: make(map[string]time.Time, len(h.LastOrderMs)), NotBefore: receivedAt.Add(time.Duration(h.WaitMs) * time.Millisecond)}
	if h.UnfollowedWaitMs > 0 {
		inherited.UnfollowedNotBefore = receivedAt.Add(time.Duration(h.UnfollowedWaitMs) * time.Millisecond)
	}
	for replica, age := range h.LastOrderMs {
		inherited.LastOrders[replica] = receivedAt.Add(-time.Duration(age) * time.Millisecond)
	}
	return inherited
}

// Resign ends this daemon's term, if it has one, and its campaigns. It calls handover once this
// daemon sends no more load orders.
func (e *Election) Resign(ctx context.Context, handover func() Handover) {
	e.mutex.Lock()
	e.resigned = true
	e.mutex.Unlock()
	e.releaseTerm(ctx, handover)
}

// BeginHandover starts to hand over the term: Term reports none from now on, and the caller must
// call CompleteHandover. It returns false if there is no term to hand over.
func (e *Election) BeginHandover() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce == "" || e.resigned || e.handingOver {
		return false
	}
	e.handingOver = true
	return true
}

// CompleteHandover offers the term to other daemons. This daemon continues to campaign, after its
// own delay.
func (e *Election) CompleteHandover(ctx context.Context, handover func() Handover) {
	e.releaseTerm(ctx, handover)
	e.mutex.Lock()
	e.handingOver = false
	if e.term.Nonce != "" {
		e.endTerm("handed over")
	}
	e.mutex.Unlock()
	e.signal()
}

// releaseTerm offers the term to other daemons, or at least revokes its lease.
func (e *Election) releaseTerm(ctx context.Context, handover func() Handover) {
	defer e.signal()
	e.mutex.Lock()
	term, lease := e.term, e.lease
	e.mutex.Unlock()
	if lease == (kv.LeaseID{}) {
		return
	}
	err := e.writeHandover(ctx, term, lease, handover())
	if err == nil {
		e.notifyWritten()
		return
	}
	// Others rely on the lease as long as it was certain to be in effect (see ValidFor), and the next leader on its whole
	// TTL having passed since the last renewal.
	e.mutex.Lock()
	remaining := e.TTL - e.now().Sub(e.renewedAt)
	e.mutex.Unlock()
	sleep.For(context.WithoutCancel(ctx), remaining)
	// If the write is only delayed, it fails: without the lease there is no record to replace.
	e.log.WithFields(logrus.Fields{logging.Fence: term.Fence, logging.Cause: err.Error()}).Warn("cannot hand over the term; revoking its lease")
	e.revokeLease(ctx, lease)
}

func (e *Election) notifyWritten() {
	if e.OnWritten != nil {
		e.OnWritten()
	}
}

// writeHandover replaces the term's record by one that offers the term, under the same lease.
func (e *Election) writeHandover(ctx context.Context, term Leader, lease kv.LeaseID, handover Handover) error {
	term.Handover = &handover
	result, err := e.store.Commit(ctx, e.replaceTxn(term.Fence, term, lease))
	if err == nil && !result.Succeeded {
		err = errors.New("the record was replaced meanwhile")
	}
	return err
}
