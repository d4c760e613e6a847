package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against surplus responses that nobody notices, and against logs that do not tell on which exchange of a
// connection a request was sent.
func TestSurplusResponsesAreReported(t *testing.T) {
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
	var found []SurplusResponse
	pool.OnSurplus(func(response SurplusResponse) { found = append(found, response) })
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
	require.Equal(t, SurplusResponse{Address: address, Connection: first.Connection, Position: SurplusBeforeResponse, Status: http.StatusOK}, first)
	require.Contains(t, first.Connection, "#2", "the second exchange on its connection")
}
