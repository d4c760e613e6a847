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

// Open connections may fall silent for good, without a reset, while new ones work.
func TestAStreamToTheHolderThatFallsSilentIsReplaced(t *testing.T) {
	t.Parallel()
	holder := &Leader{Fleet: emptyFleet()}
	holder.Prepare()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterLoads(server.Mux(), holder))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	proxy, err := faultproxy.New(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)

	log, lines := test.NewNullLogger()
	follower := &Follower{Daemon: "a", Demand: demand.NewTracker(), Fleet: fleet.NewDirectory("z", func() float64 { return 0 }), Leader: holder,
		Daemons: func(int) {}, Log: log}
	follower.Prepare()
	follower.LeaderChanged(election.Leader{Daemon: "b", Address: proxy.Address(), Nonce: "n", Fence: 1})
	go func() { _ = follower.Serve(ctx) }()
	require.Eventually(t, follower.Attached, time.Second, time.Millisecond)
	// The follower is attached once it has sent its first message. The proxy silences the connections that it
	// has taken, so the message must have come through it.
	require.Eventually(t, func() bool { return attachedTo(holder) == 1 }, time.Second, time.Millisecond)
	proxy.SilenceOpen()
	silenced := time.Now()
	require.Eventually(t, func() bool { return !follower.Attached() }, silentTime+2*time.Second, 5*time.Millisecond)
	require.Eventually(t, follower.Attached, time.Second, time.Millisecond)
	require.Less(t, time.Since(silenced), silentTime+2*time.Second)
	require.Contains(t, lines.AllEntries()[1].Data["cause"], errSilent.Error())

	time.Sleep(silentTime + time.Second)
	require.True(t, follower.Attached(), "a quiet stream is kept by its beats")
}

// attachedTo returns how many daemons a holder has a stream of.
func attachedTo(holder *Leader) int {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.attached
}
