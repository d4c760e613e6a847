package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// tell lets one mirror hear what another says now, as a stream does.
func tell(to, from *Mirror, revision int64) Update {
	update, _ := from.since(view{revision: revision})
	now := time.Now()
	message := (&Feed{Mirror: from}).message(update, now)
	heard, err := updateOf(message, now, now)
	if err != nil {
		panic(err)
	}
	to.ApplyUpdate(heard)
	return heard
}

func TestADirectoryPassesTheWordOfTheOneThatFollowsTheServiceOnOnce(t *testing.T) {
	holder, directory, other, third := mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore())
	holder.replace([]kv.Pair{{Key: "config", Value: []byte("1"), ModRevision: 4}}, 5, true)
	answered := time.Now().Add(-300 * time.Millisecond)
	holder.answered(answered, answered)
	directory.RequireReplicaRecords(true)
	other.RequireReplicaRecords(true) // another directory: it does not pass on what it has from the first

	update := tell(directory, holder, 0)
	require.False(t, update.SecondHand)
	update = tell(other, directory, 0)
	require.True(t, update.SecondHand)
	require.True(t, other.InContact())
	require.WithinDuration(t, answered, other.VerifiedAt(), 5*time.Millisecond)
	require.False(t, other.VerifiedAt().After(answered), "what is proven never looks newer than it is")

	update = tell(third, other, 0)
	require.Equal(t, "1", value(third, "config"))
	require.True(t, update.LastContact.IsZero())
	require.False(t, third.InContact(), "the word was passed on once")
	require.True(t, third.VerifiedAt().IsZero())
}

// Each takes the other for the daemon that follows the service: the moment of an answer would move on
// with each message, and both would be in contact for ever.
func TestTwoDirectoriesThatListenToEachOtherDoNotVouchForEachOther(t *testing.T) {
	first, second := mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore())
	for _, one := range []*Mirror{first, second} {
		one.replace([]kv.Pair{{Key: "config", Value: []byte("1"), ModRevision: 4}}, 5, true)
		one.RequireReplicaRecords(true)
	}
	answered := time.Now().Add(-vouchTime / 2)
	first.answered(answered, answered)
	for range 50 {
		tell(second, first, 5)
		tell(first, second, 5)
		time.Sleep(time.Millisecond)
	}
	age, known := second.ContactAge()
	require.True(t, known)
	require.Greater(t, age, vouchTime/2+40*time.Millisecond, "it grows old as fast as time goes by")
	require.False(t, second.VerifiedAt().After(answered))
}

func TestADaemonThatIsNoDirectoryPassesNothingOn(t *testing.T) {
	holder, daemon, other := mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore())
	holder.replace(nil, 5, true)
	holder.answered(time.Now(), time.Now())
	tell(daemon, holder, 0)
	require.True(t, daemon.InContact())
	tell(other, daemon, 0)
	require.False(t, other.InContact())
}

// A directory that had not heard of the holder for a second told that its records were as old as its own
// last call to the service, and a thousand daemons left it at once.
func TestADirectoryTellsTheAgeOfWhatItHeardLast(t *testing.T) {
	holder, directory := mirrorOf(t, newFakeStore()), mirrorOf(t, newFakeStore())
	holder.replace(nil, 5, true)
	directory.answered(time.Now().Add(-time.Minute), time.Now().Add(-time.Minute))
	directory.RequireReplicaRecords(true)
	answered := time.Now().Add(-2 * time.Second)
	holder.answered(answered, answered)
	tell(directory, holder, 0)
	require.False(t, directory.restWhileVouched(t.Context()), "the word is too old")
	age, known := directory.ContactAge()
	require.True(t, known)
	require.Less(t, age, 3*time.Second)
}
