package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"
)

// earlierVersion begins a response of a version that knows no transfer codings.
const earlierVersion = "HTTP/1.0 "

// errUnknownCoding means that a response of an earlier version states a transfer coding, so that the end of its body is not
// known.
var errUnknownCoding = errors.New("a response of HTTP/1.0 states a transfer coding")

// readHead reads one response head. net/http ignores a transfer coding in one of HTTP/1.0 and does not show it, so that such a
// head is recorded.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	begin, err := c.reader.Peek(len(earlierVersion))
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if string(begin) != earlierVersion {
		return http.ReadResponse(c.reader, request)
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.limiter.record(buffered)
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	head := c.limiter.recorded[:len(c.limiter.recorded)-c.reader.Buffered()]
	return response, checkCoding(head)
}

// checkCoding returns an error if a head, the first line included, states a transfer coding.
func checkCoding(head []byte) error {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := reader.ReadLine(); err != nil {
		return err
	}
	fields, err := reader.ReadMIMEHeader()
	if err == nil && len(fields["Transfer-Encoding"]) > 0 {
		return errUnknownCoding
	}
	return err
}
