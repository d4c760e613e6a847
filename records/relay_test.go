package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// forward applies the current update of one mirror to another, as a stream does.
func forward(to, from *Mirror, revision int64) Update {
	update, _ := from.since(peerState{revision: revision})
	now := time.Now()
	message := (&Feed{Mirror: from}).message(update, now)
	received, err := decodeUpdate(message, now, now)
	if err != nil {
		panic(err)
	}
	to.ApplyUpdate(received)
	return received
}

func TestDirectoryRelaysLeaderContactOnce(t *testing.T) {
	leader, directory, other, third := newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore())
	leader.replaceAll([]kv.Pair{{Key: "config", Value: []byte("1"), ModRevision: 4}}, 5, true)
	contacted := time.Now().Add(-300 * time.Millisecond)
	leader.contacted(contacted, contacted)
	directory.RequireReplicaRecords(true)
	other.RequireReplicaRecords(true) // another directory: it does not relay what was relayed to it

	update := forward(directory, leader, 0)
	require.False(t, update.SecondHand)
	update = forward(other, directory, 0)
	require.True(t, update.SecondHand)
	require.True(t, other.InContact())
	require.WithinDuration(t, contacted, other.VerifiedAt(), 5*time.Millisecond)
	require.False(t, other.VerifiedAt().After(contacted), "a verification never looks newer than it is")

	update = forward(third, other, 0)
	require.Equal(t, "1", value(third, "config"))
	require.True(t, update.LastContact.IsZero())
	require.False(t, third.InContact(), "reports are relayed only once")
	require.True(t, third.VerifiedAt().IsZero())
}

// If reports were relayed more than once, two directories would keep each other's contact recent.
func TestDirectoriesDoNotConfirmEachOther(t *testing.T) {
	first, second := newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore())
	for _, mirror := range []*Mirror{first, second} {
		mirror.replaceAll([]kv.Pair{{Key: "config", Value: []byte("1"), ModRevision: 4}}, 5, true)
		mirror.RequireReplicaRecords(true)
	}
	contacted := time.Now().Add(-confirmationTTL / 2)
	first.contacted(contacted, contacted)
	for range 50 {
		forward(second, first, 5)
		forward(first, second, 5)
		time.Sleep(time.Millisecond)
	}
	age, known := second.ContactAge()
	require.True(t, known)
	require.Greater(t, age, confirmationTTL/2+40*time.Millisecond, "the age advances with the clock")
	require.False(t, second.VerifiedAt().After(contacted))
}

func TestOrdinaryDaemonRelaysNothing(t *testing.T) {
	leader, daemon, other := newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore())
	leader.replaceAll(nil, 5, true)
	leader.contacted(time.Now(), time.Now())
	forward(daemon, leader, 0)
	require.True(t, daemon.InContact())
	forward(other, daemon, 0)
	require.False(t, other.InContact())
}

// A directory whose last report from the leader has expired must report that report's age, not that
// of its own older contact: otherwise all its subscribers would leave it.
func TestDirectoryReportsAgeOfLastLeaderContact(t *testing.T) {
	leader, directory := newTestMirror(t, newFakeStore()), newTestMirror(t, newFakeStore())
	leader.replaceAll(nil, 5, true)
	directory.contacted(time.Now().Add(-time.Minute), time.Now().Add(-time.Minute))
	directory.RequireReplicaRecords(true)
	contacted := time.Now().Add(-2 * time.Second)
	leader.contacted(contacted, contacted)
	forward(directory, leader, 0)
	require.False(t, directory.waitWhileConfirmed(t.Context()), "the report has expired")
	age, known := directory.ContactAge()
	require.True(t, known)
	require.Less(t, age, 3*time.Second)
}
