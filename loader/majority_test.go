package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
)

// Guards against two leaders that both give orders, each with half of the daemons, while one of them is cut off from the
// key-value service.
func TestALeaderWithoutTheServiceNeedsMostDaemons(t *testing.T) {
	for _, test := range []struct {
		attached, highest int
		may               bool
	}{{1, 1, true}, {1, 2, false}, {2, 2, true}, {3, 6, false}, {4, 6, true}, {2, 5, false}, {3, 5, true}} {
		leader := &Leader{attachedStreams: test.attached, maxAttachedStreams: test.highest}
		require.Equal(t, test.may, leader.mayGiveOrders(election.TermStoreUnreachable, time.Now()), "%d of %d", test.attached, test.highest)
		require.True(t, leader.mayGiveOrders(election.TermValid, time.Now()))
	}
}
