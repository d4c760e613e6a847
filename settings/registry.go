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

// Keys in the key-value service. The current revision's whole record stands
// under currentKey; each accepted revision also stands under its history key,
// which is written once.
const (
	KeyPrefix     = "/finchspoke/settings/"
	currentKey    = KeyPrefix + "current"
	historyPrefix = KeyPrefix + "history/"
	// operationPrefix holds, for each operation id, the revision it made.
	operationPrefix = KeyPrefix + "operation/"
	// historyKept is how many revisions the history holds.
	historyKept = 100
	maxYAML     = 64 * MiB
)

// Record is a revision as stored. YAML is gzip-compressed: 880 models and 3,500
// adapters change 1,300 times a day, and every daemon fetches each change.
type Record struct {
	Number      uint64    `json:"revision"`
	OperationID string    `json:"operation_id"`
	Author      string    `json:"author"`
	AppliedAt   time.Time `json:"applied_at"`
	Compressed  []byte    `json:"yaml_gzip"`
}

// Registry is the record of accepted revisions in the key-value service.
type Registry struct {
	store kv.Store
	now   func() time.Time
}

// NewRegistry returns a registry that stamps revisions with now.
func NewRegistry(store kv.Store, now func() time.Time) *Registry {
	return &Registry{store: store, now: now}
}

// Application is an operator's wish to put a tree in force.
type Application struct {
	BaseRevision uint64 // the revision the tree was diffed against
	OperationID  string // makes a repeat safe when an answer was lost
	Author       string
	Tree         *Tree
}

// Apply accepts a tree as the next revision. It refuses one whose base is no
// longer current, naming the paths that changed since; a repeat of an accepted
// operation returns the revision it made.
func (r *Registry) Apply(ctx context.Context, application Application) (*Revision, error) {
	current, modRevision, err := r.current(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	if accepted, err := r.findOperation(ctx, application.OperationID); err != nil {
		return nil, unavailable(err)
	} else if accepted != nil {
		return sameOperation(accepted, application)
	}
	if application.BaseRevision != current.Number {
		return nil, r.conflict(ctx, application, current)
	}
	return r.commit(ctx, application, current.Number+1, modRevision)
}

// sameOperation answers a repeat, and refuses an id used for something else.
func sameOperation(accepted *Record, application Application) (*Revision, error) {
	revision, err := Decode(*accepted)
	if err != nil {
		return nil, err
	}
	if changes := Diff(revision.Tree.Document(), application.Tree.Document()); len(changes) > 0 {
		return nil, failure.New(failure.SettingsConflict, "use a new operation id for a new change",
			"operation %s was already accepted as revision %d with other content", application.OperationID, accepted.Number)
	}
	return revision, nil
}

func (r *Registry) commit(ctx context.Context, application Application, number uint64, modRevision int64) (*Revision, error) {
	text, err := Marshal(application.Tree.Document())
	if err != nil {
		return nil, err
	}
	record := Record{
		Number: number, OperationID: application.OperationID, Author: application.Author,
		AppliedAt: r.now().UTC(), Compressed: gzipped.Compress(text),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings record")
	}
	// The history key comes first: it is written once, so it proves whether a
	// commit whose answer was lost took effect even when others followed.
	operationKey := operationPrefix + application.OperationID
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: historyKey(number)}, {Key: currentKey, ModRevision: modRevision}, {Key: operationKey}},
		Puts: []kv.Put{{Key: historyKey(number), Value: value}, {Key: currentKey, Value: value},
			{Key: operationKey, Value: []byte(strconv.FormatUint(number, 10))}},
		Deletes: r.expired(ctx, number),
	}
	result, err := kv.CommitResolved(ctx, r.store, txn)
	if errors.Is(err, kv.ErrUncertain) {
		return nil, failure.Wrap(err, failure.SettingsUncertain,
			"repeat the command with the same operation id "+application.OperationID, "the change may or may not be accepted").
			WithExecution(failure.Unknown)
	}
	if err != nil {
		return nil, unavailable(err)
	}
	if !result.Succeeded {
		newest, _, err := r.current(ctx)
		if err != nil {
			return nil, unavailable(err)
		}
		return nil, r.conflict(ctx, application, newest)
	}
	return &Revision{Number: number, OperationID: record.OperationID, Author: record.Author, AppliedAt: record.AppliedAt,
		YAML: text, Tree: application.Tree}, nil
}

// expired returns the keys of the revision that leaves the history. If it cannot
// be read now, its operation id stays, which is harmless.
func (r *Registry) expired(ctx context.Context, number uint64) []string {
	if number <= historyKept {
		return nil
	}
	oldest := historyKey(number - historyKept)
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

// conflict names what changed between the application's base and the newest.
func (r *Registry) conflict(ctx context.Context, application Application, newest Record) error {
	remedy := fmt.Sprintf("diff against revision %d, merge, and apply with --base-revision %d", newest.Number, newest.Number)
	base, err := r.Get(ctx, application.BaseRevision)
	if err != nil {
		return failure.New(failure.SettingsConflict, remedy,
			"the base revision %d is not the current revision %d, and is no longer in the history", application.BaseRevision, newest.Number)
	}
	current, err := Decode(newest)
	if err != nil {
		return err
	}
	paths := changedPaths(Diff(base.Tree.Document(), current.Tree.Document()))
	return failure.New(failure.SettingsConflict, remedy,
		"revision %d replaced your base %d; changed since: %s", newest.Number, application.BaseRevision, strings.Join(paths, ", "))
}

// maxPathsNamed keeps a conflict readable.
const maxPathsNamed = 20

func changedPaths(changes []Change) []string {
	var paths []string
	for _, change := range changes {
		if len(paths) == maxPathsNamed {
			return append(paths, fmt.Sprintf("and %d more", len(changes)-maxPathsNamed))
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
		return nil, unavailable(err)
	}
	if !found {
		return nil, failure.New(failure.InvalidRequest, "list the revisions kept with `finchspoke settings history`",
			"revision %d is not in the history", number)
	}
	return DecodeValue(pair.Value)
}

// History returns the accepted revisions that are kept, oldest first.
func (r *Registry) History(ctx context.Context) ([]Record, error) {
	pairs, _, err := r.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, unavailable(err)
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

// Follow puts each accepted revision in force in store until ctx ends. report is
// told of a revision that this daemon cannot read.
func (r *Registry) Follow(ctx context.Context, store *Store, report func(error)) error {
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
			report(err)
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

// findOperation returns the record that an operation made, if it was accepted.
func (r *Registry) findOperation(ctx context.Context, operationID string) (*Record, error) {
	made, found, err := r.store.Get(ctx, operationPrefix+operationID)
	if err != nil || !found {
		return nil, err
	}
	number, err := strconv.ParseUint(string(made.Value), 10, 64)
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

// Decode checks and resolves a stored record.
func Decode(record Record) (*Revision, error) {
	text, err := gzipped.Decompress(record.Compressed, maxYAML)
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

// DecodeValue is Decode for a value as stored.
func DecodeValue(value []byte) (*Revision, error) {
	record, err := decodeRecord(value)
	if err != nil {
		return nil, err
	}
	return Decode(record)
}

// Encode is the reverse of Decode.
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

func unavailable(err error) error {
	var typed *failure.Error
	if errors.As(err, &typed) {
		return err
	}
	return failure.Wrap(err, failure.Unavailable, "try again when the key-value service answers",
		"the key-value service did not answer; nothing was changed")
}
