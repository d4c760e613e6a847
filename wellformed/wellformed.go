// Package wellformed finds responses that net/http accepts although RFC 9110 and RFC 9112 do not. What such a response
// states, and where its body ends, cannot be relied upon.
package wellformed

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// The statuses of HTTP; others are invalid (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns why the head of a response, which may be an interim one, is malformed; nil if it is not. Requests do not
// ask for a switch of protocols, so that one is malformed too: what follows it is no response.
func CheckHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Errorf("the response has the version %s, not HTTP/1", response.Proto)
	}
	switch status := response.StatusCode; {
	case status < minStatus || status > maxStatus:
		return errors.Errorf("the response has the status %03d, which is not valid", status)
	case status == http.StatusSwitchingProtocols:
		return errors.Errorf("the response has the status %d, although no other protocol was requested", status)
	}
	return checkNames(response.Header)
}

// CheckTrailer returns why the fields behind the last chunk of a body are malformed; nil if they are not. They are known once
// the body has been read to its end.
func CheckTrailer(response *http.Response) error { return checkNames(response.Trailer) }

// checkNames returns an error if a name of the fields that were received is no token. One with a blank may stand for another
// field, even for the length of the body.
func checkNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("the name %q of a response field is not valid", name)
		}
	}
	return nil
}
