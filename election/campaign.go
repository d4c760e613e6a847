package election

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rendezvous"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	staggerSteps = 8
	staggerStep  = 20 * time.Millisecond
)

// noHistoryDelay is the extra delay of a daemon that does not know when a leader was last active.
const noHistoryDelay = 300 * time.Millisecond

const (
	// minCampaignCallTimeout bounds a call of a campaign, because a lost response must not delay
	// the term. The timeout doubles with each failed campaign, in case the store is slow.
	minCampaignCallTimeout = 400 * time.Millisecond
	maxCampaignCallTimeout = 1600 * time.Millisecond
)

func (e *Election) waitOrWake(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
	}
}

// stagger returns a delay by which the daemons' campaigns are spread.
func (e *Election) stagger() time.Duration {
	return time.Duration(rendezvous.Score(e.Key, e.Daemon)%staggerSteps) * staggerStep
}

// historyDelay returns a delay that lets daemons that know when the last leader was active campaign
// first.
func (e *Election) historyDelay() time.Duration {
	if e.HasLeaderHistory == nil || e.HasLeaderHistory() {
		return 0
	}
	return noHistoryDelay
}

func (e *Election) campaignDelay() time.Duration {
	if e.CampaignDelay == nil {
		return 0
	}
	return e.CampaignDelay()
}

// campaign tries to take the term.
func (e *Election) campaign(ctx context.Context) {
	if target, _, _ := e.campaignTarget(); !target.way.isOwn() && !sleep.For(ctx, e.campaignDelay()+e.stagger()+e.historyDelay()) {
		return
	}
	campaignTarget, _, open := e.campaignTarget()
	if !open {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.TTL)
	defer cancel()
	store := kv.TimeoutStore{LeaseStore: e.store, Timeout: e.campaignCallTimeout()}
	sent := e.now()
	lease, err := store.GrantLease(ctx, e.TTL)
	if err != nil {
		e.recordCampaignFailure(err)
		return
	}
	if lease.Era != campaignTarget.era {
		// The write could replace nothing although another daemon led until the restore.
		e.mutex.Lock()
		e.dropTargets(campaignTarget.era) // until the next observed change
		e.mutex.Unlock()
		e.recordCampaignFailure(kv.ErrRestored)
		e.revokeLease(ctx, lease)
		return
	}
	term := Leader{Daemon: e.Daemon, Address: e.Address, Nonce: uuid.NewString(), Era: &lease.Era, OrderValidityMs: e.OrderValidity.Milliseconds()}
	result, err := kv.CommitResolved(ctx, store, e.replaceTxn(campaignTarget.replaces, term, lease))
	if err == nil && result.Succeeded && kv.EraOf(result.Revision) != lease.Era {
		// The condition may have matched a different record that got the same revision after the
		// restore.
		err = kv.ErrRestored
	}
	if err == nil && !result.Succeeded {
		e.mutex.Lock()
		e.openTerm, e.reclaimable, e.offer = nil, nil, Leader{} // until the next observed change
		e.mutex.Unlock()
	}
	if err != nil {
		e.recordCampaignFailure(err)
	}
	if err != nil || !result.Succeeded {
		// If the write takes effect later, the record ends with the lease.
		e.revokeLease(ctx, lease)
		return
	}
	term.Fence, e.failedCampaigns = result.Revision, 0
	e.beginTerm(term, lease, sent, campaignTarget)
}

// replaceTxn returns the transaction that replaces the record at a revision (zero: none) by
// another.
func (e *Election) replaceTxn(revision int64, record Leader, lease kv.LeaseID) kv.Txn {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // cannot fail for these types
	}
	return kv.Txn{Conditions: []kv.Condition{{Key: e.Key, ModRevision: revision}}, Puts: []kv.Put{{Key: e.Key, Value: value, Lease: lease}}}
}

// recordCampaignFailure counts and logs a campaign whose call to the store failed.
func (e *Election) recordCampaignFailure(cause error) {
	e.failedCampaigns++
	e.log.WithField(logging.Cause, cause.Error()).Info("campaign for the term failed")
}

// revokeLease revokes a lease that is no longer needed.
func (e *Election) revokeLease(ctx context.Context, lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.WithField(logging.Cause, err.Error()).Info("cannot revoke a lease; it will expire")
	}
}

// campaignCallTimeout returns the timeout of the next campaign's calls.
func (e *Election) campaignCallTimeout() time.Duration {
	return min(maxCampaignCallTimeout, minCampaignCallTimeout<<min(e.failedCampaigns, 4))
}

// campaignTarget describes the term that a campaign tries to take.
type campaignTarget struct {
	way        Way
	era        int64        // of the store, in which the term was open
	replaces   int64        // revision of the record to be replaced; zero: none
	fence      int64        // see openTerm
	nonce      string       // see openTerm
	recordedBy time.Time    // see openTerm
	inherited  *Inheritance // nil unless the previous leader handed the term over
	opensAt    time.Time    // when the term may be taken at the earliest; zero: at once
	// previousActive is when the leader of the term before was last active, at the latest; zero if its lease has expired.
	previousActive time.Time
}

// openTerm is a term that a daemon may take.
type openTerm struct {
	way      Way
	era      int64     // of the store, in which the term is open
	replaces int64     // revision of the record to be replaced; zero: none
	opensAt  time.Time // when the term may be taken at the earliest; zero: at once
	closesAt time.Time // when the term can no longer be reclaimed; zero: no limit
	// lastActive is when this daemon was last active in its earlier term, at the latest; zero unless the term is
	// reclaimable.
	lastActive time.Time
	// fence is the fencing token of this process's term that a restore ended.
	fence int64
	// nonce is that of this daemon's record that is in effect, and recordedBy when it had been written at the latest.
	nonce      string
	recordedBy time.Time
}

// campaignTarget returns the term that a campaign may take if open is set, and otherwise when to
// check again.
func (e *Election) campaignTarget() (target campaignTarget, retryIn time.Duration, open bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.reclaimable != nil && (e.reclaimable.closesAt.IsZero() || e.now().Before(e.reclaimable.closesAt)):
		return campaignTarget{way: e.reclaimable.way, era: e.reclaimable.era, replaces: e.reclaimable.replaces, fence: e.reclaimable.fence, nonce: e.reclaimable.nonce, recordedBy: e.reclaimable.recordedBy, previousActive: e.reclaimable.lastActive}, 0, true
	case e.offer.Fence > 0:
		return campaignTarget{way: HandedOver, era: kv.EraOf(e.offer.Fence), replaces: e.offer.Fence, inherited: e.offer.Handover.inheritance(e.offeredAt), previousActive: e.offeredAt}, 0, true
	case e.openTerm == nil:
		return campaignTarget{}, e.TTL, false
	}
	retryIn = max(0, e.openTerm.opensAt.Sub(e.now()))
	return campaignTarget{era: e.openTerm.era, replaces: e.openTerm.replaces, opensAt: e.openTerm.opensAt}, retryIn, retryIn == 0
}

// beginTerm records the term that this daemon has taken, and calls the listeners, unless the store was
// restored since.
func (e *Election) beginTerm(term Leader, lease kv.LeaseID, sent time.Time, target campaignTarget) {
	e.mutex.Lock()
	if isRestored(term.Fence, kv.MakeRevision(e.era, 0)) {
		e.mutex.Unlock()
		e.recordCampaignFailure(kv.ErrRestored) // the record is gone, and its absence was observed already
		return
	}
	e.beginning = e.beginningOf(term, target)
	e.othersUntil, e.previousActive = target.opensAt, target.previousActive
	e.rememberRecord(term)
	e.term, e.lease, e.renewedAt, e.renewalFailedAt, e.current = term, lease, sent, time.Time{}, term
	e.openTerm, e.reclaimable, e.offer = nil, nil, Leader{}
	e.mutex.Unlock()
	e.log.WithFields(logrus.Fields{logging.Leader: e.Daemon, logging.Fence: term.Fence, logging.Reclaimed: target.way.isOwn(), logging.HandedOver: target.inherited != nil, logging.Began: target.way.String()}).
		Info(logging.MessageTermStarted)
	for _, listener := range e.listeners {
		listener(term)
	}
}
