package loader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
)

// Guards against two leaders that both give orders, each with half of the daemons, while one of them is cut off from the
// key-value service, and against one that counts daemons that it no longer reaches.
func TestALeaderWithoutTheServiceNeedsMostDaemons(t *testing.T) {
	for _, test := range []struct {
		attached, highest int
		may               bool
	}{{1, 1, true}, {1, 2, false}, {2, 2, true}, {3, 6, false}, {4, 6, true}, {2, 5, false}, {3, 5, true}} {
		now := time.Now()
		leader := &Leader{attachedStreams: test.highest, maxAttachedStreams: test.highest, Limits: Limits{TermGap: 3 * time.Second}, now: func() time.Time { return now }}
		leader.proof.beginTerm()
		require.False(t, leader.mayGiveOrders(election.TermStoreUnreachable), "no probe was sent")
		leader.proof.send(now, time.Second)
		for number := range test.attached {
			leader.proof.acknowledge(fmt.Sprint(number), leader.proof.newest())
		}
		require.Equal(t, test.may, leader.mayGiveOrders(election.TermStoreUnreachable), "%d of %d", test.attached, test.highest)
		require.True(t, leader.mayGiveOrders(election.TermValid))
		now = now.Add(leader.Limits.proofAge() + 1)
		require.False(t, leader.mayGiveOrders(election.TermStoreUnreachable), "the probe is too old, although all are attached")
	}
}
