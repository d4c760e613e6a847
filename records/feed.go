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

// Feed passes the mirror's records on to peers. It implements rpc.DRPCRecordsServer.
type Feed struct {
	Mirror *Mirror

	mutex sync.Mutex
	// packed are the records of the newest updates, by what the peer knew: peers that
	// know the same share the work.
	packed map[packedKey]*rpc.RecordsUpdate
}

// packedKey names an update by the records in it: peers at different revisions often lack the same
// ones.
type packedKey struct {
	first, last    int64 // revisions of the first and the last change
	count          int
	whole, without bool
}

func keyOf(update Update) packedKey {
	key := packedKey{last: update.Revision, count: len(update.Events), whole: update.Whole, without: update.OmitsReplicaRecords}
	if !update.Whole {
		key.first, key.last = update.Events[0].Pair.ModRevision, update.Events[len(update.Events)-1].Pair.ModRevision
	}
	return key
}

// mostPacked bounds the updates that are kept for other peers.
const mostPacked = 16

// errBehind ends a stream to a peer whose revision is too old for changes to be sent,
// and which can ask the service itself.
var errBehind = errors.New("the changes since the revision known are not kept; ask the key-value service")

// Follow implements rpc.DRPCRecordsServer.
func (f *Feed) Follow(stream rpc.DRPCRecords_FollowStream) error {
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	var asked asked
	asked.take(request)
	failed := make(chan error, 1)
	go func() { failed <- asked.hear(stream) }()
	peer := view{revision: request.GetKnownRevision()}
	for first := true; ; first = false {
		// The question is read before the records: what is said of them holds after it.
		question := asked.question.Load()
		peer = f.viewFor(peer, asked.all.Load())
		update, changed := f.Mirror.since(peer)
		if update.Whole && first && !request.GetWhole() && !update.OmitsReplicaRecords { // without the bulk it is short
			return errBehind
		}
		message := f.message(update, f.Mirror.now())
		message.Question = question
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
		if peer.without {
			sleep.For(stream.Context(), othersPause)
		}
	}
}

// othersPause gathers what is told to peers that do without the bulk. They are many; what they
// are told of, the configuration above all, may be some tenths of a second old.
const othersPause = 100 * time.Millisecond

// viewFor returns what a peer is told of from now on. One that is told of the bulk again gets all
// records.
func (f *Feed) viewFor(peer view, all bool) view {
	without := f.Mirror.TooManyReplicas() && !all
	if peer.without && !without {
		peer.revision = 0
	}
	peer.without = without
	return peer
}

// asked is the newest that a peer said on its stream.
type asked struct {
	question atomic.Uint64
	all      atomic.Bool
}

func (a *asked) take(message *rpc.FollowRecords) {
	a.question.Store(message.GetQuestion())
	a.all.Store(message.GetAll())
}

// hear takes in what the peer says until the stream breaks.
func (a *asked) hear(stream rpc.DRPCRecords_FollowStream) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		a.take(message)
	}
}

// message makes the message of an update.
func (f *Feed) message(update Update, now time.Time) *rpc.RecordsUpdate {
	message := &rpc.RecordsUpdate{Revision: update.Revision, Whole: update.Whole, WithoutReplicas: update.OmitsReplicaRecords, SecondHand: update.SecondHand, ContactAgeMs: never, ProvenAgeMs: never}
	if !update.LastContact.IsZero() {
		message.ContactAgeMs = max(0, now.Sub(update.LastContact).Milliseconds())
	}
	if !update.Verified.IsZero() {
		message.ProvenAgeMs = roundedUp(now.Sub(update.Verified))
	}
	if len(update.Events) > 0 {
		content := f.content(keyOf(update), update.Events)
		message.Records, message.Gone, message.Packed = content.GetRecords(), content.GetGone(), content.GetPacked()
	}
	return message
}

// never is the age of what there never was.
const never = -1

// roundedUp returns an age in milliseconds: what is proven must not look newer than it is.
func roundedUp(age time.Duration) int64 {
	return int64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

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

// updateOf reads a peer's message that came at a moment; asked is when the question that it
// answers was sent, the zero time if that is not known.
func updateOf(message *rpc.RecordsUpdate, now, asked time.Time) (Update, error) {
	message, err := message.Unpack()
	if err != nil {
		return Update{}, err
	}
	update := Update{Revision: message.GetRevision(), Whole: message.GetWhole(), OmitsReplicaRecords: message.GetWithoutReplicas(), SecondHand: message.GetSecondHand()}
	if age := message.GetContactAgeMs(); age >= 0 {
		update.LastContact = now.Add(-time.Duration(age) * time.Millisecond)
	}
	if age := message.GetProvenAgeMs(); age >= 0 && !asked.IsZero() {
		update.Verified = asked.Add(-time.Duration(age) * time.Millisecond)
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

// errUnsuited ends a stream whose peer leaves out records that this daemon is to know, or lists them as of
// before what is known here. What it says later would seem to follow what was not taken in.
var errUnsuited = errors.New("the peer leaves out the records of replicas, which this daemon is to know, or lies behind; it is asked again")

// followPeer takes in what a peer passes on until the stream breaks.
func (m *Mirror) followPeer(ctx context.Context, client rpc.DRPCRecordsClient, daemonID string) error {
	stream, err := client.Follow(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer m.listen(false)
	var open questions
	first := &rpc.FollowRecords{DaemonId: daemonID, KnownRevision: m.Revision(), Whole: !m.answeredLately(), Question: open.next(m.now()), All: m.RequiresAll()}
	if m.lacksBulk() {
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
		m.listen(true)
		asked, _ := open.answered(message.GetQuestion())
		update, err := updateOf(message, m.now(), asked)
		if err != nil {
			return err
		}
		if !m.ApplyUpdate(update) {
			return errUnsuited
		}
		if err := stream.Send(&rpc.FollowRecords{Question: open.next(m.now()), All: m.RequiresAll()}); err != nil {
			return err
		}
	}
}
