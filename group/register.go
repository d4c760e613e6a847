package group

import (
	"context"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// ErrPreempted means that another proposer has taken the plan over, or the group has
// changed: this proposer's term is over.
var ErrPreempted = errors.New("another proposer has taken the plan over, or its group has changed")

// ErrNoQuorum means that too few members answered: it is not known whether the
// revision counts. The same revision may be proposed again.
var ErrNoQuorum = errors.New("too few members of the plan's group answer")

// Register is a proposer's hold on a region's plan, for one term. It is used by
// one goroutine at a time.
type Register struct {
	directory
	slot     SlotKey
	proposer string
	view     View
	ballot   uint64
}

// NewRegister returns a register that has not been taken over yet. proposer is
// unique to the process.
func NewRegister(members func() *membership.View, pool *transport.Pool, region, proposer string) *Register {
	return &Register{directory: newDirectory(members, pool), slot: PlanKey(region), proposer: proposer}
}

// TakeOver begins a term: a write quorum promises a new ballot, at least floor, and
// hands over what it holds. The result's Ballot is zero where there was no plan.
// Every revision that ever counted in the group's memory is in it.
func (r *Register) TakeOver(ctx context.Context, floor uint64) (ballot uint64, plan PlanState, err error) {
	r.dropView(r.slot)
	r.view, err = r.directory.view(ctx, r.slot)
	if err != nil {
		return 0, PlanState{}, err
	}
	r.ballot = max(r.ballot+1, floor)
	const tries = 3
	for range tries {
		states, highest := r.promise(ctx)
		if len(states) >= r.view.writeQuorum() {
			return r.ballot, mergePlans(states), nil
		}
		if highest < r.ballot {
			return 0, PlanState{}, errors.Wrapf(ErrNoQuorum, "%d of %d promised", len(states), len(r.view.Members))
		}
		r.ballot = highest + 1
	}
	return 0, PlanState{}, ErrPreempted
}

// promise asks all members to promise the ballot.
func (r *Register) promise(ctx context.Context) (promised []PlanState, highest uint64) {
	for _, answer := range fanOut(r.view.Members, func(member ViewMember) *rpc.PlanAnswer {
		answer, err := r.client(ctx, member).Promise(withTimeout(ctx), &rpc.PromiseRequest{
			View: r.view.wire(), Ballot: r.ballot, Proposer: r.proposer})
		if err != nil {
			return nil
		}
		return answer
	}) {
		if answer == nil {
			continue
		}
		state := planOf(answer.GetState())
		highest = max(highest, state.Promised)
		if PlanVerdict(answer.GetVerdict()) == PlanAccepted {
			promised = append(promised, state)
		}
	}
	return promised, highest
}

// Propose makes a revision of the plan count. changes are against the revision
// before; whole is the whole plan, for members that lack that revision. After
// ErrNoQuorum the same revision, and no other, may be proposed again.
func (r *Register) Propose(ctx context.Context, revision uint64, changes, whole map[string][]byte) error {
	verdicts := fanOut(r.view.Members, func(member ViewMember) PlanVerdict {
		verdict, err := r.accept(ctx, member, revision, false, changes)
		if err == nil && verdict == PlanGap {
			verdict, err = r.accept(ctx, member, revision, true, whole)
		}
		if err != nil {
			return noAnswer
		}
		return verdict
	})
	accepted, silent := 0, 0
	for _, verdict := range verdicts {
		switch verdict {
		case PlanAccepted:
			accepted++
		case noAnswer:
			silent++
		}
	}
	switch {
	case accepted >= r.view.writeQuorum():
		return nil
	case accepted+silent >= r.view.writeQuorum():
		return errors.Wrapf(ErrNoQuorum, "%d of %d accepted", accepted, len(r.view.Members))
	}
	return ErrPreempted
}

// noAnswer stands for a call that failed.
const noAnswer = PlanVerdict(^uint32(0))

func (r *Register) accept(ctx context.Context, member ViewMember, revision uint64, full bool, entries map[string][]byte) (PlanVerdict, error) {
	answer, err := r.client(ctx, member).Accept(withTimeout(ctx), &rpc.AcceptRequest{
		View: r.view.wire(), Ballot: r.ballot, Proposer: r.proposer, Revision: revision, Full: full, Entries: wireEntries(entries)})
	return PlanVerdict(answer.GetVerdict()), err
}
