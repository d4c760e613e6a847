package records

import (
	"context"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/gzipped"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// compressFrom is the size of a value, in bytes, from which it is passed on
	// compressed.
	compressFrom  = 1 << 10
	maxValueBytes = 16 << 20
)

// Feed passes the mirror's records on to peers. It implements rpc.DRPCRecordsServer.
type Feed struct {
	Mirror *Mirror

	mutex  sync.Mutex
	packed map[string]*rpc.Record // long records, compressed once for all peers
}

// Follow implements rpc.DRPCRecordsServer.
func (f *Feed) Follow(request *rpc.FollowRecords, stream rpc.DRPCRecords_FollowStream) error {
	known := request.GetKnownRevision()
	for {
		update, changed := f.Mirror.since(known)
		if err := stream.Send(f.message(update, time.Now())); err != nil {
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

func (f *Feed) message(update Update, now time.Time) *rpc.RecordsUpdate {
	message := &rpc.RecordsUpdate{Revision: update.Revision, Whole: update.Whole, ContactAgeMs: neverInContact}
	if !update.Contact.IsZero() {
		message.ContactAgeMs = max(0, now.Sub(update.Contact).Milliseconds())
	}
	for _, event := range update.Events {
		if event.Deleted {
			message.Gone = append(message.Gone, &rpc.Record{Key: event.Pair.Key, Revision: event.Pair.ModRevision})
		} else {
			message.Records = append(message.Records, f.record(event.Pair))
		}
	}
	return message
}

// neverInContact is the age of a contact that there never was.
const neverInContact = -1

// record makes the message of a record.
func (f *Feed) record(pair kv.Pair) *rpc.Record {
	if len(pair.Value) < compressFrom {
		return &rpc.Record{Key: pair.Key, Value: pair.Value, Revision: pair.ModRevision}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.packed[pair.Key]; known != nil && known.GetRevision() == pair.ModRevision {
		return known
	}
	if f.packed == nil {
		f.packed = map[string]*rpc.Record{}
	}
	made := &rpc.Record{Key: pair.Key, Value: gzipped.Compress(pair.Value), Revision: pair.ModRevision, Compressed: true}
	f.packed[pair.Key] = made
	return made
}

// updateOf reads a peer's message.
func updateOf(message *rpc.RecordsUpdate, now time.Time) (Update, error) {
	update := Update{Revision: message.GetRevision(), Whole: message.GetWhole()}
	if age := message.GetContactAgeMs(); age >= 0 {
		update.Contact = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, record := range message.GetRecords() {
		pair := kv.Pair{Key: record.GetKey(), Value: record.GetValue(), ModRevision: record.GetRevision()}
		if record.GetCompressed() {
			value, err := gzipped.Decompress(pair.Value, maxValueBytes)
			if err != nil {
				return Update{}, err
			}
			pair.Value = value
		}
		update.Events = append(update.Events, kv.Event{Pair: pair})
	}
	for _, record := range message.GetGone() {
		update.Events = append(update.Events, kv.Event{Pair: kv.Pair{Key: record.GetKey(), ModRevision: record.GetRevision()}, Deleted: true})
	}
	return update, nil
}

// followPeer takes in what a peer passes on until the stream breaks.
func (m *Mirror) followPeer(ctx context.Context, client rpc.DRPCRecordsClient, daemonID string) error {
	stream, err := client.Follow(ctx, &rpc.FollowRecords{DaemonId: daemonID, KnownRevision: m.Revision()})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		update, err := updateOf(message, time.Now())
		if err != nil {
			return err
		}
		m.Take(update)
	}
}
