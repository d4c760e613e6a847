package wellformed

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// maxInterimResponses bounds the interim responses before a response.
const maxInterimResponses = 16

// Transport fails requests whose response is malformed. It implements http.RoundTripper.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := 0
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			// Without this bound net/http reads interim responses without an end, as this function gets them.
			if interim++; interim > maxInterimResponses {
				return errors.Errorf("more than %d interim responses from %s", maxInterimResponses, request.URL.Host)
			}
			return CheckHead(&http.Response{ProtoMajor: 1, StatusCode: status, Header: http.Header(header)}) // the version is not told
		},
	})
	response, err := t.Base.RoundTrip(request.WithContext(traced))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrapf(err, "malformed response from %s", request.URL.Host)
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t Transport) CloseIdleConnections() {
	if closer, able := t.Base.(interface{ CloseIdleConnections() }); able {
		closer.CloseIdleConnections()
	}
}

// checkedBody is a body that does not end without an error if its trailer is malformed.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		if malformed := CheckTrailer(b.response); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
