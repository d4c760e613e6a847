package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// ways are the two ways to a replica, of which a test may cut each.
type ways struct {
	directCut, relayCut atomic.Bool
	relayOpen           atomic.Int64
}

// relayConn is a connection that leads through a daemon.
type relayConn struct{ net.Conn }

func (relayConn) Via() string { return "peer" }

func (w *ways) direct(ctx context.Context, address string) (net.Conn, error) {
	if w.directCut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return Dial(ctx, address)
}

func (w *ways) relay(ctx context.Context, _, address string) (net.Conn, error) {
	if w.relayCut.Load() {
		return nil, errors.New("no peer reached the replica")
	}
	conn, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	w.relayOpen.Add(1)
	return relayConn{conn}, nil
}

func newPoolOver(w *ways) *Pool {
	pool := NewPool(w.direct, nil)
	pool.SetRelay(w.relay)
	return pool
}

// answers returns the address of a server that answers each request.
func answers(t *testing.T) string {
	t.Helper()
	return startServer(t, func(_, _ int, read *http.Request) string { return reply(read.Header.Get("Id"), "whole") })
}

func requestTo(t *testing.T, address, id string) Request {
	t.Helper()
	sent := request(t, address, http.MethodGet, id, "")
	sent.Replica = "r1"
	return sent
}

func via(t *testing.T, pool *Pool, request Request) string {
	t.Helper()
	response, err := pool.Do(t.Context(), request)
	require.NoError(t, err)
	defer func() { _ = response.Close() }()
	body := make([]byte, 8)
	n, _ := response.Read(body)
	require.Equal(t, "whole", string(body[:n]))
	return response.Via
}

// Guards against requests that each wait for a path that is known to be down, and against relayed connections that
// are kept and used once the direct path is back.
func TestARequestGoesThroughAnotherDaemonWhileTheDirectPathIsDown(t *testing.T) {
	w := &ways{}
	pool, address := newPoolOver(w), answers(t)
	require.Empty(t, via(t, pool, requestTo(t, address, "1")), "the direct path works")
	pool.Close()
	w.directCut.Store(true)
	startedAt := time.Now()
	require.Equal(t, "peer", via(t, pool, requestTo(t, address, "2")))
	require.GreaterOrEqual(t, time.Since(startedAt), relayDelay, "the direct path has a chance")
	for _, id := range []string{"3", "4"} {
		require.Equal(t, "peer", via(t, pool, requestTo(t, address, id)))
	}
	require.EqualValues(t, 3, w.relayOpen.Load(), "relayed connections are not kept")
	require.True(t, pool.IsDown(address))
	w.directCut.Store(false)
	require.Eventually(t, func() bool { return via(t, pool, requestTo(t, address, "5")) == "" }, 5*time.Second, time.Millisecond)
	require.False(t, pool.IsDown(address))
}

// Guards against load orders and probes through other daemons: an order counts as one of the machine that it comes from.
func TestARequestWithoutReplicaIsNotRelayed(t *testing.T) {
	w := &ways{}
	pool, address := newPoolOver(w), answers(t)
	w.directCut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*relayDelay)
	defer cancel()
	_, err := pool.Do(ctx, request(t, address, http.MethodGet, "1", ""))
	require.Error(t, err)
	require.Zero(t, w.relayOpen.Load())
}

// Guards against a request that reached no replica and counts as one that may have run.
func TestARequestWithoutAnyPathCountsAsNotWritten(t *testing.T) {
	w := &ways{}
	w.directCut.Store(true)
	w.relayCut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 2*relayDelay)
	defer cancel()
	_, err := newPoolOver(w).Do(ctx, requestTo(t, answers(t), "1"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.RequestWritten)
}

// Guards against a replica that is silent for all daemons and holds requests up for the sum of all attempts.
func TestASilentReplicaHoldsARequestUpForOneAttemptOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		pool := NewPool(func(ctx context.Context, _ string) (net.Conn, error) { return silent(ctx) }, nil)
		pool.SetRelay(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		for _, want := range []time.Duration{relayDelay + dialTimeout, dialTimeout} {
			startedAt := time.Now()
			_, err := pool.Do(t.Context(), requestTo(t, "127.0.0.1:1", "1"))
			require.Error(t, err)
			require.Equal(t, want, time.Since(startedAt))
		}
	})
}
