// Package wellformed finds responses that net/http accepts although RFC 9110 and RFC 9112 do not. What such a response
// states, and where its body ends, cannot be relied upon.
package wellformed

import (
	"net/http"

	"github.com/pkg/errors"
)

// The statuses of HTTP; others are invalid (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns why the head of a response, which may be an interim one, is malformed; nil if it is not. Requests do not
// ask for a switch of protocols, so that one is malformed too: what follows it is no response.
func CheckHead(response *http.Response) error {
	switch status := response.StatusCode; {
	case status < minStatus || status > maxStatus:
		return errors.Errorf("the response has the status %03d, which is not valid", status)
	case status == http.StatusSwitchingProtocols:
		return errors.Errorf("the response has the status %d, although no other protocol was requested", status)
	}
	return nil
}
