package records

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

func TestRecordsAreProvenFromWhenTheQuestionWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		require.True(t, mirrorOf(t, store).VerifiedAt().IsZero(), "nothing was heard")
		mirror, stop := followed(t, store)
		defer stop()
		synctest.Wait()
		listed := mirror.VerifiedAt()
		require.Equal(t, time.Now(), listed)

		time.Sleep(watchWait + time.Millisecond) // a call without news ends
		synctest.Wait()
		require.Equal(t, listed, mirror.VerifiedAt(), "the call was sent right after the list")
	})
}

// Messages that wait at a peer, in a link or for a process that stands still are older than
// they say.
func TestAPeersWordCountsFromTheQuestionThatItAnswers(t *testing.T) {
	asked := time.Now()
	proven := asked.Add(-100 * time.Millisecond)
	feed := &Feed{}
	message := feed.message(Update{Revision: 1, LastContact: asked, Verified: proven}, asked.Add(50*time.Millisecond))
	read := asked.Add(8 * time.Second) // the process stood still

	update, err := updateOf(message, read, asked)
	require.NoError(t, err)
	require.Equal(t, asked.Add(-150*time.Millisecond), update.Verified, "the age of 150 ms counts from the question")

	update, err = updateOf(message, read, time.Time{})
	require.NoError(t, err)
	require.True(t, update.Verified.IsZero(), "an answer to no question proves nothing")

	update, err = updateOf(feed.message(Update{Revision: 1}, asked), read, asked)
	require.NoError(t, err)
	require.True(t, update.Verified.IsZero(), "the peer itself heard nothing")
}

func TestAnAgeIsNeverRoundedDown(t *testing.T) {
	require.EqualValues(t, 2, roundedUp(time.Millisecond+time.Nanosecond))
	require.EqualValues(t, 1, roundedUp(time.Millisecond))
	require.EqualValues(t, 0, roundedUp(-time.Second))
}

func TestAPeersProofIsNotPassedOn(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	proven := time.Now()
	mirror.ApplyUpdate(Update{Revision: 3, Whole: true, LastContact: proven, Verified: proven})
	require.Equal(t, proven, mirror.VerifiedAt())
	update, _ := mirror.since(view{})
	require.True(t, update.Verified.IsZero())
}

func TestAPeerThatKnowsMoreThanItSentProvesNothing(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	mirror.ApplyUpdate(Update{Revision: 3, Whole: true, Verified: time.Now().Add(-time.Second)})
	before := mirror.VerifiedAt()
	mirror.apply(nil, 2)
	mirror.ApplyUpdate(Update{Revision: 3, Whole: true, Verified: time.Now()})
	require.True(t, mirror.VerifiedAt().After(before), "the same records, proven later")
}

func TestQuestionsAreAnsweredOnceAndForgotten(t *testing.T) {
	var open questions
	start := time.Now()
	for number := range mostOpen + 2 {
		open.next(start.Add(time.Duration(number) * time.Second))
	}
	_, known := open.answered(1)
	require.False(t, known, "too many are open")
	sent, known := open.answered(5)
	require.True(t, known)
	require.Equal(t, start.Add(4*time.Second), sent)
	_, known = open.answered(5)
	require.False(t, known)
	_, known = open.answered(4)
	require.False(t, known, "an older one proves less")
	require.Len(t, open.sent, mostOpen+2-5)
}

// A daemon that hears a peer but whose questions do not come through must ask the service
// before its proof is too old, and get an answer at once.
func TestAnOldProofIsRenewedAtTheServiceThoughAPeerVouches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 2 * time.Second
		store, mirror, stop := followedOne(t)
		defer stop()
		mirror.VerifyWithin("config", limit)
		began := time.Now()
		for time.Since(began) < 10*limit {
			mirror.ApplyUpdate(Update{Revision: mirror.Revision(), LastContact: time.Now()}) // vouches, proves nothing
			synctest.Wait()
			require.LessOrEqual(t, time.Since(mirror.VerifiedAt()), limit+100*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		require.Less(t, store.asked(), 20, "about one call each time the proof grows old")
		require.LessOrEqual(t, store.askedForAll(), 1, "only of the record that proofs are about, after the first")

		store.put("config", "2") // the peer does not tell
		for began = time.Now(); time.Since(began) < 2*limit; time.Sleep(50 * time.Millisecond) {
			mirror.ApplyUpdate(Update{Revision: mirror.Revision(), LastContact: time.Now()})
			synctest.Wait()
		}
		require.Equal(t, "2", value(mirror, "config"), "what has changed is asked for")
	})
}

// servedSource returns a mirror with one record and the address at which it is passed on until
// ctx ends.
func servedSource(ctx context.Context, t *testing.T) (source *Mirror, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	source = mirrorOf(t, newFakeStore())
	source.replace([]kv.Pair{{Key: "config", Value: []byte("1"), ModRevision: 5}}, 5, true)
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterRecords(server.Mux(), &Feed{Mirror: source}))
	go func() { _ = server.Serve(ctx) }()
	return source, listener.Addr().String()
}

// Over a real connection: proofs go on from question to question.
func TestAFollowerProvesItsRecordsOverAConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	source, address := servedSource(ctx, t)

	conn, err := transport.Dial(ctx, address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	follower := mirrorOf(t, newFakeStore())
	go func() { _ = follower.followPeer(ctx, rpc.NewDRPCRecordsClient(conn), "follower") }()
	require.Eventually(t, func() bool { return follower.Revision() == 5 }, time.Second, time.Millisecond)
	require.True(t, follower.VerifiedAt().IsZero(), "the source has heard nothing itself")
	for range 3 {
		proven := time.Now()
		// The service answers again and again: a word that crosses the follower's next question
		// answers none, and the next word does.
		require.Eventually(t, func() bool {
			source.answered(time.Now(), proven)
			return !follower.VerifiedAt().IsZero()
		}, time.Second, time.Millisecond)
		source.answered(time.Now(), proven)
		require.False(t, follower.VerifiedAt().After(proven))
	}
}

// A stream of records that falls silent for good is given up once nobody vouches, and another
// one brings the next proof.
func TestAStreamOfRecordsThatFallsSilentIsReplaced(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	source, address := servedSource(ctx, t)
	go func() {
		for ctx.Err() == nil {
			source.answered(time.Now(), time.Now())
			time.Sleep(20 * time.Millisecond)
		}
	}()
	proxy, err := faultproxy.New(address)
	require.NoError(t, err)
	defer proxy.Close()
	follower := mirrorOf(t, newFakeStore())
	subscriber := &Subscriber{Daemon: "follower", Mirror: follower, Source: func() (string, bool) { return proxy.Address(), true },
		Standby: func() string { return "" }, Seeds: func() []string { return nil }, Log: follower.log}
	go func() { _ = subscriber.Serve(ctx) }()
	proven := func() bool {
		return !follower.VerifiedAt().IsZero() && time.Since(follower.VerifiedAt()) < 300*time.Millisecond
	}
	require.Eventually(t, proven, 2*time.Second, 5*time.Millisecond)
	proxy.SilenceOpen()
	require.Eventually(t, func() bool { return !proven() }, time.Second, 5*time.Millisecond)
	require.Eventually(t, proven, vouchTime+sourcePatience+2*time.Second, 5*time.Millisecond)
}

// While the machine was suspended the service and its peers went on.
func TestWhatWasHeardGrowsOldWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := mirrorOf(t, newFakeStore())
		suspended := time.Duration(0)
		mirror.SetClock(func() time.Time { return time.Now().Add(suspended) })
		heard := mirror.now()
		mirror.answered(heard, heard)
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: heard, Verified: heard})
		require.True(t, mirror.InContact())
		suspended = vouchTime
		require.False(t, mirror.InContact())
		require.False(t, mirror.answeredLately())
		require.False(t, mirror.restWhileVouched(t.Context()), "nobody vouches any more")
		require.Equal(t, vouchTime, mirror.now().Sub(mirror.VerifiedAt()))
	})
}
