package adminapi

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/standin/raw"
)

// Guards against a change of the settings that counts as accepted by a response that states nothing.
func TestAMalformedResponseLeavesTheOutcomeUnknown(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 200 OK\r\nNa me: x\r\n", "HTTP/1.1 409 X\r\nNa me: x\r\n"} {
		server := &raw.Server{Respond: raw.Text(head + "Content-Length: 2\r\n\r\n{}")}
		require.NoError(t, server.Start())
		t.Cleanup(server.Stop)
		err := Client{Address: server.Address()}.Post(t.Context(), "/settings", ApplyRequest{}, nil)
		var failed *failure.Error
		if assert.ErrorAs(t, err, &failed, "%q", head) {
			assert.Equal(t, failure.Unknown, failed.Execution, "%q", head)
		}
	}
}
