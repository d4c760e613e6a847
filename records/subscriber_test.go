package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhichPeerASubscriberListensTo(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	source, other, deputy := "", true, "seed:1"
	subscriber := &Subscriber{
		Mirror: mirror, Source: func() (string, bool) { return source, other }, Standby: func() string { return deputy },
		Seeds: func() []string { return []string{"seed:1", "seed:2"} },
	}
	require.Equal(t, "seed:1", subscriber.next(), "nobody vouches: the seeds in turn")
	require.Equal(t, "seed:2", subscriber.next())
	mirror.answered(time.Now(), time.Now())
	require.Equal(t, "seed:1", subscriber.next(), "nobody follows the service for all: the deputy")
	deputy = ""
	require.Empty(t, subscriber.next(), "a deputy follows the service itself")
	source = "holder:1"
	require.Equal(t, "holder:1", subscriber.next())
	other = false
	require.Empty(t, subscriber.next(), "this daemon follows the service for all")
	mirror.contact = time.Time{}
	subscriber.round = 0
	require.Equal(t, "seed:1", subscriber.next(), "the service does not answer here")
	other = true
	subscriber.round = 0
	require.Equal(t, "holder:1", subscriber.next(), "the source first")
}
