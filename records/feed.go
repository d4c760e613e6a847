package records

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
)

// Feed forwards the mirror's records to peers. It implements rpc.DRPCRecordsServer.
type Feed struct {
	Mirror *Mirror

	mutex sync.Mutex
	// cache holds recently encoded updates, which are reused for other peers that need the same ones.
	cache map[cacheKey]*rpc.RecordsUpdate
}

// cacheKey identifies an update by the records in it: peers at different revisions often need the
// same ones.
type cacheKey struct {
	first, last             int64 // revisions of the first and last change
	count                   int
	complete, omitsReplicas bool
}

func cacheKeyOf(update Update) cacheKey {
	key := cacheKey{last: update.Revision, count: len(update.Events), complete: update.Whole, omitsReplicas: update.OmitsReplicaRecords}
	if !update.Whole {
		key.first, key.last = update.Events[0].Pair.ModRevision, update.Events[len(update.Events)-1].Pair.ModRevision
	}
	return key
}

// maxCachedUpdates bounds the encoded updates in the cache.
const maxCachedUpdates = 16

// errBehind ends a stream to a peer whose revision is too old for incremental changes, and which
// can poll the store itself.
var errBehind = errors.New("known revision is too old for incremental changes; poll the key-value service")

// Follow implements rpc.DRPCRecordsServer.
func (f *Feed) Follow(stream rpc.DRPCRecords_FollowStream) error {
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	var peerRequest peerRequest
	peerRequest.set(request)
	failed := make(chan error, 1)
	go func() { failed <- peerRequest.receive(stream) }()
	peer := peerState{revision: request.GetKnownRevision()}
	for first := true; ; first = false {
		// The query is read before the records, so that the reported state is later than the query.
		query := peerRequest.query.Load()
		peer = f.nextState(peer, peerRequest.all.Load())
		update, changed := f.Mirror.since(peer)
		if update.Whole && first && !request.GetWhole() && !update.OmitsReplicaRecords { // a list without replica records is short
			return errBehind
		}
		message := f.message(update, f.Mirror.now())
		message.Question = query
		if err := stream.Send(message); err != nil {
			return err
		}
		peer.revision = max(peer.revision, update.Revision)
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case err := <-failed:
			return err
		case <-changed:
		}
		if peer.omitsReplicas {
			sleep.For(stream.Context(), partialBatchDelay)
		}
	}
}

// partialBatchDelay batches updates to peers without replica records. There are many of them, and
// they tolerate a delay of a fraction of a second.
const partialBatchDelay = 100 * time.Millisecond

// nextState returns the state of a peer for the next update. A peer that gets replica records again
// is sent all records.
func (f *Feed) nextState(peer peerState, all bool) peerState {
	omitsReplicas := f.Mirror.TooManyReplicas() && !all
	if peer.omitsReplicas && !omitsReplicas {
		peer.revision = 0
	}
	peer.omitsReplicas = omitsReplicas
	return peer
}

// peerRequest is the latest state that a peer sent on its stream.
type peerRequest struct {
	query atomic.Uint64
	all   atomic.Bool
}

func (r *peerRequest) set(message *rpc.FollowRecords) {
	r.query.Store(message.GetQuestion())
	r.all.Store(message.GetAll())
}

// receive reads the peer's messages until the stream breaks.
func (r *peerRequest) receive(stream rpc.DRPCRecords_FollowStream) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		r.set(message)
	}
}

// message encodes an update.
func (f *Feed) message(update Update, now time.Time) *rpc.RecordsUpdate {
	message := &rpc.RecordsUpdate{Revision: update.Revision, Whole: update.Whole, WithoutReplicas: update.OmitsReplicaRecords, SecondHand: update.SecondHand, ContactAgeMs: unknownAge, ProvenAgeMs: unknownAge}
	if !update.LastContact.IsZero() {
		message.ContactAgeMs = max(0, now.Sub(update.LastContact).Milliseconds())
	}
	if !update.Verified.IsZero() {
		message.ProvenAgeMs = ceilMillis(now.Sub(update.Verified))
	}
	if len(update.Events) > 0 {
		content := f.content(cacheKeyOf(update), update.Events)
		message.Records, message.Gone, message.Packed = content.GetRecords(), content.GetGone(), content.GetPacked()
	}
	return message
}

// unknownAge is sent as the age of an event that never happened.
const unknownAge = -1

// ceilMillis returns an age in milliseconds, rounded up: a verification must not look newer than it
// is.
func ceilMillis(age time.Duration) int64 {
	return int64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

// content returns the encoded records of an update, compressed if they are long.
func (f *Feed) content(key cacheKey, events []kv.Event) *rpc.RecordsUpdate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if cached := f.cache[key]; cached != nil {
		return cached
	}
	content := &rpc.RecordsUpdate{}
	for _, event := range events {
		record := &rpc.Record{Key: event.Pair.Key, Value: event.Pair.Value, Revision: event.Pair.ModRevision}
		if event.Deleted {
			content.Gone = append(content.Gone, record)
		} else {
			content.Records = append(content.Records, record)
		}
	}
	if f.cache == nil || len(f.cache) >= maxCachedUpdates {
		f.cache = map[cacheKey]*rpc.RecordsUpdate{}
	}
	f.cache[key] = content.Pack()
	return f.cache[key]
}

// decodeUpdate decodes a message that was received at the time now. queried is when this daemon sent
// the query that the message answers; zero if unknown.
func decodeUpdate(message *rpc.RecordsUpdate, now, queried time.Time) (Update, error) {
	message, err := message.Unpack()
	if err != nil {
		return Update{}, err
	}
	update := Update{Revision: message.GetRevision(), Whole: message.GetWhole(), OmitsReplicaRecords: message.GetWithoutReplicas(), SecondHand: message.GetSecondHand()}
	if age := message.GetContactAgeMs(); age >= 0 {
		update.LastContact = now.Add(-time.Duration(age) * time.Millisecond)
	}
	if age := message.GetProvenAgeMs(); age >= 0 && !queried.IsZero() {
		update.Verified = queried.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, record := range message.GetRecords() {
		pair := kv.Pair{Key: record.GetKey(), Value: record.GetValue(), ModRevision: record.GetRevision()}
		update.Events = append(update.Events, kv.Event{Pair: pair})
	}
	for _, record := range message.GetGone() {
		update.Events = append(update.Events, kv.Event{Pair: kv.Pair{Key: record.GetKey(), ModRevision: record.GetRevision()}, Deleted: true})
	}
	// The message lists written and deleted records separately; changes are kept and forwarded in
	// the order of their revisions.
	slices.SortStableFunc(update.Events, func(a, b kv.Event) int { return cmp.Compare(a.Pair.ModRevision, b.Pair.ModRevision) })
	return update, nil
}

// errUpdateRejected ends a stream whose peer omits replica records that this daemon requires, or
// lists them at an older revision. Later messages would assume that the rejected update was applied.
var errUpdateRejected = errors.New("peer omits replica records that this daemon requires, or is behind; subscribing again")

// followPeer applies the updates of a peer until the stream breaks.
func (m *Mirror) followPeer(ctx context.Context, client rpc.DRPCRecordsClient, daemonID string) error {
	stream, err := client.Follow(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer m.setSubscribed(false)
	var pending pendingQueries
	first := &rpc.FollowRecords{DaemonId: daemonID, KnownRevision: m.Revision(), Whole: !m.hasRecentContact(), Question: pending.next(m.now()), All: m.RequiresAll()}
	if m.missingReplicas() {
		first.KnownRevision, first.Whole = 0, true
	}
	if err := stream.Send(first); err != nil {
		return err
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		m.setSubscribed(true)
		queried, _ := pending.resolve(message.GetQuestion())
		update, err := decodeUpdate(message, m.now(), queried)
		if err != nil {
			return err
		}
		if !m.ApplyUpdate(update) {
			return errUpdateRejected
		}
		if err := stream.Send(&rpc.FollowRecords{Question: pending.next(m.now()), All: m.RequiresAll()}); err != nil {
			return err
		}
	}
}
