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
	claimTime  = 4 * time.Second // in which a claim must count
	retryPause = 20 * time.Millisecond
	// viewAskers is how many ranked daemons are asked for a view.
	viewAskers = 5
	retryAfter = time.Second
	// clockMargin is how far a key's own time may differ from this daemon's.
	clockMargin = 5 * time.Minute
)

// Ledger claims keys for a gateway.
type Ledger struct {
	directory
}

// Claim is a claim that counted.
type Claim struct {
	slot   SlotKey
	record Record
}

// NewLedger returns the ledger of a gateway.
func NewLedger(members func() *membership.View, pool *transport.Pool) *Ledger {
	return &Ledger{newDirectory(members, pool)}
}

// Ask names a key: the branch that uses it and the region whose groups hold it.
type KeyRef struct {
	Region string
	Branch string
	Key    string
}

func (a KeyRef) hashed() string { return HashKey(a.Branch, a.Key) }

func (a KeyRef) slot() SlotKey { return SlotOf(a.Region, a.hashed()) }

// Claim claims a key. It returns the claim; or the record that stands if the key
// was claimed before; or a *failure.Error that is true about execution.
func (l *Ledger) Claim(ctx context.Context, ask KeyRef, wanted Record) (*Claim, *Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	wanted.Key, wanted.State = ask.hashed(), Claimed
	slot := ask.slot()
	reason := errors.New("no daemon answered")
	for ctx.Err() == nil {
		view, err := l.view(ctx, slot)
		if err != nil {
			reason = err
			pause(ctx)
			continue
		}
		if failed := forgotten(view, ask.Key); failed != nil {
			// What a member that was not lost still holds is true all the same.
			if standing, err := l.Look(ctx, ask); err == nil && standing != nil && standing.Fingerprint == wanted.Fingerprint {
				return nil, standing, nil
			}
			return nil, nil, failed
		}
		counts := l.claimOnce(ctx, view, wanted)
		switch counts.decide() {
		case counted:
			return &Claim{slot: slot, record: wanted}, nil, nil
		case taken:
			l.withdraw(ctx, view, wanted)
			standing := counts.strongest()
			if standing.Fingerprint != wanted.Fingerprint {
				return nil, nil, failure.New(failure.KeyReused, "use a new idempotency key for a new request",
					"the idempotency key was used for a different request")
			}
			return nil, &standing, nil
		}
		reason = errors.Errorf("%d of %d members of the key's group accepted", counts.accepted, len(view.Members))
		l.dropView(slot)
		pause(ctx)
	}
	if view, known := l.cached(slot); known {
		l.withdraw(context.WithoutCancel(ctx), view, wanted)
	}
	return nil, nil, failure.Wrap(reason, failure.ClaimUnavailable, "repeat the request with the same key",
		"the idempotency key could not be claimed").WithRetryAfter(retryAfter)
}

// forgotten refuses a key whose claim the group may have lost, or no longer keep.
func forgotten(view View, key string) *failure.Error {
	made, timed := KeyTime(key)
	now := time.Now()
	if timed && now.Sub(made) > ClaimRetention+clockMargin {
		return failure.New(failure.OutcomeUnknown, "find out by other means whether it took effect before using a new key",
			"the idempotency key is older than claims are kept").WithExecution(failure.Unknown)
	}
	if view.LostAt.IsZero() || now.After(view.LostAt.Add(ClaimRetention)) || (timed && made.After(view.LostAt)) {
		return nil
	}
	return failure.New(failure.OutcomeUnknown, "for a new request use a UUID version 7 as key; for an old one find out by other means",
		"the group that kept the key's claim lost its memory; an earlier request with this key may have run").WithExecution(failure.Unknown)
}

func pause(ctx context.Context) {
	sleep.For(ctx, retryPause+rand.N(retryPause))
}

// claimOnce asks all members of a view and counts.
func (l *Ledger) claimOnce(ctx context.Context, view View, wanted Record) *tally {
	counts := &tally{view: view}
	type answer struct {
		verdict  Verdict
		standing Record
		err      error
	}
	answers := make(chan answer, len(view.Members))
	for _, member := range view.Members {
		go func() {
			told, err := l.client(ctx, member).Claim(withTimeout(ctx), &rpc.ClaimRequest{View: view.wire(), Record: wanted.wire()})
			answers <- answer{Verdict(told.GetVerdict()), recordOf(told.GetStanding()), err}
		}()
	}
	for range view.Members {
		told := <-answers
		counts.add(told.verdict, told.standing, told.err)
		if counts.decide() != undecided {
			return counts
		}
	}
	return counts
}

// withdraw takes back a claim that did not count and never will be used.
func (l *Ledger) withdraw(ctx context.Context, view View, record Record) int {
	return l.each(ctx, view, func(ctx context.Context, client rpc.DRPCGroupsClient) (*rpc.GroupAnswer, error) {
		return client.Withdraw(ctx, &rpc.WithdrawRequest{View: view.wire(), Key: record.Key, RequestId: record.RequestID})
	})
}

// each calls all members and returns how many agreed.
func (l *Ledger) each(ctx context.Context, view View, call func(context.Context, rpc.DRPCGroupsClient) (*rpc.GroupAnswer, error)) int {
	return agreeing(view.Members, func(member ViewMember) bool {
		answer, err := call(withTimeout(ctx), l.client(ctx, member))
		return err == nil && answer.GetOk()
	})
}

// Look returns what stands for a key, or nil when nothing does.
func (l *Ledger) Look(ctx context.Context, ask KeyRef) (*Record, error) {
	view, err := l.view(ctx, ask.slot())
	if err != nil {
		return nil, err
	}
	type answer struct {
		verdict  Verdict
		standing Record
		err      error
	}
	counts := &tally{view: view}
	for _, told := range fanOut(view.Members, func(member ViewMember) answer {
		message, err := l.client(ctx, member).Look(withTimeout(ctx), &rpc.LookRequest{View: view.wire(), Key: ask.hashed()})
		return answer{Verdict(message.GetVerdict()), recordOf(message.GetStanding()), err}
	}) {
		counts.add(told.verdict, told.standing, told.err)
	}
	switch {
	case len(counts.standing) > 0:
		standing := counts.strongest()
		return &standing, nil
	case counts.accepted >= view.sealQuorum():
		return nil, nil
	}
	l.dropView(ask.slot())
	return nil, errors.New("too few members of the key's group answer")
}

// Plain returns a record's outcome as it was given.
func (r Record) DecodeOutcome() (Outcome, error) { return r.Outcome.plain() }

// Complete stores a claim's outcome with a write quorum.
func (l *Ledger) Complete(ctx context.Context, claim *Claim, outcome Outcome) error {
	record := claim.record
	record.State, record.Outcome = Completed, outcome.compressed()
	return l.settle(ctx, claim.slot, record)
}

// Unsettle stores that a claim's request may have run and its outcome is lost.
func (l *Ledger) MarkIndeterminate(ctx context.Context, claim *Claim) error {
	record := claim.record
	record.State = Indeterminate
	return l.settle(ctx, claim.slot, record)
}

func (l *Ledger) settle(ctx context.Context, slot SlotKey, record Record) error {
	return l.atQuorum(ctx, slot, func(view View) int {
		return l.each(ctx, view, func(ctx context.Context, client rpc.DRPCGroupsClient) (*rpc.GroupAnswer, error) {
			return client.Settle(ctx, &rpc.SettleRequest{View: view.wire(), Record: record.wire()})
		})
	})
}

// Release gives a claim back after the request certainly did not run.
func (l *Ledger) Release(ctx context.Context, claim *Claim) error {
	return l.atQuorum(ctx, claim.slot, func(view View) int { return l.withdraw(ctx, view, claim.record) })
}

// atQuorum fails unless a write quorum of the slot's view agrees.
func (l *Ledger) atQuorum(ctx context.Context, slot SlotKey, call func(View) int) error {
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
