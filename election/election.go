// Package election gives one daemon at a time a term under a lease in the key-value
// service. The term's fence rises from each term to the next, so whoever is given
// orders can tell an earlier holder from a later one.
//
// A lease that cannot be renewed is not lost at once: while the service is down for
// all, nobody else can take a term either. What the holder may do meanwhile is for
// the holder to decide; Standing tells how sure the term is.
package election

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rendezvous"
	"github.com/finchspoke/finchspoke/sleep"
)

// Holder is the record of who holds the term.
type Leader struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"` // where daemons reach it
	// Nonce tells this write from every other, so that a lost answer can be settled.
	Nonce string `json:"nonce"`
	// Handover tells that the holder has given the term up and gives no more orders: the
	// next may take it at once. Nil while it holds the term.
	Handover *Handover `json:"handover,omitempty"`
	// Era is the service's when the record was written. A record that came back out of a copy names an
	// earlier one than its revision does. Nil in a record of an earlier version, which is taken as it stands.
	Era *int64 `json:"era,omitempty"`
	// Fence is the revision of the record; it is not part of the value.
	Fence int64 `json:"-"`
}

// cameBack tells whether a restore of the service brought the record back: since it was written, others
// may have held the term.
func (h Leader) cameBack() bool { return h.Era != nil && *h.Era < kv.EraOf(h.Fence) }

// ParseLeader reads a holder's record.
func ParseLeader(pair kv.Pair) (Leader, error) {
	var holder Leader
	if err := json.Unmarshal(pair.Value, &holder); err != nil {
		return Leader{}, errors.Wrap(err, "read the record of the order holder")
	}
	holder.Fence = pair.ModRevision
	return holder, nil
}

// Standing is how sure a daemon is of its term.
type TermStatus uint8

// The standings.
const (
	// None means that the daemon holds no term.
	NoTerm TermStatus = iota
	// Unsure means that the lease may be over: it was not renewed in time, and the
	// service was not asked lately.
	TermUncertain
	// Blind means that the lease was not renewed in time because the service does
	// not answer.
	TermStoreUnreachable
	// Sure means that the lease holds.
	TermValid
)

// Config is what an election needs.
type Config struct {
	Key     string
	Daemon  string
	Address string
	TTL     time.Duration
	// Informed tells whether this daemon knows when a holder was last at work; nil
	// if it makes no difference.
	HasLeaderHistory func() bool
	// Delay is how much later than others this daemon campaigns: one on a weak machine
	// leaves the term to those on strong ones. Nil: none.
	CampaignDelay func() time.Duration
	// Written is called after this daemon has written the record; nil: nothing is.
	OnWritten func()
	// Now is the clock of leases; nil: time.Now.
	Now func() time.Time
}

// Election campaigns for the term and keeps it. It is a suture service.
type Election struct {
	Config
	store kv.LeaseStore
	log   logrus.FieldLogger
	now   func() time.Time

	mutex sync.Mutex
	// vacancy is what a campaign may replace once the term is free; nil while another's record stands.
	vacancy *vacancy
	// own is what this daemon may take its term up again from, without waiting for a lease: the record of an
	// earlier process, which is gone, or what a restore left in place of its own. Nil if there is none.
	own       *vacancy
	reclaimed bool // the term before this one was this daemon's
	// offer is a record whose holder has given the term up, and offeredAt when it was heard
	// of. Its fence is zero if there is none.
	offer     Leader
	offeredAt time.Time
	inherited *Inheritance // of this daemon's term; nil if the term was not handed over
	current   Leader
	term      Leader // of this daemon; its nonce is empty without a term
	lease     kv.LeaseID
	renewed   time.Time // when the last renewal that succeeded was sent
	attempted time.Time // when the last renewal that failed was given up
	resigned  bool      // for good: this daemon stops
	yielding  bool      // the term is being handed over
	wake      chan struct{}
	failures  int // campaigns without an answer since the last with one; of Serve only
	onHolder  []func(Leader)
}

const (
	renewsPerTTL = 3
	// sureShare is the share of the lease's time for which a renewal vouches.
	sureShare = 0.8
	// blindShare is how lately, as a share of the lease's time, the service must
	// have been asked for its silence to be known.
	blindShare    = 0.5
	campaignPause = 250 * time.Millisecond
	callTimeout   = 800 * time.Millisecond
)

// New returns an election that has not been told of any record.
func New(config Config, store kv.LeaseStore, log logrus.FieldLogger) *Election {
	now := config.Now
	if now == nil {
		now = time.Now
	}
	return &Election{Config: config, store: store, log: log, now: now, wake: make(chan struct{}, 1)}
}

// Listen calls listener, one call at a time, whenever the holder's record changes;
// an empty holder means that nobody holds the term.
func (e *Election) AddListener(listener func(Leader)) { e.onHolder = append(e.onHolder, listener) }

// Observe takes in a change of the record, as the mirror of the service's records
// sees it.
func (e *Election) Observe(event kv.Event) {
	holder := Leader{}
	if !event.Deleted {
		parsed, err := ParseLeader(event.Pair)
		if err != nil {
			e.log.WithError(err).Warn("a record is not used")
			return
		}
		holder = parsed
	}
	e.mutex.Lock()
	if event.Pair.ModRevision < e.current.Fence {
		e.mutex.Unlock()
		return // from before the record that is known
	}
	holder = e.take(holder, event)
	e.mutex.Unlock()
	e.log.WithFields(logrus.Fields{logging.Leader: holder.Daemon, logging.Fence: holder.Fence, logging.HandedOver: holder.Handover != nil}).
		Info(logging.MessageHolderChanged)
	e.signal()
	for _, listener := range e.onHolder {
		listener(holder)
	}
}

// reasonRestored is why a term ends whose record a restore took away.
const reasonRestored = "the key-value service was restored from a copy"

// take notes what the record is now, and returns who holds the term by it; an empty holder means that nobody
// does. The mutex is held.
func (e *Election) take(holder Leader, event kv.Event) Leader {
	before := e.current.Fence
	e.current, e.vacancy, e.own, e.offer = holder, nil, nil, Leader{}
	e.checkTerm(holder, event)
	switch {
	case event.Deleted && !isRestored(before, event.Pair.ModRevision):
		e.vacancy = &vacancy{}
	case event.Deleted, holder.cameBack():
		// Whoever held the term before the restore may not have heard of it, and counts on its lease.
		e.vacancy = &vacancy{base: holder.Fence, opens: e.now().Add(e.TTL)}
	case holder.Handover != nil:
		e.offer, e.offeredAt = holder, e.now()
	case holder.Daemon == e.Daemon && e.term.Nonce == "":
		e.own = &vacancy{base: holder.Fence}
	}
	if holder.cameBack() {
		e.current = Leader{Fence: holder.Fence}
	}
	return e.current
}

// isRestored tells whether the service was restored between two revisions.
func isRestored(before, after int64) bool { return kv.EraOf(after) > kv.EraOf(before) }

// checkTerm ends this daemon's term where its record does not stand any more; the mutex is held.
func (e *Election) checkTerm(holder Leader, event kv.Event) {
	switch {
	case e.term.Nonce == "":
	case isRestored(e.term.Fence, event.Pair.ModRevision) && (event.Deleted || holder.cameBack()):
		e.loseTerm(reasonRestored)
		e.own = &vacancy{base: holder.Fence}
	case e.term.Nonce != holder.Nonce:
		e.loseTerm("another record stands")
	}
}

// Vacate takes in that no record was found when the service's records of a revision were read.
func (e *Election) ObserveAbsent(revision int64) {
	e.mutex.Lock()
	switch {
	case e.term.Nonce != "" && isRestored(e.term.Fence, revision):
		// The record was lost before the mirror had seen it.
		e.loseTerm(reasonRestored)
		e.own = &vacancy{}
	case e.current.Nonce == "" && e.term.Nonce == "" && e.vacancy == nil:
		e.vacancy = &vacancy{}
	}
	e.mutex.Unlock()
	e.signal()
}

func (e *Election) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loseTerm ends this daemon's term; the mutex is held.
func (e *Election) loseTerm(reason string) {
	e.log.WithFields(logrus.Fields{logging.Fence: e.term.Fence, logging.Reason: reason}).Warn(logging.MessageTermLost)
	e.term, e.lease = Leader{}, kv.LeaseID{}
}

// Term returns the fence of this daemon's term and how sure it is.
func (e *Election) Term() (fence int64, standing TermStatus) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce == "" || e.resigned || e.yielding {
		return 0, NoTerm
	}
	now := e.now()
	switch {
	case now.Sub(e.renewed) < time.Duration(sureShare*float64(e.TTL)):
		return e.term.Fence, TermValid
	case now.Sub(e.attempted) < time.Duration(blindShare*float64(e.TTL)):
		return e.term.Fence, TermStoreUnreachable
	}
	return e.term.Fence, TermUncertain
}

// LeaderAddress returns the address of the holder that is known; empty: none.
func (e *Election) LeaderAddress() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current.Address
}

// Deposed ends the term because someone with a higher fence was seen.
func (e *Election) StepDown(reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.term.Nonce != "" {
		e.loseTerm(reason)
	}
}

// String names the service in the supervisor's events.
func (e *Election) String() string { return "election" }

// Serve implements suture.Service.
func (e *Election) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		e.mutex.Lock()
		holding, resigned := e.term.Nonce != "", e.resigned || e.yielding
		e.mutex.Unlock()
		_, opensIn, open := e.opening()
		switch {
		case holding && !resigned:
			e.renew(ctx)
			e.rest(ctx, e.TTL/renewsPerTTL)
		case open && !resigned:
			e.campaign(ctx)
			e.rest(ctx, campaignPause)
		default:
			e.rest(ctx, cmp.Or(opensIn, e.TTL))
		}
	}
	return ctx.Err()
}

func (e *Election) rest(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
	}
}

const (
	staggerSteps = 8
	staggerStep  = 20 * time.Millisecond
)

// stagger delays this daemon's campaigns, so that not all ask at once.
func (e *Election) stagger() time.Duration {
	return time.Duration(rendezvous.Score(e.Key, e.Daemon)%staggerSteps) * staggerStep
}

// handicap lets daemons campaign first that know when the last holder was at work.
func (e *Election) handicap() time.Duration {
	if e.HasLeaderHistory == nil || e.HasLeaderHistory() {
		return 0
	}
	return uninformedDelay
}

func (e *Election) delay() time.Duration {
	if e.CampaignDelay == nil {
		return 0
	}
	return e.CampaignDelay()
}

// uninformedDelay is how much later a daemon campaigns that knows of no holder.
const uninformedDelay = 300 * time.Millisecond

// campaign tries to take the term.
func (e *Election) campaign(ctx context.Context) {
	if from, _, _ := e.opening(); !from.reclaimed && !sleep.For(ctx, e.delay()+e.stagger()+e.handicap()) {
		return
	}
	opening, _, open := e.opening()
	if !open {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.TTL)
	defer cancel()
	store := kv.TimeoutStore{LeaseStore: e.store, Timeout: e.patience()}
	sent := e.now()
	lease, err := store.GrantLease(ctx, e.TTL)
	if err != nil {
		e.campaignFailed(err)
		return
	}
	term := Leader{Daemon: e.Daemon, Address: e.Address, Nonce: uuid.NewString(), Era: &lease.Era}
	result, err := kv.CommitResolved(ctx, store, e.replacing(opening.base, term, lease))
	if err == nil && result.Succeeded && kv.EraOf(result.Revision) != lease.Era {
		// The condition may have held for another record that got the revision again.
		err = kv.ErrRestored
	}
	if err == nil && !result.Succeeded {
		e.mutex.Lock()
		e.vacancy, e.own, e.offer = nil, nil, Leader{} // until the mirror says otherwise
		e.mutex.Unlock()
	}
	if err != nil {
		e.campaignFailed(err)
	}
	if err != nil || !result.Succeeded {
		// The record, if it came after all, is bound to the lease.
		e.endLease(ctx, lease)
		return
	}
	term.Fence, e.failures = result.Revision, 0
	e.begin(term, lease, sent, opening)
}

// replacing is the transaction that replaces the term's record of a revision (zero: none) by another.
func (e *Election) replacing(revision int64, record Leader, lease kv.LeaseID) kv.Txn {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // plain values
	}
	return kv.Txn{Conditions: []kv.Condition{{Key: e.Key, ModRevision: revision}}, Puts: []kv.Put{{Key: e.Key, Value: value, Lease: lease}}}
}

// campaignFailed notes that the service did not answer a campaign.
func (e *Election) campaignFailed(cause error) {
	e.failures++
	e.log.WithField(logging.Cause, cause.Error()).Info("a campaign for the term got no answer")
}

// endLease ends a lease that is not needed any more.
func (e *Election) endLease(ctx context.Context, lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.WithField(logging.Cause, err.Error()).Info("a lease is not ended; it runs out by itself")
	}
}

const (
	// patienceFirst is how long a call of a campaign waits for its answer: a lost one
	// must not cost the time of a term. It doubles with each campaign that fails, for
	// a service that is slow.
	patienceFirst = 400 * time.Millisecond
	patienceMost  = 1600 * time.Millisecond
)

// patience returns how long a call of the next campaign waits for its answer.
func (e *Election) patience() time.Duration {
	return min(patienceMost, patienceFirst<<min(e.failures, 4))
}

// opening is what a campaign begins from.
type opening struct {
	base      int64        // revision of the record to be replaced; zero: there is none
	reclaimed bool         // the term before was this daemon's
	inherited *Inheritance // nil unless its holder handed the term over
}

// vacancy is a term that may be taken.
type vacancy struct {
	base  int64     // revision of the record to be replaced; zero: there is none
	opens time.Time // nobody takes it before
}

// opening returns what a campaign may begin from, if the term is open to one, and else when to look again.
func (e *Election) opening() (from opening, lookIn time.Duration, open bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.own != nil:
		return opening{base: e.own.base, reclaimed: true}, 0, true
	case e.offer.Fence > 0:
		return opening{base: e.offer.Fence, inherited: e.offer.Handover.inheritance(e.offeredAt)}, 0, true
	case e.vacancy == nil:
		return opening{}, e.TTL, false
	}
	lookIn = max(0, e.vacancy.opens.Sub(e.now()))
	return opening{base: e.vacancy.base}, lookIn, lookIn == 0
}

// begin notes a term that was taken and tells the listeners.
func (e *Election) begin(term Leader, lease kv.LeaseID, sent time.Time, from opening) {
	e.mutex.Lock()
	e.reclaimed, e.inherited = from.reclaimed, from.inherited
	e.term, e.lease, e.renewed, e.attempted, e.current = term, lease, sent, time.Time{}, term
	e.vacancy, e.own, e.offer = nil, nil, Leader{}
	e.mutex.Unlock()
	e.log.WithFields(logrus.Fields{logging.Leader: e.Daemon, logging.Fence: term.Fence, logging.Reclaimed: from.reclaimed, logging.HandedOver: from.inherited != nil}).
		Info(logging.MessageTermBegins)
	for _, listener := range e.onHolder {
		listener(term)
	}
}

// Reclaimed tells whether the term before this one was this daemon's, by an earlier process or before a
// restore of the service, so that no other holder's orders can be recent.
func (e *Election) Reclaimed() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reclaimed
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
		e.renewed = sent
	case errors.Is(err, kv.ErrLeaseNotFound):
		e.loseTerm("the lease is over")
		e.vacancy = &vacancy{}
	case errors.Is(err, kv.ErrRestored):
		// Observe, or Vacate, tells what the restore left of the record. Until then the lease is as sure as it
		// was: nobody else takes the term within its time.
	default:
		e.attempted = e.now()
	}
}
