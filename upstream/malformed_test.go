package upstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requireMalformed fails the test unless a response, after which its replica closes the connection, is refused as one to a
// request that may have run.
func requireMalformed(t *testing.T, response string) {
	t.Helper()
	pool, address := NewPool(nil, nil), startEarly(t, response, nil)
	taken, err := pool.Do(t.Context(), request(t, address, http.MethodPost, "1", "x"))
	var failed *Error
	if assert.ErrorAs(t, err, &failed, "%q was taken for a response", response) {
		assert.True(t, failed.RequestWritten, "%q", response)
	} else {
		_ = taken.Close()
	}
	assert.Empty(t, pool.idle[address], "%q", response)
}

// Guards against a response whose status is not one of HTTP, or stands for a switch of protocols that nobody requested.
func TestAResponseWithAnInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "999", "1000", "20", "2O0", "", "101"} {
		requireMalformed(t, "HTTP/1.1 "+status+" X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
		requireMalformed(t, "HTTP/1.1 "+status+" X\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
	}
}

func TestAResponseWithAValidStatusIsTaken(t *testing.T) {
	for _, status := range []int{200, 226, 299, 304, 404, 499, 500, 599} {
		address := startServer(t, func(_, _ int, _ *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 %d X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status)
		})
		response, err := NewPool(nil, nil).Do(t.Context(), request(t, address, http.MethodPost, "1", "x"))
		require.NoError(t, err)
		require.Equal(t, status, response.Status)
		require.NoError(t, response.Close())
	}
}

// malformedNames are names of response fields, with the colon, that are no tokens.
var malformedNames = []string{
	"Na me:", "Content-Length :", "Content-Length  :", "Transfer-Encoding :", "Status :", "Name\t:", "Na\tme:", "Na\x01me:", "Na\x00me:", "Na\x7fme:",
	"Na\rme:", "Na\xe9me:", "Na(me:", "Na@me:", "Na/me:", "Na\"me:", "Na{me:", ":", "Name",
}

// Guards against a response in which the name of a field is no token: what the field states is not known, and neither is
// where the body ends.
func TestAResponseWithAMalformedFieldNameIsRefused(t *testing.T) {
	for _, name := range malformedNames {
		for _, value := range []string{"", " 4", " chunked"} {
			field := name + value + "\r\n"
			requireMalformed(t, "HTTP/1.1 200 OK\r\n"+field+"Id: 1\r\nContent-Length: 4\r\n\r\nbody")
			requireMalformed(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n"+field+"\r\nbody")
			requireMalformed(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+field+"\r\n4\r\nbody\r\n0\r\n\r\n")
			requireMalformed(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n"+reply("1", "body"))
		}
	}
}

// Guards against a body that counts as whole although the fields behind its last chunk cannot be read.
func TestAResponseWithAMalformedTrailerIsNotWhole(t *testing.T) {
	for _, name := range malformedNames {
		address := startEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\n"+name+" 1\r\n\r\n", nil)
		pool := NewPool(nil, nil)
		text, err := fetch(t, pool, request(t, address, http.MethodPost, "1", "x"))
		assert.Error(t, err, "%q", name)
		assert.Equal(t, "body", text)
		assert.Empty(t, pool.idle[address], "%q", name)
		requireMalformed(t, "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+name+" 1\r\n\r\n"+reply("1", "body"))
	}
}

func TestAResponseWithUnusualFieldNamesIsTaken(t *testing.T) {
	address := startEarly(t, "HTTP/1.1 103 X\r\n!#$%&'*+-.^_`|~09: a\r\n\r\nHTTP/1.1 200 OK\r\nid:1\r\n!#$%&'*+-.^_`|~09: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n!#$: 1\r\n\r\n", nil)
	text, err := fetch(t, NewPool(nil, nil), request(t, address, http.MethodPost, "1", "x"))
	require.NoError(t, err)
	require.Equal(t, "body", text)
}

// Guards against a response of another version of HTTP, whose head and body are not known to mean the same.
func TestAResponseOfAnotherMajorVersionIsRefused(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/0.0", "HTTP/2.0", "HTTP/3.7", "HTTP/9.9", "HTTP/1.10", "HTTP/11.1", "http/1.1", "ICY"} {
		requireMalformed(t, version+" 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
		requireMalformed(t, version+" 103 X\r\n\r\n"+reply("1", "body"))
	}
}

func TestAResponseOfAnotherMinorVersionIsTaken(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/1.2", "HTTP/1.9"} {
		text, err := fetch(t, NewPool(nil, nil), request(t, startEarly(t, version+" 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", nil), http.MethodPost, "1", "x"))
		require.NoError(t, err, version)
		require.Equal(t, "body", text)
	}
}

// Guards against a response of HTTP/1.0 with a transfer coding, which that version does not know: the marks of its chunks were
// taken for its body.
func TestATransferCodingInAResponseOfAnEarlierVersionIsRefused(t *testing.T) {
	long := "Padding: " + strings.Repeat("x", 3*readBufferBytes) + "\r\n"
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "TRANSFER-ENCODING: gzip, chunked"} {
		for _, fields := range []string{field + "\r\n", long + field + "\r\n", field + "\r\n" + long, field + "\r\nContent-Length: 14\r\n"} {
			requireMalformed(t, "HTTP/1.0 200 OK\r\nId: 1\r\n"+fields+"\r\n4\r\nbody\r\n0\r\n\r\n")
			requireMalformed(t, "HTTP/1.1 103 X\r\n"+long+"\r\nHTTP/1.0 200 OK\r\nId: 1\r\n"+fields+"\r\n4\r\nbody\r\n0\r\n\r\n")
		}
	}
}

func TestAResponseOfAnEarlierVersionWithoutACodingIsTaken(t *testing.T) {
	for _, fields := range []string{"Content-Length: 30\r\n", "", "Te: x\r\n", "X-Transfer-Encoding: chunked\r\n", "Via: Transfer-Encoding: chunked\r\n"} {
		body := "\r\nTransfer-Encoding: chunked\r\n"
		text, err := fetch(t, NewPool(nil, nil), request(t, startEarly(t, "HTTP/1.0 200 OK\r\nId: 1\r\n"+fields+"\r\n"+body, nil), http.MethodPost, "1", "x"))
		require.NoError(t, err, fields)
		require.Equal(t, body, text)
	}
}

// Responses that break a rule which RFC 9112 lets a recipient mend: a length beside a transfer coding, of which the coding
// counts and the length is not passed on (section 6.3); a folded line, read as one (section 5.2); bare line feeds (section 2.2).
func TestResponsesThatARecipientMayMendAreTaken(t *testing.T) {
	for name, response := range map[string]string{
		"a length beside chunks":         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nFolded: a b\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"another length beside chunks":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\nFolded: a b\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"a folded line":                  "HTTP/1.1 200 OK\r\nId: 1\r\nFolded: a\r\n \t b\r\nContent-Length: 4\r\n\r\nbody",
		"bare line feeds":                "HTTP/1.1 200 OK\nId: 1\nFolded: a b\nContent-Length: 4\n\nbody",
		"the same length more than once": "HTTP/1.1 200 OK\r\nId: 1\r\nFolded: a b\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
	} {
		taken, err := NewPool(nil, nil).Do(t.Context(), request(t, startEarly(t, response, nil), http.MethodPost, "1", "x"))
		require.NoError(t, err, name)
		require.Equal(t, "a b", taken.Header.Get("Folded"), name)
		require.Equal(t, taken.Chunked, taken.Header.Get("Content-Length") == "", name)
		body, err := io.ReadAll(taken)
		require.NoError(t, err, name)
		require.Equal(t, "body", string(body), name)
	}
}

// Guards against a body whose end two fields of the head state differently, or that a field states in no known way.
func TestAResponseWhoseLengthIsNotKnownIsRefused(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: 4, 5\r\n", "Content-Length: -4\r\n", "Content-Length: +4\r\n", "Content-Length: 4 4\r\n", "Content-Length: 0x4\r\n",
		"Content-Length: 99999999999999999999\r\n", "Content-Length: four\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked, identity\r\n", "Name: a\x00b\r\nContent-Length: 4\r\n", "Name: a\x7fb\r\nContent-Length: 4\r\n",
	} {
		requireMalformed(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+fields+"\r\nbody")
	}
}
