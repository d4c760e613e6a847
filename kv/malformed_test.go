package kv_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/standin/raw"
)

// requireUncertain fails the test unless nothing is concluded from a response of the service.
func requireUncertain(t *testing.T, response string) {
	t.Helper()
	server := &raw.Server{Respond: raw.Text(response)}
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	client := kv.NewClient(server.Address())
	_, err := client.Commit(t.Context(), createTxn("a", "1"))
	assert.ErrorIs(t, err, kv.ErrUncertain, "commit: %q", response)
	_, err = client.GrantLease(t.Context(), 0)
	assert.ErrorIs(t, err, kv.ErrUncertain, "grant a lease: %q", response)
	_, _, err = client.Get(t.Context(), "a")
	assert.ErrorIs(t, err, kv.ErrUncertain, "get: %q", response)
	_, _, err = client.List(t.Context(), "a")
	assert.ErrorIs(t, err, kv.ErrUncertain, "list: %q", response)
	assert.Error(t, client.Watch(t.Context(), "a", 1, func(kv.Event) { assert.Fail(t, "an event", response) }), "watch: %q", response)
}

func TestAResponseWithAnInvalidStatusIsUncertain(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		requireUncertain(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// Guards against a response in which the name of a field is no token: what the field states is not known.
func TestAResponseWithAMalformedFieldNameIsUncertain(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 429 X\r\nRetry-After : 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nNa me: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nNa me: x\r\n\r\n",
	} {
		requireUncertain(t, response)
	}
}
