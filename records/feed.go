package records

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/rpc"
)

// Feed passes the mirror's records on to peers. It implements rpc.DRPCRecordsServer.
type Feed struct {
	Mirror *Mirror

	mutex sync.Mutex
	// packed are the records of the newest updates, by what the peer knew: peers that
	// know the same share the work.
	packed map[packedKey]*rpc.RecordsUpdate
}

// packedKey names an update by what the peer knew and what it then knows.
type packedKey struct {
	known, revision int64
	whole           bool
}

// mostPacked bounds the updates that are kept for other peers.
const mostPacked = 16

// errBehind ends a stream to a peer whose revision is too old for changes to be sent,
// and which can ask the service itself.
var errBehind = errors.New("the changes since the revision known are not kept; ask the key-value service")

// Follow implements rpc.DRPCRecordsServer.
func (f *Feed) Follow(request *rpc.FollowRecords, stream rpc.DRPCRecords_FollowStream) error {
	known := request.GetKnownRevision()
	for first := true; ; first = false {
		update, changed := f.Mirror.since(known)
		if update.Whole && first && !request.GetWhole() {
			return errBehind
		}
		if err := stream.Send(f.message(known, update, time.Now())); err != nil {
			return err
		}
		known = max(known, update.Revision)
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		}
	}
}

// message makes the message of an update for a peer that knows a revision.
func (f *Feed) message(known int64, update Update, now time.Time) *rpc.RecordsUpdate {
	message := &rpc.RecordsUpdate{Revision: update.Revision, Whole: update.Whole, ContactAgeMs: neverInContact}
	if !update.Contact.IsZero() {
		message.ContactAgeMs = max(0, now.Sub(update.Contact).Milliseconds())
	}
	if len(update.Events) > 0 {
		content := f.content(packedKey{known, update.Revision, update.Whole}, update.Events)
		message.Records, message.Gone, message.Packed = content.GetRecords(), content.GetGone(), content.GetPacked()
	}
	return message
}

// neverInContact is the age of a contact that there never was.
const neverInContact = -1

// content returns the records of an update, compressed if they are long.
func (f *Feed) content(key packedKey, events []kv.Event) *rpc.RecordsUpdate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.packed[key]; known != nil {
		return known
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
	if f.packed == nil || len(f.packed) >= mostPacked {
		f.packed = map[packedKey]*rpc.RecordsUpdate{}
	}
	f.packed[key] = content.Pack()
	return f.packed[key]
}

// updateOf reads a peer's message.
func updateOf(message *rpc.RecordsUpdate, now time.Time) (Update, error) {
	message, err := message.Unpack()
	if err != nil {
		return Update{}, err
	}
	update := Update{Revision: message.GetRevision(), Whole: message.GetWhole()}
	if age := message.GetContactAgeMs(); age >= 0 {
		update.Contact = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, record := range message.GetRecords() {
		pair := kv.Pair{Key: record.GetKey(), Value: record.GetValue(), ModRevision: record.GetRevision()}
		update.Events = append(update.Events, kv.Event{Pair: pair})
	}
	for _, record := range message.GetGone() {
		update.Events = append(update.Events, kv.Event{Pair: kv.Pair{Key: record.GetKey(), ModRevision: record.GetRevision()}, Deleted: true})
	}
	// The message names what was written apart from what is gone; changes are kept, and passed
	// on, in the order of revisions.
	slices.SortStableFunc(update.Events, func(a, b kv.Event) int { return cmp.Compare(a.Pair.ModRevision, b.Pair.ModRevision) })
	return update, nil
}

// followPeer takes in what a peer passes on until the stream breaks.
func (m *Mirror) followPeer(ctx context.Context, client rpc.DRPCRecordsClient, daemonID string) error {
	stream, err := client.Follow(ctx, &rpc.FollowRecords{DaemonId: daemonID, KnownRevision: m.Revision(), Whole: !m.answeredLately()})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer m.listen(false)
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		m.listen(true)
		update, err := updateOf(message, time.Now())
		if err != nil {
			return err
		}
		m.Take(update)
	}
}
