package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSubscriberPeerSelection(t *testing.T) {
	mirror := newTestMirror(t, newFakeStore())
	source, isOther, standby := "", true, "seed:1"
	subscriber := &Subscriber{
		Mirror: mirror, Source: func() (string, bool) { return source, isOther }, Standby: func() string { return standby },
		Seeds: func() []string { return []string{"seed:1", "seed:2"} },
	}
	require.Equal(t, "seed:1", subscriber.nextPeer(), "no confirmation: the seeds in turn")
	require.Equal(t, "seed:2", subscriber.nextPeer())
	mirror.contacted(time.Now(), time.Now())
	require.Equal(t, "seed:1", subscriber.nextPeer(), "no leader: the standby")
	standby = ""
	require.Empty(t, subscriber.nextPeer(), "a standby polls the store itself")
	source = "leader:1"
	require.Equal(t, "leader:1", subscriber.nextPeer())
	isOther = false
	require.Empty(t, subscriber.nextPeer(), "this daemon is the leader")
	mirror.lastContact = time.Time{}
	subscriber.nextSeed = 0
	require.Equal(t, "seed:1", subscriber.nextPeer(), "the store does not answer this daemon")
	isOther = true
	subscriber.nextSeed = 0
	require.Equal(t, "leader:1", subscriber.nextPeer(), "the leader first")
}
