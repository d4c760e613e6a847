package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/placement"
)

// Keys in the key-value service, under the cell's prefix.
const (
	cellPrefix    = "/finchspoke/cells/"
	viewKeyName   = "view"
	headKeyName   = "head"
	enginesPrefix = "engines/"
)

// view says who places for a cell. It changes hands by compare-and-swap.
type view struct {
	Epoch  uint64    `json:"epoch"`
	Holder string    `json:"holder"` // member id
	Writer string    `json:"writer"` // unique to one take-over
	Since  time.Time `json:"since"`
}

// head is written by every commit of a plan.
type head struct {
	Fence  engine.Fence `json:"fence"`
	Writer string       `json:"writer"` // unique to one commit
}

// errDeposed means that another placer has taken the cell over.
var errDeposed = errors.New("another placer has taken the cell over")

// record is the cell's plan in the key-value service. Every commit is bound to
// the view, so a placer that lost the cell commits nothing.
type record struct {
	store        kv.Store
	prefix       string
	viewRevision int64 // store revision of the own view
	headRevision int64
	pending      *pendingCommit
}

// pendingCommit is a commit whose fate is not known yet. Nothing else is
// committed, and no order sent, until it is.
type pendingCommit struct {
	txn      kv.Txn
	decision placement.Decision
}

func newRecord(store kv.Store, region string) *record {
	return &record{store: store, prefix: cellPrefix + region + "/"}
}

// takeOver makes a member the cell's placer in a new epoch and returns the plan
// that stands.
func (r *record) takeOver(ctx context.Context, memberID string, now time.Time) (placement.Plan, error) {
	viewKey := r.prefix + viewKeyName
	pair, found, err := r.store.Get(ctx, viewKey)
	if err != nil {
		return placement.Plan{}, errors.Wrap(err, "read the cell's view")
	}
	var standing view
	if found {
		if err := json.Unmarshal(pair.Value, &standing); err != nil {
			return placement.Plan{}, errors.Wrap(err, "read the cell's view")
		}
	}
	taken := view{Epoch: standing.Epoch + 1, Holder: memberID, Writer: uuid.NewString(), Since: now.UTC()}
	value, err := json.Marshal(taken)
	if err != nil {
		return placement.Plan{}, errors.Wrap(err, "encode the cell's view")
	}
	result, err := kv.CommitResolved(ctx, r.store, kv.Txn{
		Conditions: []kv.Condition{{Key: viewKey, ModRevision: pair.ModRevision}},
		Puts:       []kv.Put{{Key: viewKey, Value: value}},
	})
	if err != nil {
		return placement.Plan{}, errors.Wrap(err, "take the cell over")
	}
	if !result.Succeeded {
		return placement.Plan{}, errDeposed
	}
	r.viewRevision = result.Revision
	return r.read(ctx, taken.Epoch)
}

// read returns the standing plan under a new epoch.
func (r *record) read(ctx context.Context, epoch uint64) (placement.Plan, error) {
	pairs, _, err := r.store.List(ctx, r.prefix)
	if err != nil {
		return placement.Plan{}, errors.Wrap(err, "read the cell's plan")
	}
	plan := placement.NewPlan(engine.Fence{Epoch: epoch})
	for _, pair := range pairs {
		switch pair.Key {
		case r.prefix + viewKeyName:
			if pair.ModRevision != r.viewRevision {
				return placement.Plan{}, errDeposed
			}
			continue
		case r.prefix + headKeyName:
			r.headRevision = pair.ModRevision
			continue
		}
		var planned placement.EnginePlan
		if err := json.Unmarshal(pair.Value, &planned); err != nil {
			return placement.Plan{}, errors.Wrapf(err, "read %s", pair.Key)
		}
		plan.Engines[planned.EngineID] = planned
	}
	return plan, nil
}

// commit makes a plan stand. An error that is not errDeposed leaves the earlier
// plan standing, or, while pending is set, leaves it unknown which one does.
func (r *record) commit(ctx context.Context, decision placement.Decision) error {
	plan := decision.Plan
	value, err := json.Marshal(head{Fence: plan.Fence, Writer: uuid.NewString()})
	if err != nil {
		return errors.Wrap(err, "encode the plan's head")
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{
			{Key: r.prefix + headKeyName, ModRevision: r.headRevision},
			{Key: r.prefix + viewKeyName, ModRevision: r.viewRevision},
		},
		Puts: []kv.Put{{Key: r.prefix + headKeyName, Value: value}},
	}
	for _, id := range decision.Changed {
		key := r.prefix + enginesPrefix + id
		planned := plan.Engines[id]
		if len(planned.Assignments) == 0 {
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		value, err := json.Marshal(planned)
		if err != nil {
			return errors.Wrap(err, "encode the plan of "+id)
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: key, Value: value})
	}
	r.pending = &pendingCommit{txn: txn, decision: decision}
	return r.settle(ctx)
}

// settle finds out what became of the pending commit.
func (r *record) settle(ctx context.Context) error {
	result, err := kv.CommitResolved(ctx, r.store, r.pending.txn)
	switch {
	case errors.Is(err, kv.ErrUncertain):
		return errors.Wrap(err, "commit the plan")
	case err != nil:
		r.pending = nil
		return errors.Wrap(err, "commit the plan")
	case !result.Succeeded:
		r.pending = nil
		return errDeposed
	}
	r.headRevision = result.Revision
	r.pending = nil
	return nil
}

// String describes the record for logs.
func (r *record) String() string { return fmt.Sprintf("plan record under %s", r.prefix) }
