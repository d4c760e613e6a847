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

func TestRecordsAreVerifiedAsOfWhenTheCallWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		require.True(t, newTestMirror(t, store).VerifiedAt().IsZero(), "no call was answered yet")
		mirror, stop := startMirror(t, store)
		defer stop()
		synctest.Wait()
		listed := mirror.VerifiedAt()
		require.Equal(t, time.Now(), listed)

		time.Sleep(longPollWait + time.Millisecond) // a poll without changes ends
		synctest.Wait()
		require.Equal(t, listed, mirror.VerifiedAt(), "the call was sent right after the list")
	})
}

// A message can be delayed at the peer, in the network or by a suspended process; its ages count
// from the query.
func TestPeerVerificationAgeCountsFromQuery(t *testing.T) {
	queried := time.Now()
	verified := queried.Add(-100 * time.Millisecond)
	feed := &Feed{}
	message := feed.message(Update{Revision: 1, LastContact: queried, Verified: verified}, queried.Add(50*time.Millisecond))
	read := queried.Add(8 * time.Second) // the process was suspended

	update, err := decodeUpdate(message, read, queried)
	require.NoError(t, err)
	require.Equal(t, queried.Add(-150*time.Millisecond), update.Verified, "the age of 150 ms counts from the query")

	update, err = decodeUpdate(message, read, time.Time{})
	require.NoError(t, err)
	require.True(t, update.Verified.IsZero(), "a response to no query verifies nothing")

	update, err = decodeUpdate(feed.message(Update{Revision: 1}, queried), read, queried)
	require.NoError(t, err)
	require.True(t, update.Verified.IsZero(), "the peer had no contact itself")
}

func TestAgeIsRoundedUp(t *testing.T) {
	require.EqualValues(t, 2, ceilMillis(time.Millisecond+time.Nanosecond))
	require.EqualValues(t, 1, ceilMillis(time.Millisecond))
	require.EqualValues(t, 0, ceilMillis(-time.Second))
}

func TestPeerVerificationIsNotForwarded(t *testing.T) {
	mirror := newTestMirror(t, newFakeStore())
	verified := time.Now()
	mirror.ApplyUpdate(Update{Revision: 3, Whole: true, LastContact: verified, Verified: verified})
	require.Equal(t, verified, mirror.VerifiedAt())
	update, _ := mirror.since(peerState{})
	require.True(t, update.Verified.IsZero())
}

func TestLaterReportOfSameRecordsAdvancesVerification(t *testing.T) {
	mirror := newTestMirror(t, newFakeStore())
	mirror.ApplyUpdate(Update{Revision: 3, Whole: true, Verified: time.Now().Add(-time.Second)})
	before := mirror.VerifiedAt()
	mirror.applyChanges(nil, 2)
	mirror.ApplyUpdate(Update{Revision: 3, Whole: true, Verified: time.Now()})
	require.True(t, mirror.VerifiedAt().After(before), "the same records, verified later")
}

func TestPendingQueriesAreResolvedOnce(t *testing.T) {
	var pending pendingQueries
	start := time.Now()
	for number := range maxPendingQueries + 2 {
		pending.next(start.Add(time.Duration(number) * time.Second))
	}
	_, known := pending.resolve(1)
	require.False(t, known, "the oldest query is dropped")
	sent, known := pending.resolve(5)
	require.True(t, known)
	require.Equal(t, start.Add(4*time.Second), sent)
	_, known = pending.resolve(5)
	require.False(t, known)
	_, known = pending.resolve(4)
	require.False(t, known, "older queries are dropped")
	require.Len(t, pending.sent, maxPendingQueries+2-5)
}

// A daemon whose queries get no answer from a confirming peer must verify its records at the store
// before they are too old, and get a response at once.
func TestOldVerificationIsRenewedAtTheStoreDespitePeerConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 2 * time.Second
		store, mirror, stop := startMirrorWithConfig(t)
		defer stop()
		mirror.VerifyWithin("config", limit)
		started := time.Now()
		for time.Since(started) < 10*limit {
			mirror.ApplyUpdate(Update{Revision: mirror.Revision(), LastContact: time.Now()}) // confirms, verifies nothing
			synctest.Wait()
			require.LessOrEqual(t, time.Since(mirror.VerifiedAt()), limit+100*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		require.Less(t, store.changeCalls(), 20, "about one call per verification limit")
		require.LessOrEqual(t, store.fullChangeCalls(), 1, "after the first poll only the verified record is queried")

		store.put("config", "2") // the peer does not forward this change
		for started = time.Now(); time.Since(started) < 2*limit; time.Sleep(50 * time.Millisecond) {
			mirror.ApplyUpdate(Update{Revision: mirror.Revision(), LastContact: time.Now()})
			synctest.Wait()
		}
		require.Equal(t, "2", value(mirror, "config"), "a change of the verified record leads to a poll")
	})
}

// serveSource returns a mirror with one record and the address where it is served until ctx ends.
func serveSource(ctx context.Context, t *testing.T) (source *Mirror, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	source = newTestMirror(t, newFakeStore())
	source.replaceAll([]kv.Pair{{Key: "config", Value: []byte("1"), ModRevision: 5}}, 5, true)
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterRecords(server.Mux(), &Feed{Mirror: source}))
	go func() { _ = server.Serve(ctx) }()
	return source, listener.Addr().String()
}

// Over a real connection, verification advances from query to query.
func TestFollowerVerifiesRecordsOverConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	source, address := serveSource(ctx, t)

	conn, err := transport.Dial(ctx, address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	follower := newTestMirror(t, newFakeStore())
	go func() { _ = follower.followPeer(ctx, rpc.NewDRPCRecordsClient(conn), "follower") }()
	require.Eventually(t, func() bool { return follower.Revision() == 5 }, time.Second, time.Millisecond)
	require.True(t, follower.VerifiedAt().IsZero(), "the source had no contact itself")
	for range 3 {
		verified := time.Now()
		// The store answers repeatedly: a report that crosses the follower's next query does not
		// answer it, but the next report does.
		require.Eventually(t, func() bool {
			source.contacted(time.Now(), verified)
			return !follower.VerifiedAt().IsZero()
		}, time.Second, time.Millisecond)
		source.contacted(time.Now(), verified)
		require.False(t, follower.VerifiedAt().After(verified))
	}
}

// A silent stream is replaced once no peer confirms the records, and the new stream verifies them
// again.
func TestSilentRecordStreamIsReplaced(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	source, address := serveSource(ctx, t)
	go func() {
		for ctx.Err() == nil {
			source.contacted(time.Now(), time.Now())
			time.Sleep(20 * time.Millisecond)
		}
	}()
	proxy, err := faultproxy.New(address)
	require.NoError(t, err)
	defer proxy.Close()
	follower := newTestMirror(t, newFakeStore())
	subscriber := &Subscriber{Daemon: "follower", Mirror: follower, Source: func() (string, bool) { return proxy.Address(), true },
		Standby: func() string { return "" }, Seeds: func() []string { return nil }, Log: follower.log}
	go func() { _ = subscriber.Serve(ctx) }()
	verified := func() bool {
		return !follower.VerifiedAt().IsZero() && time.Since(follower.VerifiedAt()) < 300*time.Millisecond
	}
	require.Eventually(t, verified, 2*time.Second, 5*time.Millisecond)
	proxy.StallOpen()
	require.Eventually(t, func() bool { return !verified() }, time.Second, 5*time.Millisecond)
	require.Eventually(t, verified, confirmationTTL+peerTimeout+2*time.Second, 5*time.Millisecond)
}

// Confirmations and verifications must age while the machine is suspended.
func TestConfirmationsAgeDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := newTestMirror(t, newFakeStore())
		suspended := time.Duration(0)
		mirror.SetClock(func() time.Time { return time.Now().Add(suspended) })
		received := mirror.now()
		mirror.contacted(received, received)
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: received, Verified: received})
		require.True(t, mirror.InContact())
		suspended = confirmationTTL
		require.False(t, mirror.InContact())
		require.False(t, mirror.hasRecentContact())
		require.False(t, mirror.waitWhileConfirmed(t.Context()), "the confirmation has expired")
		require.Equal(t, confirmationTTL, mirror.now().Sub(mirror.VerifiedAt()))
	})
}
