package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	claimTimeout = 4 * time.Second
	retryDelay   = 20 * time.Millisecond
	// maxViewQueries limits how many ranked daemons are queried for a view.
	maxViewQueries = 5
	retryAfter     = time.Second
	// clockMargin is the clock difference tolerated between a key's creator and this daemon.
	clockMargin = 5 * time.Minute
)

// Ledger claims idempotency keys on behalf of a gateway.
type Ledger struct {
	groupClient
}

// Claim is a committed claim: a write quorum of the key's group accepted it.
type Claim struct {
	slot   SlotKey
	record Record
}

// NewLedger returns a ledger that finds the members of groups through members.
func NewLedger(members func() *membership.View, pool *transport.Pool) *Ledger {
	return &Ledger{newGroupClient(members, pool)}
}

// KeyRef identifies an idempotency key by the branch that uses it and the region
// whose groups store its claim.
type KeyRef struct {
	Region string
	Branch string
	Key    string
}

func (k KeyRef) hashedKey() string { return HashKey(k.Branch, k.Key) }

func (k KeyRef) slot() SlotKey { return SlotOf(k.Region, k.hashedKey()) }

// Claim claims a key. It returns the committed claim, or the existing record if the key
// was claimed before with the same request content, or a *failure.Error.
func (l *Ledger) Claim(ctx context.Context, key KeyRef, claim Record) (*Claim, *Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim.Key, claim.State = key.hashedKey(), Claimed
	slot := key.slot()
	lastErr := errors.New("no daemon responded")
	for ctx.Err() == nil {
		view, err := l.view(ctx, slot)
		if err != nil {
			lastErr = err
			waitBeforeRetry(ctx)
			continue
		}
		if unknown := checkClaimHistory(view, key.Key); unknown != nil {
			// Members that did not restart may still store the earlier record.
			if existing, err := l.Look(ctx, key); err == nil && existing != nil && existing.Fingerprint == claim.Fingerprint {
				return nil, existing, nil
			}
			return nil, nil, unknown
		}
		votes := l.requestVotes(ctx, view, claim)
		switch votes.decide() {
		case committed:
			return &Claim{slot: slot, record: claim}, nil, nil
		case conflicting:
			l.withdraw(ctx, view, claim)
			existing := votes.mostAdvanced()
			if existing.Fingerprint != claim.Fingerprint {
				return nil, nil, failure.New(failure.KeyReused, "use a new idempotency key for a new request",
					"the idempotency key was used for a different request")
			}
			return nil, &existing, nil
		}
		lastErr = errors.Errorf("%d of %d members of the key's group accepted", votes.accepted, len(view.Members))
		l.dropView(slot)
		waitBeforeRetry(ctx)
	}
	if view, known := l.cachedView(slot); known {
		l.withdraw(context.WithoutCancel(ctx), view, claim)
	}
	return nil, nil, failure.Wrap(lastErr, failure.ClaimUnavailable, "retry the request with the same key",
		"the idempotency key could not be claimed").WithRetryAfter(retryAfter)
}

// checkClaimHistory rejects a key whose earlier claim may have been lost with the
// group's memory or may have expired.
func checkClaimHistory(view View, key string) *failure.Error {
	createdAt, hasTime := KeyTime(key)
	now := time.Now()
	if hasTime && now.Sub(createdAt) > ClaimRetention+clockMargin {
		return failure.New(failure.OutcomeUnknown, "verify whether the request took effect before using a new key",
			"the idempotency key is older than the retention period of claims").WithExecution(failure.Unknown)
	}
	if view.LostAt.IsZero() || now.After(view.LostAt.Add(ClaimRetention)) || (hasTime && createdAt.After(view.LostAt)) {
		return nil
	}
	return failure.New(failure.OutcomeUnknown, "for a new request use a UUID version 7 as the key; for an earlier one verify whether it took effect",
		"the group that stored the key's claim lost its state; an earlier request with this key may have run").WithExecution(failure.Unknown)
}

func waitBeforeRetry(ctx context.Context) {
	sleep.For(ctx, retryDelay+rand.N(retryDelay))
}

// requestVotes sends a claim to all members of a view and returns once the result is decided.
func (l *Ledger) requestVotes(ctx context.Context, view View, record Record) *tally {
	votes := &tally{view: view}
	type vote struct {
		verdict  Verdict
		existing Record
		err      error
	}
	responses := make(chan vote, len(view.Members))
	for _, member := range view.Members {
		go func() {
			response, err := l.memberClient(ctx, member).Claim(withCallTimeout(ctx), &rpc.ClaimRequest{View: view.wire(), Record: record.wire()})
			responses <- vote{Verdict(response.GetVerdict()), recordFromWire(response.GetStanding()), err}
		}()
	}
	for range view.Members {
		response := <-responses
		votes.add(response.verdict, response.existing, response.err)
		if votes.decide() != undecided {
			return votes
		}
	}
	return votes
}

// withdraw removes a claim that was not committed or whose request did not run. It
// returns how many members removed it.
func (l *Ledger) withdraw(ctx context.Context, view View, record Record) int {
	return l.callMembers(ctx, view, func(ctx context.Context, client rpc.DRPCGroupsClient) (*rpc.GroupAnswer, error) {
		return client.Withdraw(ctx, &rpc.WithdrawRequest{View: view.wire(), Key: record.Key, RequestId: record.RequestID})
	})
}

// callMembers calls all members of a view and returns how many responded with ok.
func (l *Ledger) callMembers(ctx context.Context, view View, call func(context.Context, rpc.DRPCGroupsClient) (*rpc.GroupAnswer, error)) int {
	return countAgreeing(view.Members, func(member ViewMember) bool {
		response, err := call(withCallTimeout(ctx), l.memberClient(ctx, member))
		return err == nil && response.GetOk()
	})
}

// Look returns the record of a key, or nil if a quorum confirms that there is none.
func (l *Ledger) Look(ctx context.Context, key KeyRef) (*Record, error) {
	view, err := l.view(ctx, key.slot())
	if err != nil {
		return nil, err
	}
	type vote struct {
		verdict  Verdict
		existing Record
		err      error
	}
	votes := &tally{view: view}
	for _, response := range fanOut(view.Members, func(member ViewMember) vote {
		message, err := l.memberClient(ctx, member).Look(withCallTimeout(ctx), &rpc.LookRequest{View: view.wire(), Key: key.hashedKey()})
		return vote{Verdict(message.GetVerdict()), recordFromWire(message.GetStanding()), err}
	}) {
		votes.add(response.verdict, response.existing, response.err)
	}
	switch {
	case len(votes.existing) > 0:
		existing := votes.mostAdvanced()
		return &existing, nil
	case votes.accepted >= view.sealQuorum():
		return nil, nil
	}
	l.dropView(key.slot())
	return nil, errors.New("too few members of the key's group responded")
}

// DecodeOutcome returns the record's outcome with its body decompressed.
func (r Record) DecodeOutcome() (Outcome, error) { return r.Outcome.decompress() }

// Complete stores a claim's outcome with a write quorum.
func (l *Ledger) Complete(ctx context.Context, claim *Claim, outcome Outcome) error {
	record := claim.record
	record.State, record.Outcome = Completed, outcome.compress()
	return l.settle(ctx, claim.slot, record)
}

// MarkIndeterminate records that the claim's request may have run and its outcome is lost.
func (l *Ledger) MarkIndeterminate(ctx context.Context, claim *Claim) error {
	record := claim.record
	record.State = Indeterminate
	return l.settle(ctx, claim.slot, record)
}

func (l *Ledger) settle(ctx context.Context, slot SlotKey, record Record) error {
	return l.requireWriteQuorum(ctx, slot, func(view View) int {
		return l.callMembers(ctx, view, func(ctx context.Context, client rpc.DRPCGroupsClient) (*rpc.GroupAnswer, error) {
			return client.Settle(ctx, &rpc.SettleRequest{View: view.wire(), Record: record.wire()})
		})
	})
}

// Release withdraws a committed claim whose request did not run.
func (l *Ledger) Release(ctx context.Context, claim *Claim) error {
	return l.requireWriteQuorum(ctx, claim.slot, func(view View) int { return l.withdraw(ctx, view, claim.record) })
}

// requireWriteQuorum returns an error unless call reports a write quorum of the slot's view.
func (l *Ledger) requireWriteQuorum(ctx context.Context, slot SlotKey, call func(View) int) error {
	view, err := l.view(ctx, slot)
	if err != nil {
		return err
	}
	if agreed := call(view); agreed < view.writeQuorum() {
		l.dropView(slot)
		return errors.Errorf("%d of %d members of the key's group agreed", agreed, len(view.Members))
	}
	return nil
}
