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

// The frontend wraps what answers are written to; an event must still reach its caller before the
// next one is there.
func TestAnEventIsSentOnItsWayBehindTheFrontend(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	heard := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		out := newSink(writer, "id", false)
		out.begin(http.StatusOK, "text/event-stream", nil)
		_ = out.write([]byte("data: first\n"))
		out.flush()
		select {
		case <-heard:
		case <-time.After(5 * time.Second):
		}
		_ = out.write([]byte("data: second\n"))
	})
	log, _ := test.NewNullLogger()
	server := frontend.New(listener, handler, frontend.Options{Log: log})
	go func() { _ = server.Serve(t.Context()) }()

	began := time.Now()
	response, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "data: first\n", first)
	require.Less(t, time.Since(began), 4*time.Second, "it came only with the end")
	close(heard)
	second, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "data: second\n", second)
}
