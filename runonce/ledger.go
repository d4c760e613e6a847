// Package runonce keeps requests that carry an idempotency key from running more
// than once: a key is claimed before dispatch, and the outcome is kept so that a
// repeat at any daemon gets it.
//
// Claims live in the key-value service for now: one write before dispatch and
// one after. Without the service a keyed request is refused, not run. Groups of
// daemons that hold claims without that service are not built yet.
package runonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/gzipped"
	"github.com/finchspoke/finchspoke/kv"
)

const (
	keyPrefix = "/finchspoke/runonce/"
	// Kept is how long an outcome can be asked for again.
	Kept = 24 * time.Hour
	// leaseRenewal is how long one lease is used for new claims.
	leaseRenewal = time.Hour
	// maxOutcomeBytes bounds a stored answer; of a longer one only the fact
	// that it completed is kept.
	maxOutcomeBytes = 512 << 10
)

// State of a claim.
type State string

// The states.
const (
	Claimed   State = "claimed"
	Completed State = "completed"
	// Unsettled means that the request was dispatched and its outcome was lost.
	Unsettled State = "unsettled"
)

// Outcome is an answer as it was given.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"-"`
	Compressed  []byte `json:"body_gzip,omitempty"`
	// Dropped says that the body was too long to keep.
	Dropped bool `json:"dropped,omitempty"`
}

// Record is a claim as stored.
type Record struct {
	State       State     `json:"state"`
	RequestID   string    `json:"request_id"`  // unique to the claim
	Fingerprint string    `json:"fingerprint"` // of what was asked
	ClaimedAt   time.Time `json:"claimed_at"`
	// SettledBy is when the outcome is stored at the latest; a claim without one
	// after that is unsettled.
	SettledBy time.Time `json:"settled_by"`
	Outcome   *Outcome  `json:"outcome,omitempty"`
}

// Claim is a key held by this daemon.
type Claim struct {
	storeKey string
	revision int64
	record   Record
}

// Ledger keeps claims in a key-value service.
type Ledger struct {
	store kv.Store
	now   func() time.Time

	mutex     sync.Mutex
	lease     kv.LeaseID
	leaseFrom time.Time
}

// NewLedger returns a ledger that takes the time from now.
func NewLedger(store kv.Store, now func() time.Time) *Ledger {
	return &Ledger{store: store, now: now}
}

// Fingerprint identifies what a request asks, so that a key cannot be used for
// something else.
func Fingerprint(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write(part) // never fails
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Claim claims a key of a branch. It returns the claim, or the record that stands
// if the key was claimed before, or a *failure.Error that is true to "not run".
func (l *Ledger) Claim(ctx context.Context, branch, key string, wanted Record) (*Claim, *Record, error) {
	lease, err := l.currentLease(ctx)
	if err != nil {
		return nil, nil, unavailable(err)
	}
	wanted.State = Claimed
	value, err := json.Marshal(wanted)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode claim")
	}
	storeKey := keyPrefix + branch + "/" + Fingerprint([]byte(key))
	result, err := kv.CommitResolved(ctx, l.store, kv.Txn{
		Conditions: []kv.Condition{{Key: storeKey}},
		Puts:       []kv.Put{{Key: storeKey, Value: value, Lease: lease}},
	})
	if err != nil {
		return nil, nil, unavailable(err)
	}
	if result.Succeeded {
		return &Claim{storeKey: storeKey, revision: result.Revision, record: wanted}, nil, nil
	}
	standing, err := l.read(ctx, storeKey)
	if err != nil {
		return nil, nil, unavailable(err)
	}
	if standing == nil {
		return nil, nil, unavailable(errors.New("the claim that stood was released just now"))
	}
	if standing.Fingerprint != wanted.Fingerprint {
		return nil, nil, failure.New(failure.KeyReused, "use a new idempotency key for a new request",
			"the idempotency key was used for a different request")
	}
	return nil, standing, nil
}

func unavailable(err error) error {
	return failure.Wrap(err, failure.ClaimUnavailable, "repeat the request with the same key",
		"the idempotency key could not be claimed").WithRetryAfter(time.Second)
}

// Look returns the record of a key as it stands now; one whose holder missed its
// time is unsettled.
func (l *Ledger) Look(ctx context.Context, branch, key string) (*Record, error) {
	return l.read(ctx, keyPrefix+branch+"/"+Fingerprint([]byte(key)))
}

func (l *Ledger) read(ctx context.Context, storeKey string) (*Record, error) {
	pair, found, err := l.store.Get(ctx, storeKey)
	if err != nil || !found {
		return nil, err
	}
	var record Record
	if err := json.Unmarshal(pair.Value, &record); err != nil {
		return nil, errors.Wrap(err, "read claim")
	}
	if record.State == Claimed && l.now().After(record.SettledBy) {
		record.State = Unsettled
	}
	if record.Outcome != nil && !record.Outcome.Dropped {
		body, err := gzipped.Decompress(record.Outcome.Compressed, maxOutcomeBytes)
		if err != nil {
			return nil, err
		}
		record.Outcome.Body = body
	}
	return &record, nil
}

// Complete stores a claim's outcome.
func (l *Ledger) Complete(ctx context.Context, claim *Claim, outcome Outcome) error {
	record := claim.record
	record.State = Completed
	if len(outcome.Body) > maxOutcomeBytes {
		outcome.Dropped = true
	} else {
		outcome.Compressed = gzipped.Compress(outcome.Body)
	}
	record.Outcome = &outcome
	return l.replace(ctx, claim, record)
}

// Unsettle stores that a claim's request may have run and its outcome is lost.
func (l *Ledger) Unsettle(ctx context.Context, claim *Claim) error {
	record := claim.record
	record.State = Unsettled
	return l.replace(ctx, claim, record)
}

func (l *Ledger) replace(ctx context.Context, claim *Claim, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	lease, err := l.currentLease(ctx)
	if err != nil {
		return err
	}
	_, err = kv.CommitResolved(ctx, l.store, kv.Txn{
		Conditions: []kv.Condition{{Key: claim.storeKey, ModRevision: claim.revision}},
		Puts:       []kv.Put{{Key: claim.storeKey, Value: value, Lease: lease}},
	})
	return err
}

// Release gives a claim back after the request certainly did not run, so that
// the key can be used again.
func (l *Ledger) Release(ctx context.Context, claim *Claim) error {
	_, err := l.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: claim.storeKey, ModRevision: claim.revision}},
		Deletes:    []string{claim.storeKey},
	})
	return err
}

// currentLease returns a lease that outlives Kept; one serves many claims.
func (l *Ledger) currentLease(ctx context.Context) (kv.LeaseID, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lease != 0 && l.now().Sub(l.leaseFrom) < leaseRenewal {
		return l.lease, nil
	}
	from := l.now()
	lease, err := l.store.GrantLease(ctx, Kept+leaseRenewal)
	if err != nil {
		return 0, err
	}
	l.lease, l.leaseFrom = lease, from
	return lease, nil
}
