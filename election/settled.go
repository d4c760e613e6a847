package election

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
)

// settledRecord is the value of the record under Config.SettledKey. It outlasts the term, and is replaced by a later one.
type settledRecord struct {
	// Nonce is that of the term's record.
	Nonce string `json:"nonce"`
	// Era is the store's era when the record was written.
	Era int64 `json:"era"`
	// Electorate names the daemons of which most must follow a leader that gives orders without its lease.
	Electorate []string `json:"electorate"`
	// Complete is whether the time after the orders of earlier leaders has passed for each replica.
	Complete bool `json:"complete"`
}

// Settled is what a leader learns about earlier ones from the record that the latest settled one wrote.
type Settled struct {
	// Own is whether this term resumes one that was settled, for each replica: no earlier leader gives orders any more.
	Own bool
	// Electorate names the daemons of which most followed any earlier leader that gave orders without its lease; empty if no
	// earlier leader can have done so.
	Electorate []string
	// Known is whether Electorate is. A restore of the store may have removed a later record.
	Known bool
}

// MarkSettled records that no earlier leader than this daemon gives orders any more, the electorate of this term, and whether
// the time after the orders of earlier leaders has passed for each replica. A write that takes effect late cannot replace a later one.
func (e *Election) MarkSettled(ctx context.Context, fence int64, electorate []string, complete bool) error {
	e.mutex.Lock()
	term, replaces := e.term, e.settledRevision
	e.mutex.Unlock()
	if term.Nonce == "" || term.Fence != fence {
		return errors.Errorf("the term with fencing token %d has ended", fence)
	}
	value, err := json.Marshal(settledRecord{Nonce: term.Nonce, Era: kv.EraOf(term.Fence), Electorate: electorate, Complete: complete})
	if err != nil {
		panic(err) // cannot fail for these types
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := e.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: e.Key, ModRevision: term.Fence}, {Key: e.SettledKey, ModRevision: replaces}},
		Puts:       []kv.Put{{Key: e.SettledKey, Value: value}},
	})
	if err == nil && !result.Succeeded {
		// An earlier write may have taken effect without a response.
		if _, err = e.ReadSettled(ctx); err == nil {
			err = errors.Errorf("the record %s or the one of the term has changed", e.SettledKey)
		}
	}
	if err != nil {
		return errors.Wrapf(err, "write the electorate of the term with fencing token %d", fence)
	}
	e.setSettledRevision(result.Revision)
	return nil
}

func (e *Election) setSettledRevision(revision int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settledRevision = revision
}

// ReadSettled reads what earlier leaders recorded. It must be called during the term, which keeps them from recording more.
func (e *Election) ReadSettled(ctx context.Context) (Settled, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pair, found, err := e.store.Get(ctx, e.SettledKey)
	if err != nil {
		return Settled{}, errors.Wrap(err, "read the electorate of earlier terms")
	}
	e.setSettledRevision(pair.ModRevision)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !found {
		return Settled{Known: kv.EraOf(e.term.Fence) == 0}, nil
	}
	var record settledRecord
	if err := json.Unmarshal(pair.Value, &record); err != nil {
		return Settled{}, errors.Wrapf(err, "decode the record %s", e.SettledKey)
	}
	return Settled{
		Own:        record.Nonce == e.beginning.earlierNonce && record.Complete,
		Electorate: record.Electorate,
		Known:      record.Era == kv.EraOf(pair.ModRevision) && record.Era == kv.EraOf(e.term.Fence),
	}, nil
}
