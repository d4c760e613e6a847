package hedge

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// opens returns an attempt that opens a connection after a time, unless it is canceled.
func opens(after time.Duration, conn net.Conn) Attempt {
	return Attempt{Open: func(ctx context.Context) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(after):
			return conn, nil
		}
	}}
}

func fails(after time.Duration, err error) Attempt {
	return Attempt{Open: func(ctx context.Context) (net.Conn, error) {
		time.Sleep(after)
		return nil, err
	}}
}

func TestNextAttemptBeginsAfterTheDelayOrAFailure(t *testing.T) {
	first, second := net.Pipe()
	for name, test := range map[string]struct {
		attempts []Attempt
		index    int
		after    time.Duration
	}{
		"the first is fast":      {[]Attempt{opens(10*time.Millisecond, first), opens(0, second)}, 0, 10 * time.Millisecond},
		"the first is slow":      {[]Attempt{opens(time.Second, first), opens(5*time.Millisecond, second)}, 1, 105 * time.Millisecond},
		"the first fails":        {[]Attempt{fails(20*time.Millisecond, errors.New("refused")), opens(5*time.Millisecond, second)}, 1, 25 * time.Millisecond},
		"the second is slower":   {[]Attempt{opens(200*time.Millisecond, first), opens(time.Second, second)}, 0, 200 * time.Millisecond},
		"only the third works":   {[]Attempt{fails(time.Second, errors.New("lost")), fails(time.Second, errors.New("lost")), opens(0, second)}, 2, 200 * time.Millisecond},
		"the second fails, slow": {[]Attempt{opens(300*time.Millisecond, first), fails(0, errors.New("refused"))}, 0, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				conn, index, err := Open(t.Context(), 100*time.Millisecond, test.attempts...)
				require.NoError(t, err)
				require.NotNil(t, conn)
				require.Equal(t, test.index, index)
				require.Equal(t, test.after, time.Since(startedAt))
				time.Sleep(2 * time.Second) // all attempts end
			})
		})
	}
}

func TestErrorIsThatOfTheFirstAttempt(t *testing.T) {
	_, _, err := Open(t.Context(), time.Millisecond, fails(5*time.Millisecond, errors.New("direct")), fails(0, errors.New("relay")))
	require.EqualError(t, err, "direct")
	_, _, err = Open(t.Context(), time.Millisecond)
	require.ErrorIs(t, err, ErrNoAttempts)
}

// Guards against connections that open after another one and are never closed.
func TestLateConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept, closed := &countingConn{}, &countingConn{}
		var late net.Conn
		background := opens(time.Second, kept)
		background.Background, background.Late = true, func(conn net.Conn) { late = conn }
		deaf := Attempt{Open: func(context.Context) (net.Conn, error) {
			time.Sleep(2 * time.Second)
			return closed, nil
		}}
		_, index, err := Open(t.Context(), 10*time.Millisecond, background, deaf, opens(0, &countingConn{}))
		require.NoError(t, err)
		require.Equal(t, 2, index)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Same(t, kept, late)
		require.EqualValues(t, 1, closed.closed.Load())
		require.Zero(t, kept.closed.Load())
	})
}

type countingConn struct {
	net.Conn
	closed atomic.Int64
}

func (c *countingConn) Close() error {
	c.closed.Add(1)
	return nil
}
