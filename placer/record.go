package placer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/placement"
)

// errDeposed means that this term of leading the cell is over.
var errDeposed = errors.New("another placer has taken the cell over, or its group has changed")

// record is the cell's plan in its group, for one term. The ballot of the term is
// the epoch of its orders. A revision counts once a quorum holds it; only then are
// orders sent.
type record struct {
	register *group.Register
	// pending is a decision of which it is not known whether it counts. Nothing
	// else is committed, and no order sent, until it is.
	pending *placement.Decision
}

// takeOver begins a term and returns the plan that stands in it. fresh tells that
// the group holds no plan: there never was one, or its memory was lost.
func (r *record) takeOver(ctx context.Context, floor uint64) (plan placement.Plan, fresh bool, err error) {
	ballot, state, err := r.register.TakeOver(ctx, floor)
	if err != nil {
		return placement.Plan{}, false, errors.Wrap(err, "take the cell over")
	}
	plan = placement.NewPlan(engine.Fence{Epoch: ballot, Revision: 1})
	for id, entry := range state.Entries {
		var planned placement.EnginePlan
		if err := json.Unmarshal(entry, &planned); err != nil {
			return placement.Plan{}, false, errors.Wrapf(err, "read the plan of %s", id)
		}
		plan.Engines[id] = planned
	}
	// What was taken over may not have counted yet; it must before it is acted on.
	whole, err := encode(plan)
	if err != nil {
		return placement.Plan{}, false, err
	}
	if err := r.register.Propose(ctx, plan.Fence.Revision, whole, whole); err != nil {
		return placement.Plan{}, false, errors.Wrap(err, "confirm the plan taken over")
	}
	return plan, state.Ballot == 0, nil
}

func encode(plan placement.Plan) (map[string][]byte, error) {
	entries := make(map[string][]byte, len(plan.Engines))
	for id, planned := range plan.Engines {
		if len(planned.Assignments) == 0 {
			continue
		}
		entry, err := json.Marshal(planned)
		if err != nil {
			return nil, errors.Wrapf(err, "encode the plan of %s", id)
		}
		entries[id] = entry
	}
	return entries, nil
}

// commit makes a decision's plan count. After an error that is not errDeposed it
// is not known whether it does, and settle must be called until it is.
func (r *record) commit(ctx context.Context, decision placement.Decision) error {
	r.pending = &decision
	return r.settle(ctx)
}

// settle proposes the pending decision, again if need be.
func (r *record) settle(ctx context.Context) error {
	whole, err := encode(r.pending.Plan)
	if err != nil {
		return err
	}
	changes := make(map[string][]byte, len(r.pending.Changed))
	for _, id := range r.pending.Changed {
		changes[id] = whole[id] // empty where nothing is left
	}
	err = r.register.Propose(ctx, r.pending.Plan.Fence.Revision, changes, whole)
	if errors.Is(err, group.ErrPreempted) {
		return errDeposed
	}
	if err != nil {
		return errors.Wrap(err, "commit the plan")
	}
	r.pending = nil
	return nil
}
