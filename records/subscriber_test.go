package records

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhichPeerASubscriberListensTo(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	source, other, deputy := "", true, "seed:1"
	subscriber := &Subscriber{
		Mirror: mirror, Source: func() (string, bool) { return source, other }, Deputy: func() string { return deputy },
		Seeds: func() []string { return []string{"seed:1", "seed:2"} },
	}
	require.Equal(t, "seed:1", subscriber.next(), "nobody vouches: the seeds in turn")
	require.Equal(t, "seed:2", subscriber.next())
	mirror.answered(time.Now())
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

// Seen on days of the large fleets that cut the holder off from the service: 294 daemons
// asked the service themselves until another held the term.
func TestTheDeputyIsListenedToWhileTheSourceDoesNotVouch(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	source, deputy := "holder:1", "seed:1"
	subscriber := &Subscriber{
		Mirror: mirror, Source: func() (string, bool) { return source, true }, Deputy: func() string { return deputy },
		Seeds: func() []string { return nil },
	}
	mirror.answered(time.Now())
	require.Equal(t, "holder:1", subscriber.next())
	subscriber.distrust("holder:1")
	require.Equal(t, "seed:1", subscriber.next())
	deputy = ""
	require.Equal(t, "holder:1", subscriber.next(), "a deputy follows the service itself, and hears when the source does")
	deputy, source = "seed:1", "holder:2"
	require.Equal(t, "holder:2", subscriber.next(), "another source may vouch")
	source = "holder:1"
	subscriber.distrustedUntil = time.Now()
	require.Equal(t, "holder:1", subscriber.next(), "it is tried again after a while")
}

// A source that is listened to and does not vouch is left.
func TestASourceThatDoesNotVouchIsDistrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := mirrorOf(t, newFakeStore())
		subscriber := &Subscriber{
			Mirror: mirror, Source: func() (string, bool) { return "holder:1", true }, Deputy: func() string { return "seed:1" },
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		go subscriber.supervise(ctx, "holder:1", cancel)
		for range 10 {
			mirror.answered(time.Now()) // here, not to the source
			time.Sleep(sourceCheck)
		}
		require.Error(t, context.Cause(ctx), "the stream to the source is ended")
		require.Equal(t, "seed:1", subscriber.next())
	})
}
