package delivery

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// fill writes to a connection until the kernel takes no more, and returns how much it took.
func fill(t *testing.T, conn *net.TCPConn) int {
	t.Helper()
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	written, err := conn.Write(make([]byte, 64<<20))
	require.Error(t, err)
	require.NoError(t, conn.SetWriteDeadline(time.Time{}))
	return written
}

func TestWhatThePeerReceivesIsDelivered(t *testing.T) {
	local, peer := pair(t)
	require.NoError(t, Await(t.Context(), local), "nothing was written")
	written := fill(t, local)
	require.NoError(t, peer.CloseWrite())
	go func() { _, _ = io.CopyN(io.Discard, peer, int64(written)) }()
	require.NoError(t, Await(t.Context(), local))
}

// Guards against a reset whose error the kernel has reported to a write, so that the read beside it sees an end.
func TestAResetThatAnotherCallHasReportedIsFound(t *testing.T) {
	for range 20 {
		local, peer := pair(t)
		fill(t, local)
		require.NoError(t, peer.SetLinger(0))
		require.NoError(t, peer.Close())
		_, err := local.Write(make([]byte, 1<<20))
		require.Error(t, err)
		_, err = local.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the write has taken the error")
		require.ErrorIs(t, Await(t.Context(), local), ErrNotDelivered)
	}
}

func TestAResetAfterTheEndIsFound(t *testing.T) {
	local, peer := pair(t)
	fill(t, local)
	require.NoError(t, peer.CloseWrite())
	_, err := local.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	time.AfterFunc(10*time.Millisecond, func() {
		_ = peer.SetLinger(0)
		_ = peer.Close()
	})
	require.ErrorIs(t, Await(t.Context(), local), ErrNotDelivered)
}

// Guards against a peer that has received everything and counts as one that has not, since it has forgotten the
// connection by the time its end is read.
func TestAResetAfterEverythingWasReceivedChangesNothing(t *testing.T) {
	local, peer := pair(t)
	_, err := local.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.ReadFull(peer, make([]byte, len("request")))
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, Await(t.Context(), local))
}

func TestAwaitEndsWithItsContextAndItsConnection(t *testing.T) {
	local, _ := pair(t)
	fill(t, local)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, Await(ctx, local), context.DeadlineExceeded)
	time.AfterFunc(20*time.Millisecond, func() { _ = local.Close() })
	require.ErrorIs(t, Await(t.Context(), local), net.ErrClosed)
}

func TestConnectionsOfOtherKindsCountAsDelivered(t *testing.T) {
	local, _ := net.Pipe()
	require.NoError(t, Await(t.Context(), local))
}
