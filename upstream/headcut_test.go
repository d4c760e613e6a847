package upstream

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a replica that stops in the middle of the head of its response and closes, which is taken for a response
// without a body.
func TestAHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\nConnection: keep-alive\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		for length := range len(head) {
			address := startEarly(t, head[:length], nil)
			_, err := NewPool(nil, nil).Do(t.Context(), request(t, address, http.MethodPost, "1", "x"))
			var failed *Error
			require.ErrorAs(t, err, &failed, "%q", head[:length])
			require.True(t, failed.RequestWritten)
		}
		address := startEarly(t, head, nil)
		response, err := NewPool(nil, nil).Do(t.Context(), request(t, address, http.MethodPost, "1", "x"))
		require.NoError(t, err, "%q", head)
		require.NoError(t, response.Close())
	}
}
