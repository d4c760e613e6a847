package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	offeredBytes = 200 << 20
	// maxReadBytes is what may be read of a head without an end, what the kernel buffers included.
	maxReadBytes = 16 << 20
)

// startFlood starts a server that responds with a prefix, and then one text again and again, up to offeredBytes. sent
// counts the bytes that were taken from it.
func startFlood(t *testing.T, prefix, again string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	chunk := []byte(strings.Repeat(again, 1+(64<<10)/len(again)))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4<<10))
		for data := []byte(prefix); sent.Load() < offeredBytes; data = chunk {
			n, err := conn.Write(data)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return listener.Addr().String(), sent
}

// Guards against a replica whose response has a head without an end, of which all is kept until the daemon is killed
// for its memory.
func TestHeadWithoutEndIsReadUpToABound(t *testing.T) {
	for name, flood := range map[string]struct{ prefix, again string }{
		"a line":             {"", "x"},
		"a status":           {"HTTP/1.1 200 ", "OK"},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"a header name":      {"HTTP/1.1 200 OK\r\n", "x"},
		"a header value":     {"HTTP/1.1 200 OK\r\nName: ", "x"},
		"a continued value":  {"HTTP/1.1 200 OK\r\nName: x", "\r\n x"},
		"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim with names": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"blank lines":        {"", "\r\n"},
	} {
		address, sent := startFlood(t, flood.prefix, flood.again)
		pool := NewPool(nil, nil)
		_, err := fetch(t, pool, request(t, address, http.MethodGet, "1", ""))
		var failed *Error
		require.ErrorAs(t, err, &failed, name)
		require.True(t, failed.RequestWritten, name)
		require.Empty(t, pool.idle[address], name)
		require.Never(t, func() bool { return sent.Load() > maxReadBytes }, 50*time.Millisecond, 10*time.Millisecond, name)
	}
}

// Guards against a bound for heads that also ends long bodies, or that counts earlier responses on the connection.
func TestBoundOfHeadsConcernsNoBodies(t *testing.T) {
	long := strings.Repeat("x", 4*maxHeadBytes)
	header := "Padding: " + strings.Repeat("y", maxHeadBytes/2) + "\r\n"
	address := startServer(t, func(_, _ int, read *http.Request) string {
		return strings.Replace(reply(read.Header.Get("Id"), long), "\r\n", "\r\n"+header, 1)
	})
	opened := 0
	pool := NewPool(nil, func() { opened++ })
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Do(t.Context(), request(t, address, http.MethodGet, id, ""))
		require.NoError(t, err)
		text, err := io.ReadAll(response)
		require.NoError(t, err)
		require.Equal(t, len(long), len(text))
	}
	require.Equal(t, 1, opened)
}
