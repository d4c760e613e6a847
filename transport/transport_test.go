package transport

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/finchspoke/finchspoke/rpc"
)

// lateExplainer answers with the target that it was asked about; the first answer comes late.
type lateExplainer struct {
	asked   chan string
	release chan struct{}
	calls   int
}

// Model implements rpc.DRPCExplainServer.
func (l *lateExplainer) Model(_ context.Context, request *rpc.ExplainModel) (*rpc.Explanation, error) {
	l.calls++
	l.asked <- request.GetTarget()
	if l.calls == 1 {
		<-l.release
	}
	return &rpc.Explanation{Lines: []string{request.GetTarget()}}, nil
}

// Guards against a call on a pooled connection that takes the answer to an earlier call, which timed out, for its own.
func TestLateAnswerIsNotTakenForThatToTheNextCall(t *testing.T) {
	explainer := &lateExplainer{asked: make(chan string, 1), release: make(chan struct{})}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterExplain(mux, explainer))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serving, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- drpcserver.New(mux).Serve(serving, listener) }()
	pool := NewPool()
	defer func() {
		pool.Close()
		stop()
		<-ended
	}()

	early, cancel := context.WithCancel(t.Context())
	go func() {
		<-explainer.asked
		cancel()
	}()
	_, err = rpc.NewDRPCExplainClient(pool.Conn(early, listener.Addr().String())).Model(early, &rpc.ExplainModel{Target: "first"})
	require.ErrorIs(t, err, context.Canceled)
	close(explainer.release)
	for _, target := range []string{"second", "third"} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		answer, err := rpc.NewDRPCExplainClient(pool.Conn(ctx, listener.Addr().String())).Model(ctx, &rpc.ExplainModel{Target: target})
		cancel()
		require.NoError(t, err)
		require.Equal(t, []string{target}, answer.GetLines())
		<-explainer.asked
	}
}

// Guards against a peer whose message is held without a bound.
func TestMessageBeyondTheBoundClosesItsConnection(t *testing.T) {
	explainer := &lateExplainer{asked: make(chan string, 2), calls: 1}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterExplain(server.Mux(), explainer))
	serving, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(serving) }()
	defer func() {
		stop()
		<-ended
	}()
	ask := func(target string) error {
		conn, err := Dial(t.Context(), listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = rpc.NewDRPCExplainClient(conn).Model(t.Context(), &rpc.ExplainModel{Target: target})
		return err
	}
	require.NoError(t, ask(strings.Repeat("x", maxRequestBytes/2)))
	require.Error(t, ask(strings.Repeat("x", 2*maxRequestBytes)))
	require.Len(t, explainer.asked, 1)
}
