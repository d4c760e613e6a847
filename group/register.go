package group

import (
	"context"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// ErrPreempted means that another proposer has taken over the plan or the group's view
// has changed. The term of this proposer has ended.
var ErrPreempted = errors.New("another proposer has taken over the plan, or the view of its group has changed")

// ErrNoQuorum means that too few members responded, so the revision may or may not be
// committed. The same revision may be proposed again.
var ErrNoQuorum = errors.New("too few members of the plan's group responded")

// Register proposes revisions of a region's plan to its group during one term. It is
// not safe for concurrent use.
type Register struct {
	groupClient
	slot     SlotKey
	proposer string
	view     View
	ballot   uint64
}

// NewRegister returns a register without a term; TakeOver begins one. proposer must be
// unique to the process.
func NewRegister(members func() *membership.View, pool *transport.Pool, region, proposer string) *Register {
	return &Register{groupClient: newGroupClient(members, pool), slot: PlanKey(region), proposer: proposer}
}

// TakeOver begins a term with a new ballot of at least floor. It returns the ballot and
// the latest plan of a write quorum that promised it, which contains every committed
// revision; the plan's Ballot is zero if there is no plan.
func (r *Register) TakeOver(ctx context.Context, floor uint64) (ballot uint64, plan PlanState, err error) {
	r.dropView(r.slot)
	r.view, err = r.groupClient.view(ctx, r.slot)
	if err != nil {
		return 0, PlanState{}, err
	}
	r.ballot = max(r.ballot+1, floor)
	const attempts = 3
	for range attempts {
		states, highestPromised := r.requestPromises(ctx)
		if len(states) >= r.view.writeQuorum() {
			return r.ballot, mergePlans(states), nil
		}
		if highestPromised < r.ballot {
			return 0, PlanState{}, errors.Wrapf(ErrNoQuorum, "%d of %d members promised", len(states), len(r.view.Members))
		}
		r.ballot = highestPromised + 1
	}
	return 0, PlanState{}, ErrPreempted
}

// requestPromises requests a promise of the ballot from all members. It returns the
// plans of those that promised and the highest ballot promised by any.
func (r *Register) requestPromises(ctx context.Context) (promised []PlanState, highestPromised uint64) {
	for _, response := range fanOut(r.view.Members, func(member ViewMember) *rpc.PlanAnswer {
		response, err := r.memberClient(ctx, member).Promise(withCallTimeout(ctx), &rpc.PromiseRequest{
			View: r.view.wire(), Ballot: r.ballot, Proposer: r.proposer})
		if err != nil {
			return nil
		}
		return response
	}) {
		if response == nil {
			continue
		}
		state := planFromWire(response.GetState())
		highestPromised = max(highestPromised, state.Promised)
		if PlanVerdict(response.GetVerdict()) == PlanAccepted {
			promised = append(promised, state)
		}
	}
	return promised, highestPromised
}

// Propose commits a revision of the plan. changes holds the difference from the previous
// revision, full the complete plan for members that lack it. After ErrNoQuorum only the
// same revision may be proposed again.
func (r *Register) Propose(ctx context.Context, revision uint64, changes, full map[string][]byte) error {
	verdicts := fanOut(r.view.Members, func(member ViewMember) PlanVerdict {
		verdict, err := r.requestAccept(ctx, member, revision, false, changes)
		if err == nil && verdict == PlanGap {
			verdict, err = r.requestAccept(ctx, member, revision, true, full)
		}
		if err != nil {
			return noResponse
		}
		return verdict
	})
	accepted, unanswered := 0, 0
	for _, verdict := range verdicts {
		switch verdict {
		case PlanAccepted:
			accepted++
		case noResponse:
			unanswered++
		}
	}
	switch {
	case accepted >= r.view.writeQuorum():
		return nil
	case accepted+unanswered >= r.view.writeQuorum():
		return errors.Wrapf(ErrNoQuorum, "%d of %d members accepted", accepted, len(r.view.Members))
	}
	return ErrPreempted
}

// noResponse stands for the verdict of a member whose call failed.
const noResponse = PlanVerdict(^uint32(0))

func (r *Register) requestAccept(ctx context.Context, member ViewMember, revision uint64, full bool, entries map[string][]byte) (PlanVerdict, error) {
	response, err := r.memberClient(ctx, member).Accept(withCallTimeout(ctx), &rpc.AcceptRequest{
		View: r.view.wire(), Ballot: r.ballot, Proposer: r.proposer, Revision: revision, Full: full, Entries: wireEntries(entries)})
	return PlanVerdict(response.GetVerdict()), err
}
