package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// server answers each request on each connection with the text that script
// returns for it; an empty text closes the connection.
func server(t *testing.T, script func(connection, request int, read *http.Request) string) string {
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
	made, err := http.NewRequest(method, "http://shop.example/a/b?c=%20d", nil)
	require.NoError(t, err)
	made.Header.Set("Id", id)
	return Request{Address: address, HTTP: made, Body: []byte(body), Matches: func(header http.Header) bool { return header.Get("Id") == id }}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func body(t *testing.T, pool *Pool, sent Request) (string, error) {
	t.Helper()
	got, err := pool.Do(t.Context(), sent)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(got)
	return string(text), err
}

func TestRequestsArriveUnchangedAndShareAConnection(t *testing.T) {
	opened := 0
	pool := NewPool(func() { opened++ })
	address := server(t, func(connection, count int, read *http.Request) string {
		return answer(read.Header.Get("Id"), read.Method+" "+read.Host+read.RequestURI)
	})
	for _, id := range []string{"1", "2"} {
		text, err := body(t, pool, request(t, address, http.MethodPost, id, "x"))
		require.NoError(t, err)
		require.Equal(t, "POST shop.example/a/b?c=%20d", text)
	}
	require.Equal(t, 1, opened)
}

// A request without a body on a kept connection that breaks is what net/http would
// send again.
func TestABrokenKeptConnectionIsNotTriedAgain(t *testing.T) {
	arrivals := 0
	pool := NewPool(nil)
	address := server(t, func(connection, count int, read *http.Request) string {
		arrivals++
		if count == 1 {
			return ""
		}
		return answer(read.Header.Get("Id"), "x")
	})
	_, err := body(t, pool, request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	_, err = body(t, pool, request(t, address, http.MethodGet, "2", ""))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Written)
	require.Equal(t, 2, arrivals)
}

// A replica closes connections that rest; a request must not be lost to one.
func TestAnIdleConnectionThatWasClosedIsNotUsed(t *testing.T) {
	address := server(t, func(connection, count int, read *http.Request) string { return answer(read.Header.Get("Id"), "x") })
	pool := NewPool(nil)
	_, err := body(t, pool, request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	// As when the replica's close has arrived: the connection can be read to its end.
	require.Len(t, pool.idle[address], 1)
	resting := pool.idle[address][0]
	require.NoError(t, resting.Conn.(*net.TCPConn).CloseRead())
	text, err := body(t, pool, request(t, address, http.MethodGet, "2", ""))
	require.NoError(t, err)
	require.Equal(t, "x", text)
	require.NotSame(t, resting, pool.idle[address][0])
}

func TestADeadAddressIsKnownAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = body(t, NewPool(nil), request(t, listener.Addr().String(), http.MethodGet, "1", ""))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Written)
}

func TestASurplusAnswerInThePlaceOfTheNextIsSkipped(t *testing.T) {
	pool := NewPool(nil)
	address := server(t, func(connection, count int, read *http.Request) string {
		if count == 1 {
			return answer("1", "late") + answer(read.Header.Get("Id"), "own")
		}
		return answer(read.Header.Get("Id"), "own")
	})
	for _, id := range []string{"1", "2", "3"} {
		text, err := body(t, pool, request(t, address, http.MethodGet, id, ""))
		require.NoError(t, err)
		require.Equal(t, "own", text)
	}
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	opened := 0
	pool := NewPool(func() { opened++ })
	address := server(t, func(connection, count int, read *http.Request) string {
		return answer(read.Header.Get("Id"), "own") + answer("9", "surplus")
	})
	for _, id := range []string{"1", "2"} {
		text, err := body(t, pool, request(t, address, http.MethodGet, id, ""))
		require.NoError(t, err)
		require.Equal(t, "own", text)
	}
	require.Equal(t, 2, opened)
}

func TestAnEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
		_, _ = io.WriteString(conn, answer("1", "early"))
		time.Sleep(time.Second)
		_ = conn.Close()
	}()
	pool := NewPool(nil)
	text, err := body(t, pool, request(t, listener.Addr().String(), http.MethodPost, "1", strings.Repeat("x", 16<<20)))
	require.NoError(t, err)
	require.Equal(t, "early", text)
	require.Empty(t, pool.idle[listener.Addr().String()])
}

func TestAnAnswerThatEndsEarlyIsNotWhole(t *testing.T) {
	address := server(t, func(connection, count int, read *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nConnection: close\r\n\r\nshort"
	})
	pool := NewPool(nil)
	got, err := pool.Do(t.Context(), request(t, address, http.MethodGet, "1", ""))
	require.NoError(t, err)
	go func() { time.Sleep(20 * time.Millisecond); _ = got.Close() }()
	_, err = io.ReadAll(got)
	require.Error(t, err)
}

func TestTheEndOfTheContextEndsTheExchange(t *testing.T) {
	release := make(chan struct{})
	address := server(t, func(connection, count int, read *http.Request) string {
		<-release
		return ""
	})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { time.Sleep(20 * time.Millisecond); cancel() }()
	_, err := NewPool(nil).Do(ctx, request(t, address, http.MethodGet, "1", ""))
	require.ErrorIs(t, err, context.Canceled)
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Written)
}

func TestAConnectionRestsNoLongerThanTheReplicaSays(t *testing.T) {
	opened := 0
	pool := NewPool(func() { opened++ })
	now := time.Unix(1000, 0)
	pool.now = func() time.Time { return now }
	address := server(t, func(connection, count int, read *http.Request) string {
		return strings.Replace(answer(read.Header.Get("Id"), "x"), "\r\n", "\r\nKeep-Alive: timeout=5, max=9\r\n", 1)
	})
	for _, wait := range []time.Duration{0, 4 * time.Second, 5 * time.Second} {
		now = now.Add(wait)
		_, err := body(t, pool, request(t, address, http.MethodGet, "1", ""))
		require.NoError(t, err)
	}
	require.Equal(t, 2, opened)
}

func TestWhatIsNotAdmittedIsNotWrittenAndItsConnectionIsKept(t *testing.T) {
	opened, read := 0, make(chan string, 10)
	address := server(t, func(_, _ int, request *http.Request) string {
		read <- request.Header.Get("Id")
		return "HTTP/1.1 200 OK\r\nId: " + request.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
	})
	pool := NewPool(func() { opened++ })
	refusal := errors.New("the replica rests")
	withheld := request(t, address, http.MethodPost, "withheld", "x")
	withheld.Admit = func() error {
		require.Equal(t, 1, opened, "asked once there is a connection")
		return refusal
	}
	_, err := pool.Do(t.Context(), withheld)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Written)
	require.ErrorIs(t, err, refusal)

	answer, err := pool.Do(t.Context(), request(t, address, http.MethodPost, "sent", "x"))
	require.NoError(t, err)
	require.NoError(t, answer.Close())
	require.Equal(t, "sent", <-read)
	require.Empty(t, read)
	require.Equal(t, 1, opened)
}
