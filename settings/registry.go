package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/gzipped"
	"github.com/finchspoke/finchspoke/kv"
)

// Keys in the key-value service. Each accepted revision is stored under its history
// key, which is written once, and the current one also under currentKey.
const (
	KeyPrefix     = "/finchspoke/settings/"
	currentKey    = KeyPrefix + "current"
	historyPrefix = KeyPrefix + "history/"
	// operationPrefix maps each operation id to the revision it created.
	operationPrefix = KeyPrefix + "operation/"
	// historyLimit is how many revisions the history retains.
	historyLimit = 100
	maxYAMLBytes = 64 * MiB
)

// Record is a revision as stored. Its YAML is gzip-compressed, because every daemon
// fetches each revision.
type Record struct {
	Number      uint64    `json:"revision"`
	OperationID string    `json:"operation_id"`
	Author      string    `json:"author"`
	AppliedAt   time.Time `json:"applied_at"`
	Compressed  []byte    `json:"yaml_gzip"`
}

// Registry stores accepted revisions in the key-value service.
type Registry struct {
	store kv.Store
	now   func() time.Time
}

// NewRegistry returns a registry that takes the time of revisions from now.
func NewRegistry(store kv.Store, now func() time.Time) *Registry {
	return &Registry{store: store, now: now}
}

// ApplyRequest is an operator's request to make a tree the next revision.
type ApplyRequest struct {
	BaseRevision uint64 // revision that the tree was diffed against
	OperationID  string // makes a retry after a lost response idempotent
	Author       string
	Tree         *Tree
}

// Apply accepts a tree as the next revision. If the base revision is no longer current,
// the error lists the paths changed since. A retry of an accepted operation returns the
// revision that the operation created.
func (r *Registry) Apply(ctx context.Context, request ApplyRequest) (*Revision, error) {
	current, modRevision, err := r.current(ctx)
	if err != nil {
		return nil, unavailableError(err)
	}
	if accepted, err := r.findOperation(ctx, request.OperationID); err != nil {
		return nil, unavailableError(err)
	} else if accepted != nil {
		return repeatedOperation(accepted, request)
	}
	if request.BaseRevision != current.Number {
		return nil, r.conflictError(ctx, request, current)
	}
	return r.commit(ctx, request, current.Number+1, modRevision)
}

// repeatedOperation returns the revision of a retried operation, or an error if the id was
// used for different content.
func repeatedOperation(accepted *Record, request ApplyRequest) (*Revision, error) {
	revision, err := Decode(*accepted)
	if err != nil {
		return nil, err
	}
	if changes := Diff(revision.Tree.Document(), request.Tree.Document()); len(changes) > 0 {
		return nil, failure.New(failure.SettingsConflict, "use a new operation id for a new change",
			"operation %s was already accepted as revision %d with different content", request.OperationID, accepted.Number)
	}
	return revision, nil
}

func (r *Registry) commit(ctx context.Context, request ApplyRequest, number uint64, modRevision int64) (*Revision, error) {
	text, err := Marshal(request.Tree.Document())
	if err != nil {
		return nil, err
	}
	record := Record{
		Number: number, OperationID: request.OperationID, Author: request.Author,
		AppliedAt: r.now().UTC(), Compressed: gzipped.Compress(text),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings record")
	}
	// CommitResolved checks the first key to find out whether a commit without a response
	// took effect. The history key is written once, so later revisions do not change it.
	operationKey := operationPrefix + request.OperationID
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: historyKey(number)}, {Key: currentKey, ModRevision: modRevision}, {Key: operationKey}},
		Puts: []kv.Put{{Key: historyKey(number), Value: value}, {Key: currentKey, Value: value},
			{Key: operationKey, Value: []byte(strconv.FormatUint(number, 10))}},
		Deletes: r.expiredKeys(ctx, number),
	}
	result, err := kv.CommitResolved(ctx, r.store, txn)
	if errors.Is(err, kv.ErrUncertain) {
		return nil, failure.Wrap(err, failure.SettingsUncertain,
			"repeat the command with the same operation id "+request.OperationID, "the change may or may not have been accepted").
			WithExecution(failure.Unknown)
	}
	if err != nil {
		return nil, unavailableError(err)
	}
	if !result.Succeeded {
		newest, _, err := r.current(ctx)
		if err != nil {
			return nil, unavailableError(err)
		}
		return nil, r.conflictError(ctx, request, newest)
	}
	return &Revision{Number: number, OperationID: record.OperationID, Author: record.Author, AppliedAt: record.AppliedAt,
		YAML: text, Tree: request.Tree}, nil
}

// expiredKeys returns the keys of the revision that drops out of the history. If that
// revision cannot be read, its operation key stays, which is harmless.
func (r *Registry) expiredKeys(ctx context.Context, number uint64) []string {
	if number <= historyLimit {
		return nil
	}
	oldest := historyKey(number - historyLimit)
	pair, found, err := r.store.Get(ctx, oldest)
	if err != nil || !found {
		return nil
	}
	record, err := decodeRecord(pair.Value)
	if err != nil {
		return []string{oldest}
	}
	return []string{oldest, operationPrefix + record.OperationID}
}

// conflictError lists the paths changed between the request's base and the newest revision.
func (r *Registry) conflictError(ctx context.Context, request ApplyRequest, newest Record) error {
	remedy := fmt.Sprintf("diff against revision %d, merge, and apply with --base-revision %d", newest.Number, newest.Number)
	base, err := r.Get(ctx, request.BaseRevision)
	if err != nil {
		return failure.New(failure.SettingsConflict, remedy,
			"the base revision %d is not the current revision %d and is no longer in the history", request.BaseRevision, newest.Number)
	}
	current, err := Decode(newest)
	if err != nil {
		return err
	}
	paths := changedPaths(Diff(base.Tree.Document(), current.Tree.Document()))
	return failure.New(failure.SettingsConflict, remedy,
		"revision %d replaced the base revision %d; changed since: %s", newest.Number, request.BaseRevision, strings.Join(paths, ", "))
}

// maxConflictPaths limits the paths listed in a conflict error.
const maxConflictPaths = 20

func changedPaths(changes []Change) []string {
	var paths []string
	for _, change := range changes {
		if len(paths) == maxConflictPaths {
			return append(paths, fmt.Sprintf("and %d more", len(changes)-maxConflictPaths))
		}
		paths = append(paths, change.Path)
	}
	return paths
}

// Get returns an accepted revision. Revision zero is the empty tree.
func (r *Registry) Get(ctx context.Context, number uint64) (*Revision, error) {
	if number == 0 {
		return &Revision{Tree: newTree()}, nil
	}
	pair, found, err := r.store.Get(ctx, historyKey(number))
	if err != nil {
		return nil, unavailableError(err)
	}
	if !found {
		return nil, failure.New(failure.InvalidRequest, "list the retained revisions with `finchspoke settings history`",
			"revision %d is not in the history", number)
	}
	return DecodeValue(pair.Value)
}

// History returns the retained revisions, oldest first.
func (r *Registry) History(ctx context.Context) ([]Record, error) {
	pairs, _, err := r.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, unavailableError(err)
	}
	records := make([]Record, 0, len(pairs))
	for _, pair := range pairs {
		record, err := decodeRecord(pair.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Follow advances store to each accepted revision until ctx ends. It calls onError for a
// revision that this daemon cannot read.
func (r *Registry) Follow(ctx context.Context, store *Store, onError func(error)) error {
	return kv.Follow(ctx, r.store, currentKey, func(event kv.Event) {
		if event.Deleted {
			return
		}
		record, err := decodeRecord(event.Pair.Value)
		if err == nil && record.Number <= store.Number() {
			return
		}
		var revision *Revision
		if err == nil {
			revision, err = Decode(record)
		}
		if err != nil {
			onError(err)
			return
		}
		store.Advance(revision)
	})
}

func (r *Registry) current(ctx context.Context) (Record, int64, error) {
	pair, found, err := r.store.Get(ctx, currentKey)
	if err != nil || !found {
		return Record{}, 0, err
	}
	record, err := decodeRecord(pair.Value)
	return record, pair.ModRevision, err
}

// findOperation returns the record that an operation created, or nil if there is none.
func (r *Registry) findOperation(ctx context.Context, operationID string) (*Record, error) {
	operation, found, err := r.store.Get(ctx, operationPrefix+operationID)
	if err != nil || !found {
		return nil, err
	}
	number, err := strconv.ParseUint(string(operation.Value), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "read operation record")
	}
	pair, found, err := r.store.Get(ctx, historyKey(number))
	if err != nil || !found {
		return nil, err
	}
	record, err := decodeRecord(pair.Value)
	return &record, err
}

// Decode decompresses, checks and resolves a stored record.
func Decode(record Record) (*Revision, error) {
	text, err := gzipped.Decompress(record.Compressed, maxYAMLBytes)
	if err != nil {
		return nil, err
	}
	tree, err := Parse(Source{Name: fmt.Sprintf("settings@%d", record.Number), Data: text})
	if err != nil {
		return nil, err
	}
	return &Revision{
		Number: record.Number, OperationID: record.OperationID, Author: record.Author,
		AppliedAt: record.AppliedAt, YAML: text, Tree: tree,
	}, nil
}

// DecodeValue decodes a record as stored in the key-value service.
func DecodeValue(value []byte) (*Revision, error) {
	record, err := decodeRecord(value)
	if err != nil {
		return nil, err
	}
	return Decode(record)
}

// Encode converts a revision to a record; it is the reverse of Decode.
func Encode(revision *Revision) Record {
	return Record{
		Number: revision.Number, OperationID: revision.OperationID, Author: revision.Author,
		AppliedAt: revision.AppliedAt, Compressed: gzipped.Compress(revision.YAML),
	}
}

func decodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(err, "read settings record")
	}
	return record, nil
}

func historyKey(number uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, number) }

func unavailableError(err error) error {
	var typed *failure.Error
	if errors.As(err, &typed) {
		return err
	}
	return failure.Wrap(err, failure.Unavailable, "retry when the key-value service responds",
		"the key-value service did not respond; nothing was changed")
}
