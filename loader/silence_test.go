package loader

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// An open connection may stop delivering data without a reset while new connections work.
func TestSilentStreamToTheLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	leader := &Leader{Fleet: emptyFleet()}
	leader.Prepare()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterLoads(server.Mux(), leader))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	proxy, err := faultproxy.New(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)

	log, logHook := test.NewNullLogger()
	follower := &Follower{Daemon: "a", Demand: demand.NewTracker(), Fleet: fleet.NewDirectory("z", func() float64 { return 0 }), Leader: leader,
		DaemonCount: func(int) {}, Log: log}
	follower.Prepare()
	follower.LeaderChanged(election.Leader{Daemon: "b", Address: proxy.Address(), Nonce: "n", Fence: 1})
	go func() { _ = follower.Serve(ctx) }()
	require.Eventually(t, follower.Attached, time.Second, time.Millisecond)
	// The follower is attached once it has sent its first message. The proxy stalls only open connections, so
	// wait until the leader has received the message.
	require.Eventually(t, func() bool { return attachedTo(leader) == 1 }, time.Second, time.Millisecond)
	proxy.StallOpen()
	silenced := time.Now()
	require.Eventually(t, func() bool { return !follower.Attached() }, silenceTimeout+2*time.Second, 5*time.Millisecond)
	require.Eventually(t, follower.Attached, time.Second, time.Millisecond)
	require.Less(t, time.Since(silenced), silenceTimeout+2*time.Second)
	require.Contains(t, logHook.AllEntries()[1].Data["cause"], errStreamSilent.Error())

	time.Sleep(silenceTimeout + time.Second)
	require.True(t, follower.Attached(), "heartbeats keep an idle stream attached")
}

// attachedTo returns the number of streams to a leader.
func attachedTo(leader *Leader) int {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	return leader.attachedStreams
}
