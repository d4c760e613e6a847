package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cannedConn is a connection whose peer has sent some data and then ended it.
type cannedConn struct {
	net.Conn
	data *bytes.Reader
}

func (c cannedConn) Read(data []byte) (int, error)  { return c.data.Read(data) }
func (c cannedConn) Write(data []byte) (int, error) { return len(data), nil }
func (c cannedConn) Close() error                   { return nil }
func (c cannedConn) LocalAddr() net.Addr            { return &net.TCPAddr{} }
func (c cannedConn) SetDeadline(time.Time) error    { return nil }

// referenceBody returns the body of the first response in data that carries an ID, by net/http alone.
func referenceBody(data []byte, request *http.Request, id string) (body []byte, found bool) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode < http.StatusContinue {
			return nil, false
		}
		interim := response.StatusCode < http.StatusOK
		body, err := io.ReadAll(response.Body)
		if !interim && response.Header.Get("Id") == id {
			return body, err == nil
		}
	}
}

// FuzzResponse checks that whatever a replica sends, a response is taken only if it carries the request's ID, with the
// body that it has by itself, and that no more is read for it than bounded.
func FuzzResponse(f *testing.F) {
	own := reply("1", "own")
	for _, text := range []string{
		own, reply("2", "late") + own, "HTTP/1.1 100 Continue\r\n\r\n" + own, strings.Replace(own, "Content-Length: 3", "Transfer-Encoding: chunked", 1),
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed", "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n" + own,
		"HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n" + own, "HTTP/1.1 200 OK\r\nId: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + own,
		"HTTP/1.1 304 Not Modified\r\nId: 2\r\nContent-Length: 9\r\n\r\n" + own, "HTTP/1.1 101 Switching Protocols\r\nId: 2\r\n\r\n" + own,
		"HTTP/1.0 200 OK\r\nId: 1\r\nId: 2\r\n\r\n", strings.Repeat("\r\n", 9) + own, strings.Repeat("x", maxHeadBytes), own[:20],
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := cannedConn{data: bytes.NewReader(data)}
		pool := NewPool(func(context.Context, string) (net.Conn, error) { return conn, nil }, nil)
		sent := request(t, "replica", http.MethodGet, "1", "")
		response, err := pool.Do(t.Context(), sent)
		if err != nil {
			require.LessOrEqual(t, conn.data.Size()-int64(conn.data.Len()), int64((maxUnsolicitedResponses+1)*(maxHeadBytes+readBufferBytes)+maxUnsolicitedBytes+readBufferBytes))
			return
		}
		require.Equal(t, "1", response.Header.Get("Id"))
		body, err := io.ReadAll(response)
		want, whole := referenceBody(data, sent.HTTP, "1")
		require.Equal(t, whole, err == nil)
		if whole {
			require.Equal(t, want, body)
		}
	})
}
