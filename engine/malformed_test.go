package engine

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/standin/raw"
	"github.com/finchspoke/finchspoke/upstream"
)

// startEngine starts an engine that responds to each request with text in which %s is the id of the request.
func startEngine(t *testing.T, text string, end raw.End) string {
	t.Helper()
	server := &raw.Server{End: end, Respond: func(request *http.Request) string {
		return strings.ReplaceAll(text, "%s", request.Header.Get(HeaderRequestID))
	}}
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	return server.Address()
}

// malformedHeads are heads of responses, before the blank line, with a status that is not one of HTTP or a name that is no
// token.
var malformedHeads = []string{
	"HTTP/1.1 000 X\r\nContent-Length: 2\r\n", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n", "HTTP/1.1 101 X\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 2\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "HTTP/1.1 200 OK\r\nNa\x01me: x\r\nContent-Length: 2\r\n",
	"HTTP/1.1 103 X\r\nNa me: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
}

func TestMalformedResponsesOfAnEngineAreRefused(t *testing.T) {
	for _, head := range malformedHeads {
		address := startEngine(t, head+HeaderRequestID+": %s\r\n\r\n{}", nil)
		client := NewClient()
		defer client.Close()
		_, err := client.Dispatch(t.Context(), Dispatch{Address: address, RequestID: "r1", Path: PathChat, Body: []byte("{}")})
		var failed *upstream.Error
		if assert.ErrorAs(t, err, &failed, "dispatch: %q", head) {
			assert.True(t, failed.RequestWritten, "dispatch: %q", head)
		}
		_, err = client.Resume(t.Context(), address, "r1", 1)
		assert.Error(t, err, "resume: %q", head)
		_, err = client.Order(t.Context(), address, Order{})
		assert.Error(t, err, "order: %q", head)
		_, err = client.Inventory(t.Context(), address, 0)
		assert.Error(t, err, "inventory: %q", head)
		assert.Error(t, client.Cancel(t.Context(), address, "r1"), "cancel: %q", head)
	}
}

// Guards against a part of a response that counts as whole, as the engine has reset the connection while the request was
// still being written.
func TestAResponseDuringWhichAnEngineResetsIsNotWhole(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		address := startEngine(t, "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": %s\r\n\r\ndata: part\n\n", raw.Reset(delay))
		for number := range 10 {
			client := NewClient()
			defer client.Close()
			response, err := client.Dispatch(t.Context(), Dispatch{Address: address, RequestID: fmt.Sprint(number), Path: PathChat, Body: make([]byte, 8<<20)})
			if err != nil {
				continue
			}
			_, err = io.ReadAll(response)
			assert.Error(t, err)
		}
	}
}

// Guards against an engine that stops in the middle of the head of its response and closes, which is taken for a response
// without a body, or for a stream that goes on and ends.
func TestAHeadOfAnEngineThatEndsEarlyIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r1\r\nContent-Type: text/event-stream\r\n\r\n"
	for length := range len(head) {
		address := startEngine(t, head[:length], nil)
		client := NewClient()
		_, err := client.Dispatch(t.Context(), Dispatch{Address: address, RequestID: "r1", Path: PathChat, Body: []byte("{}")})
		assert.Error(t, err, "dispatch: %q", head[:length])
		_, err = client.Resume(t.Context(), address, "r1", 1)
		assert.Error(t, err, "resume: %q", head[:length])
		_, err = client.Order(t.Context(), address, Order{})
		assert.Error(t, err, "order: %q", head[:length])
		_, err = client.Inventory(t.Context(), address, 0)
		assert.Error(t, err, "inventory: %q", head[:length])
		client.Close()
	}
}
