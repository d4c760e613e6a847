package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/bytebudget"
)

// Guards against heads of requests that are held although the daemon has no memory for them, and against memory that
// stays reserved once a request has ended.
func TestHeadsBeyondTheMemoryBudgetCloseTheirConnection(t *testing.T) {
	const limit = 128 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	options := testOptions()
	options.MaxHeaderBytes = 1 << 20
	options.Memory = bytebudget.New(limit, nil)
	server := New(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.Header.Get("Padding"))
	}), options)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()

	held := options.Memory.Reserve("held")
	require.True(t, held.GrowTo(limit/2))
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nPadding: "+strings.Repeat("x", limit)) // the server closes
	}()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server closes the connection")
	require.NotContains(t, string(answer), " 200 ")
	require.Eventually(t, func() bool { return options.Memory.Used() == limit/2 }, 10*time.Second, time.Millisecond, "the head is released")
	held.Release()

	padding := strings.Repeat("y", limit/4)
	conn, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 5 { // more than the budget in all
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nPadding: "+padding+"\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, padding, string(text))
	}
}

// Guards against an idle connection that holds memory for a body that its handler did not read.
func TestIdleConnectionHoldsNoMemory(t *testing.T) {
	const body = 100 << 10 // net/http reads the rest of a body of this size
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	options := testOptions()
	options.Memory = bytebudget.New(1<<20, nil)
	server := New(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }), options)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(body)+"\r\n\r\n"+strings.Repeat("x", body))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.Eventually(t, func() bool { return options.Memory.Used() == 0 }, 10*time.Second, time.Millisecond)
}
