package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// startServer sends the text that script returns for each request. An empty text closes the
// connection.
func startServer(t *testing.T, script func(connection, request int, read *http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, number, script)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, number int, script func(connection, request int, read *http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for count := 0; ; count++ {
		read, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, read.Body)
		text := script(number, count, read)
		if _, err := io.WriteString(conn, text); err != nil || text == "" {
			return
		}
	}
}

func request(t *testing.T, address, method, id string, body string) Request {
	t.Helper()
	httpRequest, err := http.NewRequest(method, "http://shop.example/a/b?c=%20d", nil)
	require.NoError(t, err)
	httpRequest.Header.Set("Id", id)
	return Request{Address: address, HTTP: httpRequest, Body: []byte(body), ID: id, Matches: func(response *http.Response) bool { return response.Header.Get("Id") == id }}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func fetch(t *testing.T, pool *Pool, request Request) (string, error) {
	t.Helper()
	response, err := pool.Do(t.Context(), request)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response)
	return string(text), err
}

func TestRequestsArriveUnchangedAndReuseConnection(t *testing.T) {
	opened := 0
	pool := NewPool(nil, func() { opened++ })
	address := startServer(t, func(connection, count int, read *http.Request) string {
		return reply(read.Header.Get("Id"), read.Method+" "+read.Host+read.RequestURI)
	})
	for _, id := range []string{"1", "2"} {
		text, err := fetch(t, pool, request(t, address, http.MethodPost, id, "x"))
		require.NoError(t, err)
		require.Equal(t, "POST shop.example/a/b?c=%20d", text)
	}
	require.Equal(t, 1, opened)
}

// net/http would retry a request without a body on a reused connection that breaks.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	arrivals := 0
	pool := NewPool(nil, nil)
	address := startServer(t, func(connection, count int, read *http.Request) string {
		arrivals++
		if count == 1 {
			return ""
		}
		return reply(read.Header.Get("Id"), "x")
	})
	_, err := fetch(t, pool, request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	_, err = fetch(t, pool, request(t, address, http.MethodGet, "2", ""))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.RequestWritten)
	require.Equal(t, 2, arrivals)
}

// A replica may close an idle connection; the next request must not be lost on it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	address := startServer(t, func(connection, count int, read *http.Request) string { return reply(read.Header.Get("Id"), "x") })
	pool := NewPool(nil, nil)
	_, err := fetch(t, pool, request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	// The connection is at EOF, as after a close by the replica.
	require.Len(t, pool.idle[address], 1)
	pooled := pool.idle[address][0]
	require.NoError(t, pooled.Conn.(*net.TCPConn).CloseRead())
	text, err := fetch(t, pool, request(t, address, http.MethodGet, "2", ""))
	require.NoError(t, err)
	require.Equal(t, "x", text)
	require.NotSame(t, pooled, pool.idle[address][0])
}

func TestFailedDialReportsNotWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = fetch(t, NewPool(nil, nil), request(t, listener.Addr().String(), http.MethodGet, "1", ""))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.RequestWritten)
}

func TestStaleResponseIsSkipped(t *testing.T) {
	pool := NewPool(nil, nil)
	address := startServer(t, func(connection, count int, read *http.Request) string {
		if count == 1 {
			return reply("1", "late") + reply(read.Header.Get("Id"), "own")
		}
		return reply(read.Header.Get("Id"), "own")
	})
	for _, id := range []string{"1", "2", "3"} {
		text, err := fetch(t, pool, request(t, address, http.MethodGet, id, ""))
		require.NoError(t, err)
		require.Equal(t, "own", text)
	}
}

func TestTrailingBytesCloseConnection(t *testing.T) {
	opened := 0
	pool := NewPool(nil, func() { opened++ })
	address := startServer(t, func(connection, count int, read *http.Request) string {
		return reply(read.Header.Get("Id"), "own") + reply("9", "unsolicited")
	})
	for _, id := range []string{"1", "2"} {
		text, err := fetch(t, pool, request(t, address, http.MethodGet, id, ""))
		require.NoError(t, err)
		require.Equal(t, "own", text)
	}
	require.Equal(t, 2, opened)
}

func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
		_, _ = io.WriteString(conn, reply("1", "early"))
		time.Sleep(time.Second)
		_ = conn.Close()
	}()
	pool := NewPool(nil, nil)
	text, err := fetch(t, pool, request(t, listener.Addr().String(), http.MethodPost, "1", strings.Repeat("x", 16<<20)))
	require.NoError(t, err)
	require.Equal(t, "early", text)
	require.Empty(t, pool.idle[listener.Addr().String()])
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	address := startServer(t, func(connection, count int, read *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nConnection: close\r\n\r\nshort"
	})
	pool := NewPool(nil, nil)
	response, err := pool.Do(t.Context(), request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	go func() { time.Sleep(20 * time.Millisecond); _ = response.Close() }()
	_, err = io.ReadAll(response)
	require.Error(t, err)
}

func TestContextCancellationEndsExchange(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(connection, count int, read *http.Request) string {
		<-release
		return ""
	})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { time.Sleep(20 * time.Millisecond); cancel() }()
	_, err := NewPool(nil, nil).Do(ctx, request(t, address, http.MethodGet, "1", ""))
	require.ErrorIs(t, err, context.Canceled)
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.RequestWritten)
}

func TestIdleConnectionHonorsKeepAliveTimeout(t *testing.T) {
	opened := 0
	pool := NewPool(nil, func() { opened++ })
	now := time.Unix(1000, 0)
	pool.now = func() time.Time { return now }
	address := startServer(t, func(connection, count int, read *http.Request) string {
		return strings.Replace(reply(read.Header.Get("Id"), "x"), "\r\n", "\r\nKeep-Alive: timeout=5, max=9\r\n", 1)
	})
	for number, wait := range []time.Duration{0, 4 * time.Second, 5 * time.Second} {
		now = now.Add(wait)
		_, err := fetch(t, pool, request(t, address, http.MethodGet, strconv.Itoa(number), ""))
		require.NoError(t, err)
	}
	require.Equal(t, 2, opened)
}

func TestRejectedAdmissionWritesNothingAndKeepsConnection(t *testing.T) {
	opened, read := 0, make(chan string, 10)
	address := startServer(t, func(_, _ int, request *http.Request) string {
		read <- request.Header.Get("Id")
		return "HTTP/1.1 200 OK\r\nId: " + request.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
	})
	pool := NewPool(nil, func() { opened++ })
	refusal := errors.New("the replica is backing off")
	rejected := request(t, address, http.MethodPost, "rejected", "x")
	rejected.Admit = func() error {
		require.Equal(t, 1, opened, "Admit is called once the connection is open")
		return refusal
	}
	_, err := pool.Do(t.Context(), rejected)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.RequestWritten)
	require.ErrorIs(t, err, refusal)

	response, err := pool.Do(t.Context(), request(t, address, http.MethodPost, "sent", "x"))
	require.NoError(t, err)
	require.NoError(t, response.Close())
	require.Equal(t, "sent", <-read)
	require.Empty(t, read)
	require.Equal(t, 1, opened)
}

// Guards against a connection that is used after its replica may have closed it, since a request that was not sent on it
// counted as use.
func TestRejectedAdmissionDoesNotExtendTheKeepAliveTimeout(t *testing.T) {
	opened := 0
	pool := NewPool(nil, func() { opened++ })
	now := time.Unix(1000, 0)
	pool.now = func() time.Time { return now }
	address := startServer(t, func(_, _ int, read *http.Request) string {
		return strings.Replace(reply(read.Header.Get("Id"), "x"), "\r\n", "\r\nKeep-Alive: timeout=5\r\n", 1)
	})
	_, err := fetch(t, pool, request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	now = now.Add(4 * time.Second)
	rejected := request(t, address, http.MethodGet, "2", "")
	rejected.Admit = func() error { return errors.New("the replica is backing off") }
	_, err = pool.Do(t.Context(), rejected)
	require.Error(t, err)
	require.Equal(t, 1, opened)
	now = now.Add(2 * time.Second)
	_, err = fetch(t, pool, request(t, address, http.MethodGet, "3", ""))
	require.NoError(t, err)
	require.Equal(t, 2, opened)
}
