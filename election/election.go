// Package election gives one daemon at a time a term as the leader, under a lease in the key-value
// service (the store). Each term has a higher fencing token than the one before. A lease that cannot
// be renewed is not lost at once: while the store is down for all daemons, no other daemon can take
// a term either. TermStatus describes how far the leader can rely on its term.
package election

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// Leader is the record of the daemon that holds the term.
type Leader struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"` // where other daemons reach it
	// Nonce distinguishes this write from all others, so that a write with a lost response can be
	// resolved.
	Nonce string `json:"nonce"`
	// Handover is set once the leader has given up the term and sends no more load orders: the next
	// leader may take it at once. Nil during the term.
	Handover *Handover `json:"handover,omitempty"`
	// Era is the store's era when the record was written; a record that a restore brought back has
	// an earlier one than its revision. Nil in records that earlier versions of this program wrote,
	// which never count as restored.
	Era *int64 `json:"era,omitempty"`
	// OrderValidityMs is how long after it sent a renewal of its lease the leader may send load orders under it. Zero in
	// records of leaders that do not bound this.
	OrderValidityMs int64 `json:"order_validity_ms,omitempty"`
	// Fence is the revision of the record, which is not part of its value. It serves as the fencing
	// token, by which replicas recognize the load orders of earlier leaders.
	Fence int64 `json:"-"`
}

// fromBackup reports whether a restore of the store brought the record back: other daemons may have
// held the term since it was written.
func (l Leader) fromBackup() bool { return l.Era != nil && *l.Era < kv.EraOf(l.Fence) }

// writtenInEra reports whether the record was written in an era of the store.
func (l Leader) writtenInEra(era int64) bool { return l.Era != nil && *l.Era == era }

// ParseLeader decodes a leader record. It rejects one that no daemon can have written.
func ParseLeader(pair kv.Pair) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(pair.Value, &leader); err != nil {
		return Leader{}, errors.Wrap(err, "decode the leader record")
	}
	if leader.Daemon == "" {
		return Leader{}, errors.New("the leader record names no daemon")
	}
	leader.Fence = pair.ModRevision
	return leader, nil
}

// TermStatus describes how far a daemon can rely on its term.
type TermStatus uint8

// Values of TermStatus.
const (
	// NoTerm means that the daemon holds no term.
	NoTerm TermStatus = iota
	// TermUncertain means that the lease may have expired: it was not renewed in time, and the
	// store was not called recently.
	TermUncertain
	// TermStoreUnreachable means that the lease was not renewed in time because the store does not
	// answer.
	TermStoreUnreachable
	// TermValid means that the lease is in effect.
	TermValid
)

// Config configures an election.
type Config struct {
	Key     string
	Daemon  string
	Address string
	TTL     time.Duration
	// RenewInterval is the time between renewals of the lease; zero: a third of the TTL.
	RenewInterval time.Duration
	// OrderValidity is stated in this daemon's records, see Leader.OrderValidityMs.
	OrderValidity time.Duration
	// SettledKey is the key of the record that MarkSettled writes and ReadSettled reads.
	SettledKey string
	// FirstStart is whether the system starts for the first time, so that there was no earlier leader.
	FirstStart bool
	// HasLeaderHistory reports whether this daemon knows when a leader was last active, which lets it
	// campaign earlier; nil: always.
	HasLeaderHistory func() bool
	// Followed reports whether most daemons follow this daemon's term. Then no other daemon leads, even if
	// the lease has expired during an outage of the store; nil: never.
	Followed func() bool
	// CampaignDelay returns how long this daemon waits before it campaigns, so that daemons on
	// stronger machines campaign first. Nil: none.
	CampaignDelay func() time.Duration
	// OnWritten, if set, is called after this daemon has written a handover to the record.
	OnWritten func()
	// Now is the clock of leases; nil: time.Now.
	Now func() time.Time
}

// Election campaigns for the term and renews it. It is a suture service.
type Election struct {
	Config
	store kv.LeaseStore
	log   logrus.FieldLogger
	now   func() time.Time

	mutex sync.Mutex
	// openTerm is the term that a campaign may take; nil while another daemon's record is in effect.
	openTerm *openTerm
	// reclaimable is the term that this daemon may take without waiting for a lease to expire: the
	// record of its own earlier process, or the state that a restore left of its own record. Nil:
	// none.
	reclaimable     *openTerm
	beginning       Beginning // of this daemon's term
	settledRevision int64     // of the record under SettledKey, as last read or written; zero: none
	// records are the records of the two latest terms that were observed, or were this daemon's own, the later one last.
	records []Leader
	// offer is a record whose leader has given up the term, and offeredAt when this daemon received
	// it. Its fence is zero if there is none.
	offer     Leader
	offeredAt time.Time
	// era is the latest era of the store that was observed, and opensAt when the term may be taken at
	// the earliest if the record is missing in it; zero: at once. See enterEra.
	era             int64
	startedAt       time.Time // of this process's election
	opensAt         time.Time
	observed        bool      // a record or its absence was observed
	othersUntil     time.Time // see UnknownLeaderUntil
	previousActive  time.Time // see PreviousLeaderActive
	current         Leader    // that the last observed record names
	term            Leader    // of this daemon; its nonce is empty without a term
	lease           kv.LeaseID
	renewedAt       time.Time // when the last successful renewal was sent
	renewalFailedAt time.Time // when the last failed renewal ended
	resigned        bool      // this daemon is stopping and campaigns no more
	handingOver     bool      // between BeginHandover and CompleteHandover
	wake            chan struct{}
	failedCampaigns int // since the last one that took the term; used by Serve only
	listeners       []func(Leader)
}

const (
	// renewalsPerTTL is the default number of renewals in the TTL of a lease.
	renewalsPerTTL = 3
	// validShare is the share of the lease's TTL for which a renewal keeps the term valid.
	validShare = 0.8
	// unreachableShare is the share of the lease's TTL for which a failed renewal counts as recent.
	unreachableShare = 0.5
	campaignInterval = 250 * time.Millisecond
	callTimeout      = 800 * time.Millisecond
)

// MaxRenewalDelay is how long after a renewal of a lease was sent the next one has ended, at the default interval.
const MaxRenewalDelay = 2 * time.Second

// New returns an election that has not observed any record yet.
func New(config Config, store kv.LeaseStore, log logrus.FieldLogger) *Election {
	now := config.Now
	if now == nil {
		now = time.Now
	}
	return &Election{Config: config, store: store, log: log, now: now, startedAt: now(), wake: make(chan struct{}, 1)}
}

// Subscribe registers a function that is called whenever the leader record changes, one call at a
// time; an empty Leader means that no daemon holds the term.
func (e *Election) Subscribe(listener func(Leader)) { e.listeners = append(e.listeners, listener) }

// Observe applies a change of the record that the mirror of the store's records has received.
func (e *Election) Observe(event kv.Event) {
	leader := Leader{}
	if !event.Deleted {
		parsed, err := ParseLeader(event.Pair)
		if err != nil {
			e.log.WithError(err).Warn("ignoring an invalid leader record")
			return
		}
		leader = parsed
	}
	followed := e.followed()
	e.mutex.Lock()
	if event.Pair.ModRevision < e.current.Fence {
		e.mutex.Unlock()
		return // older than the known record
	}
	leader = e.applyRecord(leader, event, followed)
	e.mutex.Unlock()
	e.log.WithFields(logrus.Fields{logging.Leader: leader.Daemon, logging.Fence: leader.Fence, logging.HandedOver: leader.Handover != nil}).
		Info(logging.MessageLeaderChanged)
	e.signal()
	for _, listener := range e.listeners {
		listener(leader)
	}
}

// reasonRestored is logged for a term whose record a restore removed.
const reasonRestored = "the key-value service was restored from a backup"

// applyRecord applies an observed record and returns the leader that it names; empty: none.
// Callers hold the mutex.
func (e *Election) applyRecord(leader Leader, event kv.Event, followed bool) Leader {
	e.enterEra(event.Pair.ModRevision)
	e.observed = true
	if leader.writtenInEra(e.era) {
		e.opensAt = time.Time{}
	}
	e.rememberRecord(leader)
	e.current, e.openTerm, e.reclaimable, e.offer = leader, nil, nil, Leader{}
	e.checkTerm(leader, event, followed)
	switch {
	case event.Deleted, leader.fromBackup():
		e.openTerm = &openTerm{era: e.era, replaces: leader.Fence, opensAt: e.opensAt}
	case leader.Handover != nil:
		e.offer, e.offeredAt = leader, e.now()
	case leader.Daemon == e.Daemon && leader.Address == e.Address && e.term.Nonce == "":
		// A machine at another address that has the name of a removed one waits like any other daemon.
		e.reclaimable = &openTerm{way: Restarted, era: e.era, replaces: leader.Fence, lastActive: e.startedAt, nonce: leader.Nonce, recordedBy: e.now()}
	}
	if leader.fromBackup() {
		e.current = Leader{Fence: leader.Fence}
	}
	return e.current
}

func (e *Election) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// endTerm ends this daemon's term. Callers hold the mutex.
func (e *Election) endTerm(reason string) {
	e.log.WithFields(logrus.Fields{logging.Fence: e.term.Fence, logging.Reason: reason}).Warn(logging.MessageTermLost)
	e.term, e.lease = Leader{}, kv.LeaseID{}
}

// Term returns the fencing token of this daemon's term and its status.
func (e *Election) Term() (fence int64, status TermStatus) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce == "" || e.resigned || e.handingOver {
		return 0, NoTerm
	}
	now := e.now()
	switch {
	case e.validFor() > 0:
		return e.term.Fence, TermValid
	case now.Sub(e.renewalFailedAt) < time.Duration(unreachableShare*float64(e.TTL)):
		return e.term.Fence, TermStoreUnreachable
	}
	return e.term.Fence, TermUncertain
}

// ValidFor returns for how long no other daemon can begin a term, unless this daemon hands its term over or starts
// again; zero without a valid term.
func (e *Election) ValidFor() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce == "" || e.resigned || e.handingOver {
		return 0
	}
	return max(0, e.validFor())
}

// validFor returns for how long the lease is certainly in effect. Callers hold the mutex.
func (e *Election) validFor() time.Duration {
	return time.Duration(validShare*float64(e.TTL)) - e.now().Sub(e.renewedAt)
}

// RenewedAt returns when the latest successful renewal of the term's lease was sent; zero without a term.
func (e *Election) RenewedAt() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce == "" {
		return time.Time{}
	}
	return e.renewedAt
}

// PreviousLeaderActive returns when the leader of the term before this daemon's was last active, at the latest, by this
// election's clock. It is set if that term was handed over or was this daemon's, so that its lease may not have expired;
// otherwise zero.
func (e *Election) PreviousLeaderActive() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.previousActive
}

// LeaderAddress returns the address of the known leader; empty: none.
func (e *Election) LeaderAddress() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current.Address
}

// StepDown ends the term because a higher fencing token was observed.
func (e *Election) StepDown(reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce != "" {
		e.endTerm(reason)
	}
}

// String names the service in the supervisor's events.
func (e *Election) String() string { return "election" }

// Serve implements suture.Service.
func (e *Election) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		e.mutex.Lock()
		holding, resigned := e.term.Nonce != "", e.resigned || e.handingOver
		e.mutex.Unlock()
		_, retryIn, open := e.campaignTarget()
		switch {
		case holding && !resigned:
			e.renew(ctx)
			e.waitOrWake(ctx, cmp.Or(e.RenewInterval, e.TTL/renewalsPerTTL))
		case open && !resigned:
			e.campaign(ctx)
			e.waitOrWake(ctx, campaignInterval)
		default:
			e.waitOrWake(ctx, cmp.Or(retryIn, e.TTL))
		}
	}
	return ctx.Err()
}

func (e *Election) renew(ctx context.Context) {
	e.mutex.Lock()
	lease := e.lease
	e.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.now()
	err := e.store.RenewLease(ctx, lease)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.lease != lease:
	case err == nil:
		e.renewedAt = sent
	case errors.Is(err, kv.ErrLeaseNotFound):
		e.endTerm("the lease has expired")
		e.openTerm = &openTerm{era: lease.Era}
	case errors.Is(err, kv.ErrRestored):
		// The mirror of records will pass the record to Observe, or its absence to ObserveAbsent.
		// Meanwhile, no other daemon takes the term within the lease's TTL.
	default:
		e.renewalFailedAt = e.now()
	}
}
