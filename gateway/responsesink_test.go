package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/frontend"
)

// Guards against events that stay buffered because the frontend wraps the response writer.
func TestEventIsFlushedThroughFrontendWriter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	firstReceived := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		out := newResponseSink(writer, "id", false)
		out.writeHead(http.StatusOK, "text/event-stream", nil)
		_ = out.write([]byte("data: first\n"))
		out.flush()
		select {
		case <-firstReceived:
		case <-time.After(5 * time.Second):
		}
		_ = out.write([]byte("data: second\n"))
	})
	log, _ := test.NewNullLogger()
	server := frontend.New(listener, handler, frontend.Options{Log: log})
	go func() { _ = server.Serve(t.Context()) }()

	start := time.Now()
	response, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "data: first\n", first)
	require.Less(t, time.Since(start), 4*time.Second, "the first event arrived only with the end of the response")
	close(firstReceived)
	second, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "data: second\n", second)
}
