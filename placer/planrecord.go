package placer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/placement"
)

// errTermEnded means that this daemon's term as the cell's placer is over.
var errTermEnded = errors.New("another placer has taken over the cell, or its group has changed")

// planRecord stores the cell's plan in a replicated group, for one term. The term's
// ballot is the epoch of its orders. Orders of a revision are sent only after a quorum
// of the group has stored it.
type planRecord struct {
	register *group.Register
	// pending is a decision whose commit has no known result. The placer sends no order and
	// commits nothing else until that commit succeeds.
	pending *placement.Decision
}

// takeOver begins a term and returns the plan that the group stores. noStoredPlan reports
// that it stores none, because there never was one or the group lost its state.
func (r *planRecord) takeOver(ctx context.Context, minEpoch uint64) (plan placement.Plan, noStoredPlan bool, err error) {
	ballot, state, err := r.register.TakeOver(ctx, minEpoch)
	if err != nil {
		return placement.Plan{}, false, errors.Wrap(err, "take over the cell")
	}
	plan = placement.NewPlan(engine.Fence{Epoch: ballot, Revision: 1})
	for id, entry := range state.Entries {
		var planned placement.EnginePlan
		if err := json.Unmarshal(entry, &planned); err != nil {
			return placement.Plan{}, false, errors.Wrapf(err, "decode the plan of engine %s", id)
		}
		plan.Engines[id] = planned
	}
	// The previous term may not have committed the plan; a quorum must store it before orders
	// are sent.
	entries, err := encode(plan)
	if err != nil {
		return placement.Plan{}, false, err
	}
	if err := r.register.Propose(ctx, plan.Fence.Revision, entries, entries); err != nil {
		return placement.Plan{}, false, errors.Wrap(err, "commit the previous term's plan")
	}
	return plan, state.Ballot == 0, nil
}

// encode returns the JSON of each engine's plan, by engine id; empty plans are omitted.
func encode(plan placement.Plan) (map[string][]byte, error) {
	entries := make(map[string][]byte, len(plan.Engines))
	for id, planned := range plan.Engines {
		if len(planned.Assignments) == 0 {
			continue
		}
		entry, err := json.Marshal(planned)
		if err != nil {
			return nil, errors.Wrapf(err, "encode the plan of engine %s", id)
		}
		entries[id] = entry
	}
	return entries, nil
}

// commit stores a decision's plan in the group. After an error other than errTermEnded the
// result is unknown, and proposePending must be called until it succeeds.
func (r *planRecord) commit(ctx context.Context, decision placement.Decision) error {
	r.pending = &decision
	return r.proposePending(ctx)
}

// proposePending proposes the pending decision to the group; it may be repeated.
func (r *planRecord) proposePending(ctx context.Context) error {
	entries, err := encode(r.pending.Plan)
	if err != nil {
		return err
	}
	changes := make(map[string][]byte, len(r.pending.Changed))
	for _, id := range r.pending.Changed {
		changes[id] = entries[id] // nil if the engine has no assignments left
	}
	err = r.register.Propose(ctx, r.pending.Plan.Fence.Revision, changes, entries)
	if errors.Is(err, group.ErrPreempted) {
		return errTermEnded
	}
	if err != nil {
		return errors.Wrap(err, "commit the plan")
	}
	r.pending = nil
	return nil
}
