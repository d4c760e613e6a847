package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response that states how its body ends, whose replica ended within it, and that is read as a whole
// one.
func TestFramedResponseThatEndsEarlyIsAnError(t *testing.T) {
	answers := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, <-answers)
			}
			_ = conn.Close()
		}
	}()
	for name, whole := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nab\ncd\n",
		"chunks":           "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n3\r\ncd\n\r\n0\r\n\r\n",
		"chunks, trailers": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n6\r\nab\ncd\n\r\n0\r\nSum: 1\r\n\r\n",
	} {
		pool := NewPool(nil, nil)
		for length := range len(whole) + 1 {
			answers <- whole[:length]
			response, err := pool.Do(t.Context(), request(t, listener.Addr().String(), http.MethodGet, "1", ""))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response)
				require.True(t, strings.HasPrefix("ab\ncd\n", string(body)))
				require.NoError(t, response.Close())
			}
			require.Equal(t, length < len(whole), err != nil, "%s: ended after %d of %d bytes: %v", name, length, len(whole), err)
			pool.Close()
		}
	}
}

// Guards against a request whose sender has given up and that the kernel goes on sending.
func TestAnEndedContextResetsTheConnectionOfARequestThatMustNotArriveLate(t *testing.T) {
	for _, drop := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		ended := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			defer func() { _ = conn.Close() }()
			_, err = io.Copy(io.Discard, conn)
			ended <- err
		}()
		sent := request(t, listener.Addr().String(), http.MethodPost, "1", "body")
		sent.DropUnsent = drop
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = NewPool(nil, nil).Do(ctx, sent)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		if drop {
			require.ErrorIs(t, <-ended, syscall.ECONNRESET)
		} else {
			require.NoError(t, <-ended)
		}
	}
}

// Guards against a body without an end that cannot be given up while it is read.
func TestCloseEndsABlockedRead(t *testing.T) {
	address := startServer(t, func(_, _ int, read *http.Request) string {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + read.Header.Get("Id") + "\r\nContent-Length: 10\r\n\r\npart"
	})
	response, err := NewPool(nil, nil).Do(t.Context(), request(t, address, http.MethodPost, "1", "x"))
	require.NoError(t, err)
	time.AfterFunc(10*time.Millisecond, func() { _ = response.Close() })
	_, err = io.ReadAll(response)
	require.Error(t, err)
}
