package wellformed

import (
	"net/http"

	"github.com/pkg/errors"
)

// Transport fails requests whose response is malformed. It implements http.RoundTripper.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrapf(err, "malformed response from %s", request.URL.Host)
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t Transport) CloseIdleConnections() {
	if closer, able := t.Base.(interface{ CloseIdleConnections() }); able {
		closer.CloseIdleConnections()
	}
}
