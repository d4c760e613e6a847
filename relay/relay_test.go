package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

const replicaID = "r1"

// replica accepts connections and hands them to the test.
type replica struct {
	listener net.Listener
	accepted chan *net.TCPConn
}

func startReplica(t *testing.T) *replica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started := &replica{listener: listener, accepted: make(chan *net.TCPConn, maxConnections+1)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			started.accepted <- accepted.(*net.TCPConn)
		}
	}()
	return started
}

func (r *replica) address() string { return r.listener.Addr().String() }

func (r *replica) accept(t *testing.T) *net.TCPConn {
	t.Helper()
	select {
	case accepted := <-r.accepted:
		t.Cleanup(func() { _ = accepted.Close() })
		return accepted
	case <-time.After(5 * time.Second):
		require.Fail(t, "no connection to the replica")
		return nil
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// daemon is a daemon that relays and leads.
type daemon struct {
	server  *Server
	address string
	stop    context.CancelFunc
}

func startDaemon(t *testing.T, target *replica) *daemon {
	t.Helper()
	return startDaemonFor(t, target.address())
}

// startDaemonFor starts a daemon that relays to one replica.
func startDaemonFor(t *testing.T, replicaAddress string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := &daemon{address: listener.Addr().String()}
	started.server = &Server{
		Resolve: func(id string) (string, bool) { return replicaAddress, id == replicaID },
		IsDown:  func(string) bool { return false },
		Dial:    dial, Log: log,
		Attached: func() ([]Peer, bool) { return []Peer{{Daemon: "sound", Address: started.address}}, true },
	}
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterRelay(server.Mux(), started.server))
	ctx, stop := context.WithCancel(context.Background())
	started.stop = stop
	var ended sync.WaitGroup
	ended.Go(func() { _ = server.Serve(ctx) })
	t.Cleanup(func() {
		stop()
		ended.Wait()
	})
	return started
}

func clientOf(leader *daemon) *Client {
	return &Client{Daemon: "cut", Leader: func() string { return leader.address }, Dial: dial}
}

func open(t *testing.T, relaying *daemon, target *replica) (net.Conn, *net.TCPConn) {
	t.Helper()
	opened, err := clientOf(relaying).Open(t.Context(), replicaID, target.address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	return opened, target.accept(t)
}

func TestDataPassesUnchangedAndOnlyTheReplicasOwnEndIsAnEnd(t *testing.T) {
	target := startReplica(t)
	opened, accepted := open(t, startDaemon(t, target), target)
	sent := make([]byte, 5*maxChunkBytes+7)
	for index := range sent {
		sent[index] = byte(index * 7)
	}
	go func() { _, _ = opened.Write(sent) }()
	received := make([]byte, len(sent))
	_, err := io.ReadFull(accepted, received)
	require.NoError(t, err)
	require.Equal(t, sent, received)
	go func() {
		_, _ = accepted.Write(sent)
		_ = accepted.Close()
	}()
	answer, err := io.ReadAll(opened)
	require.NoError(t, err)
	require.Equal(t, sent, answer)
}

// Guards against an answer that breaks off on the way and looks complete, because it has no length and ends with its
// connection.
func TestAnInterruptedConnectionIsNotAnEnd(t *testing.T) {
	for name, interrupt := range map[string]func(*daemon, *net.TCPConn){
		"the replica resets": func(_ *daemon, accepted *net.TCPConn) {
			_ = accepted.SetLinger(0)
			_ = accepted.Close()
		},
		"the relay ends": func(relaying *daemon, _ *net.TCPConn) { relaying.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			target := startReplica(t)
			relaying := startDaemon(t, target)
			opened, accepted := open(t, relaying, target)
			_, err := accepted.Write([]byte("half"))
			require.NoError(t, err)
			half := make([]byte, 4)
			_, err = io.ReadFull(opened, half)
			require.NoError(t, err)
			interrupt(relaying, accepted)
			_, err = opened.Read(half)
			require.Error(t, err)
			require.NotEqual(t, io.EOF, err)
		})
	}
}

// Guards against a relay that connects to addresses that are not a replica's, or to a replica that has got another
// one's address.
func TestOnlyKnownReplicasAreConnectedTo(t *testing.T) {
	target, other := startReplica(t), startReplica(t)
	client := clientOf(startDaemon(t, target))
	_, err := client.Open(t.Context(), "r2", target.address())
	require.ErrorContains(t, err, "no such replica")
	_, err = client.Open(t.Context(), replicaID, other.address())
	require.ErrorContains(t, err, "no such replica")
	require.Empty(t, target.accepted)
	require.Empty(t, other.accepted)
}

// Guards against replicas that go on working for callers who have left.
func TestClosingEndsTheConnectionToTheReplica(t *testing.T) {
	for name, end := range map[string]func(net.Conn) error{
		"closed":   net.Conn.Close,
		"deadline": func(opened net.Conn) error { return opened.SetDeadline(time.Unix(1, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			target := startReplica(t)
			relaying := startDaemon(t, target)
			opened, accepted := open(t, relaying, target)
			require.NoError(t, end(opened))
			require.NoError(t, accepted.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err := accepted.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			require.Eventually(t, func() bool { return relaying.server.Connections() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

func TestAStoppingDaemonWaitsForRelayedConnectionsAndTakesNoNewOnes(t *testing.T) {
	target := startReplica(t)
	relaying := startDaemon(t, target)
	opened, _ := open(t, relaying, target)
	drained := make(chan error, 1)
	go func() { drained <- relaying.server.Drain(t.Context()) }()
	require.Eventually(t, func() bool {
		err := relaying.server.begin()
		if err == nil {
			relaying.server.end()
		}
		return errors.Is(err, errStopping)
	}, 5*time.Second, time.Millisecond)
	_, err := clientOf(relaying).Open(t.Context(), replicaID, target.address())
	require.ErrorContains(t, err, "is stopping")
	require.Empty(t, drained)
	require.NoError(t, opened.Close())
	require.NoError(t, <-drained)
	short, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, relaying.server.Drain(short), "nothing is open any more")
}

func TestRelayedConnectionsAreBounded(t *testing.T) {
	target := startReplica(t)
	relaying := startDaemon(t, target)
	client := clientOf(relaying)
	for range maxConnections {
		opened, err := client.Open(t.Context(), replicaID, target.address())
		require.NoError(t, err)
		defer func() { _ = opened.Close() }()
	}
	_, err := client.Open(t.Context(), replicaID, target.address())
	require.ErrorContains(t, err, "too many")
}

// Guards against daemons without paths that ask each other.
func TestDaemonsThatAskedAreNotNamedUnlessAllHave(t *testing.T) {
	server := &Server{Attached: func() ([]Peer, bool) { return []Peer{{Daemon: "a"}, {Daemon: "b"}, {Daemon: "c"}}, true }}
	ask := func(daemon string) (named []string) {
		answer, err := server.Peers(t.Context(), &rpc.RelayPeersRequest{DaemonId: daemon})
		require.NoError(t, err)
		for _, peer := range answer.GetPeers() {
			named = append(named, peer.GetDaemonId())
		}
		return named
	}
	require.ElementsMatch(t, []string{"b", "c"}, ask("a"))
	require.ElementsMatch(t, []string{"c"}, ask("b"))
	require.ElementsMatch(t, []string{"a", "b"}, ask("c"))
	server.Attached = func() ([]Peer, bool) { return nil, false }
	_, err := server.Peers(t.Context(), &rpc.RelayPeersRequest{DaemonId: "a"})
	require.ErrorIs(t, err, errNotLeader)
}

// Guards against a replica that is down costing each request an attempt through every peer.
func TestAReplicaThatNoPeerReachedIsNotTriedAgainAtOnce(t *testing.T) {
	target := startReplica(t)
	relaying := startDaemon(t, target)
	dials := 0
	relaying.server.Dial = func(context.Context, string) (net.Conn, error) {
		dials++
		return nil, errors.New("refused")
	}
	client := clientOf(relaying)
	for range 5 {
		_, err := client.Open(t.Context(), replicaID, target.address())
		require.Error(t, err)
	}
	require.Equal(t, 1, dials)
}

// Guards against requests that each wait for a leader that does not answer, and against peers that are forgotten with it.
func TestPeersStayInUseWhileTheLeaderDoesNotAnswer(t *testing.T) {
	target := startReplica(t)
	relaying := startDaemon(t, target)
	client := clientOf(relaying)
	opened, err := client.Open(t.Context(), replicaID, target.address())
	require.NoError(t, err)
	require.NoError(t, opened.Close())
	asked := 0
	client.Leader = func() string {
		asked++
		return ""
	}
	client.askedAt = time.Time{}
	for range 5 {
		opened, err := client.Open(t.Context(), replicaID, target.address())
		require.NoError(t, err)
		require.NoError(t, opened.Close())
	}
	require.Equal(t, 1, asked)
}

// Guards against a relayed connection that leads to one that the replica has used before: a second response to an
// earlier request would arrive there.
func TestEachRelayedConnectionHasOneOfItsOwnToTheReplica(t *testing.T) {
	target := startReplica(t)
	relaying := startDaemon(t, target)
	client := clientOf(relaying)
	seen := map[string]bool{}
	for range 3 {
		opened, err := client.Open(t.Context(), replicaID, target.address())
		require.NoError(t, err)
		accepted := target.accept(t)
		require.False(t, seen[accepted.RemoteAddr().String()], "the connection was used before")
		seen[accepted.RemoteAddr().String()] = true
		_, err = accepted.Write([]byte("late"))
		require.NoError(t, err)
		require.NoError(t, opened.Close())
	}
}
