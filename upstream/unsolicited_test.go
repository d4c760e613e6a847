package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against unsolicited responses that nobody notices, and against logs that do not tell on which exchange of a
// connection a request was sent.
func TestUnsolicitedResponsesAreReported(t *testing.T) {
	address := startServer(t, func(_, count int, read *http.Request) string {
		own := reply(read.Header.Get("Id"), "own")
		switch count {
		case 1:
			return reply("1", "late") + own
		case 2:
			return own + reply("3", "late")
		}
		return own
	})
	pool := NewPool(nil, nil)
	var found []UnsolicitedResponse
	pool.OnUnsolicited(func(response UnsolicitedResponse) { found = append(found, response) })
	for _, id := range []string{"1", "2", "3"} {
		_, err := fetch(t, pool, request(t, address, http.MethodGet, id, ""))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		list := pool.idle[address]
		return len(list) == 0 || stateOf(list[0].Conn) == idleReceived
	}, time.Second, time.Millisecond)
	_, err := fetch(t, pool, request(t, address, http.MethodGet, "4", ""))
	require.NoError(t, err)

	require.NotEmpty(t, found)
	first := found[0]
	require.Equal(t, UnsolicitedResponse{Address: address, Connection: first.Connection, Position: UnsolicitedBeforeResponse, Status: http.StatusOK}, first)
	require.Contains(t, first.Connection, "#2", "the second exchange on its connection")
}

// Guards against a repeat that takes a second response to its first attempt for its own.
func TestRepeatIsSentOnAConnectionThatHasNotCarriedTheRequest(t *testing.T) {
	opened := 0
	pool := NewPool(nil, func() { opened++ })
	address := startServer(t, func(_, count int, read *http.Request) string {
		id := read.Header.Get("Id")
		if count == 0 {
			return reply(id, "first")
		}
		return reply("1", "first") + reply(id, "own")
	})
	text, err := fetch(t, pool, request(t, address, http.MethodPost, "1", "x"))
	require.NoError(t, err)
	require.Equal(t, "first", text)
	text, err = fetch(t, pool, request(t, address, http.MethodPost, "1", "x"))
	require.NoError(t, err)
	require.Equal(t, "first", text, "the first response on a connection of its own")
	require.Equal(t, 2, opened)
	for _, id := range []string{"2", "3", "4"} {
		text, err = fetch(t, pool, request(t, address, http.MethodPost, id, "x"))
		require.NoError(t, err)
		require.Equal(t, "own", text)
	}
	require.Equal(t, 2, opened, "other requests go on using both")
}

// Guards against a history that forgets an exchange while a second response to it may still arrive.
func TestHistoryRemembersTheLatestExchanges(t *testing.T) {
	var h history
	numbered := func(number int) Request { return Request{ID: strconv.Itoa(number)} }
	require.True(t, h.distinguishes(numbered(0)))
	for number := range rememberedExchanges + 1 {
		h.record(numbered(number))
	}
	require.True(t, h.distinguishes(numbered(0)))
	for number := range rememberedExchanges {
		require.False(t, h.distinguishes(numbered(number+1)))
	}
}

// Guards against a request whose own response is lost since several unsolicited responses come before it, and against
// unsolicited responses that are read without end.
func TestUnsolicitedResponsesAreSkippedUpToABound(t *testing.T) {
	endless := "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 64)
	for name, test := range map[string]struct {
		unsolicited string
		skipped     bool
	}{
		"as many as the bound":                 {strings.Repeat(reply("9", "late"), maxUnsolicitedResponses), true},
		"more than the bound":                  {strings.Repeat(reply("9", "late"), maxUnsolicitedResponses+1), false},
		"a long body":                          {reply("9", strings.Repeat("x", maxUnsolicitedBytes)), true},
		"a longer body":                        {reply("9", strings.Repeat("x", maxUnsolicitedBytes+1)), false},
		"two bodies that exceed the bound":     {strings.Repeat(reply("9", strings.Repeat("x", maxUnsolicitedBytes/2+1)), 2), false},
		"a body without an end":                {endless, false},
		"a body that ends with its connection": {"HTTP/1.1 200 OK\r\nId: 9\r\n\r\nlate", false},
		"one that closes the connection":       {strings.Replace(reply("9", "late"), "\r\n", "\r\nConnection: close\r\n", 1), false},
	} {
		address := startServer(t, func(_, _ int, read *http.Request) string {
			return test.unsolicited + reply(read.Header.Get("Id"), "own")
		})
		pool := NewPool(nil, nil)
		text, err := fetch(t, pool, request(t, address, http.MethodGet, "1", ""))
		if test.skipped {
			require.NoError(t, err, name)
			require.Equal(t, "own", text, name)
			continue
		}
		var failed *Error
		require.ErrorAs(t, err, &failed, name)
		require.True(t, failed.RequestWritten, name)
		require.Empty(t, pool.idle[address], name)
	}
}

// Guards against a second response to a HEAD request, which has a length and no body, that is skipped with a part of
// the next response, and against a second response to another request whose body is not skipped before a HEAD response.
func TestHeadRequestsShareNoConnection(t *testing.T) {
	var mutex sync.Mutex
	late := map[int]string{} // by connection, the response that is sent again before the next one
	address := startServer(t, func(connection, _ int, read *http.Request) string {
		own := reply(read.Header.Get("Id"), "whole")
		if read.Method == http.MethodHead {
			own = strings.TrimSuffix(own, "whole")
		}
		mutex.Lock()
		defer mutex.Unlock()
		text := late[connection] + own
		late[connection] = own
		return text
	})
	pool := NewPool(nil, nil)
	for number, method := range []string{http.MethodGet, http.MethodHead, http.MethodGet, http.MethodHead, http.MethodHead} {
		id := strconv.Itoa(number)
		text, err := fetch(t, pool, request(t, address, method, id, ""))
		require.NoError(t, err, "%s %s", method, id)
		require.Equal(t, method == http.MethodGet, text == "whole", "%s %s: %q", method, id, text)
	}
}

// Guards against a second response to an earlier exchange that fails a later one of a caller who judges other responses by
// itself.
func TestResponsesWithTheIDOfAnEarlierExchangeAreSkipped(t *testing.T) {
	address := startServer(t, func(_, count int, read *http.Request) string {
		switch count {
		case 1:
			return reply("1", "late") + reply(read.Header.Get("Id"), "own")
		case 2:
			return reply("unknown", "crossed")
		}
		return reply(read.Header.Get("Id"), "own")
	})
	pool := NewPool(nil, nil)
	for _, test := range []struct{ id, want string }{{"1", "own"}, {"2", "own"}, {"3", "crossed"}} {
		sent := request(t, address, http.MethodPost, test.id, "x")
		sent.Matches, sent.ResponseID = nil, func(response *http.Response) string { return response.Header.Get("Id") }
		text, err := fetch(t, pool, sent)
		require.NoError(t, err)
		require.Equal(t, test.want, text)
	}
}

// Guards against an idle connection on which a replica sends without an end, and which holds what has arrived until it is used
// or expires.
func TestSweepClosesIdleConnectionsThatHaveReceivedData(t *testing.T) {
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = io.WriteString(conn, reply("1", "own"))
		for err == nil {
			time.Sleep(time.Millisecond)
			_, err = io.WriteString(conn, "bytes without an end")
		}
		close(closed)
	}()
	pool := NewPool(nil, nil)
	unsolicited := 0
	pool.OnUnsolicited(func(UnsolicitedResponse) { unsolicited++ })
	text, err := fetch(t, pool, request(t, listener.Addr().String(), http.MethodPost, "1", "x"))
	require.NoError(t, err)
	require.Equal(t, "own", text)
	require.Eventually(t, func() bool {
		pool.Sweep(func(string) bool { return true })
		select {
		case <-closed:
			return true
		default:
			return false
		}
	}, time.Second, 5*time.Millisecond)
	require.Equal(t, 1, unsolicited)
	require.False(t, pool.HasIdle(listener.Addr().String()))
}
