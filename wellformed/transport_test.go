package wellformed

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/standin/raw"
)

// get requests a response and reads its body.
func get(t *testing.T, response string) (string, error) {
	t.Helper()
	server := &raw.Server{Respond: raw.Text(response)}
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	client := &http.Client{Transport: Transport{&http.Transport{DisableKeepAlives: true}}}
	received, err := client.Get("http://" + server.Address())
	if err != nil {
		return "", err
	}
	defer func() { require.NoError(t, received.Body.Close()) }()
	data, err := io.ReadAll(received.Body)
	return string(data), err
}

const (
	whole   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
)

func TestMalformedResponsesFailARequest(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/3.7 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + whole,
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 103 Early Hints\r\nNa me: x\r\n\r\n" + whole,
		interim + "HTTP/1.1 103 Early Hints\r\nName : x\r\n\r\n" + whole,
		chunked + "Na me: x\r\n\r\n",
		strings.Repeat(interim, maxInterimResponses+1) + whole,
	} {
		_, err := get(t, response)
		assert.Error(t, err, "%q", response)
	}
}

func TestOtherResponsesPass(t *testing.T) {
	for _, response := range []string{whole, chunked + "\r\n", chunked + "Sum: 1\r\n\r\n", strings.Repeat(interim, maxInterimResponses) + whole, "HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\nbody"} {
		text, err := get(t, response)
		require.NoError(t, err, "%q", response)
		require.Equal(t, "body", text)
	}
}
