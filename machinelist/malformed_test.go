package machinelist

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/standin/raw"
)

// Guards against a list of machines that is taken from a response whose head cannot be relied upon.
func TestAMalformedResponseIsNoList(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 200 OK\r\nNa me: x\r\n", "HTTP/1.1 103 X\r\nNa me: x\r\n\r\nHTTP/1.1 200 OK\r\n"} {
		server := &raw.Server{Respond: raw.Text(head + "Content-Length: 15\r\n\r\n{\"machines\":[]}")}
		require.NoError(t, server.Start())
		t.Cleanup(server.Stop)
		_, err := NewClient(server.Address()).Machines(t.Context(), "region")
		assert.Error(t, err, "%q", head)
	}
}
