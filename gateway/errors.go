package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// statusClientClosedRequest is nginx's non-standard status for a request whose client has disconnected.
const statusClientClosedRequest = 499

var statusByKind = map[failure.Kind]int{
	failure.InvalidRequest:      http.StatusBadRequest,
	failure.Unauthenticated:     http.StatusUnauthorized,
	failure.ModelNotAllowed:     http.StatusNotFound,
	failure.TooLarge:            http.StatusRequestEntityTooLarge,
	failure.LimitExceeded:       http.StatusTooManyRequests,
	failure.DeadlineTooShort:    http.StatusServiceUnavailable,
	failure.DeadlineExceeded:    http.StatusGatewayTimeout,
	failure.NoCapacity:          http.StatusServiceUnavailable,
	failure.CallerDisconnected:  statusClientClosedRequest,
	failure.ResponseInterrupted: http.StatusBadGateway,
	failure.OutcomeUnknown:      http.StatusBadGateway,
	failure.KeyInUse:            http.StatusConflict,
	failure.KeyReused:           http.StatusUnprocessableEntity,
	failure.ClaimUnavailable:    http.StatusServiceUnavailable,
	failure.Unavailable:         http.StatusServiceUnavailable,
}

// errorBody is an error in the OpenAI format, with additional fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string            `json:"message"`
	Type         string            `json:"type"`
	Code         failure.Kind      `json:"code"`
	Param        *string           `json:"param"`
	Execution    failure.Execution `json:"execution"`
	Remedy       string            `json:"remedy"`
	RequestID    string            `json:"request_id"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
}

func encodeError(err *failure.Error, requestID string) []byte {
	kind := "server_error"
	if status := statusFor(err.Kind); status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	text, marshalErr := json.Marshal(errorBody{errorDetail{
		Message: err.Message, Type: kind, Code: err.Kind, Execution: err.Execution, Remedy: err.Remedy,
		RequestID: requestID, RetryAfterMs: err.RetryAfter.Milliseconds(),
	}})
	if marshalErr != nil {
		return []byte(`{"error":{"message":"internal error"}}`)
	}
	return text
}

func statusFor(kind failure.Kind) int {
	if status, known := statusByKind[kind]; known {
		return status
	}
	return http.StatusInternalServerError
}

// setErrorHeaders sets the response headers that describe an error. OpenAI SDKs retry server
// errors unless X-Should-Retry forbids it.
func setErrorHeaders(header http.Header, err *failure.Error) {
	header.Set("Content-Type", "application/json")
	header.Set(HeaderExecution, string(err.Execution))
	header.Set("X-Should-Retry", strconv.FormatBool(err.Execution == failure.NotRun && err.RetryAfter > 0))
	if err.RetryAfter > 0 {
		seconds := math.Ceil(err.RetryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
		header.Set("Retry-After-Ms", strconv.FormatInt(err.RetryAfter.Round(time.Millisecond).Milliseconds(), 10))
	}
}

// writeError writes an error as the complete response.
func writeError(writer http.ResponseWriter, err *failure.Error, requestID string) {
	setErrorHeaders(writer.Header(), err)
	writer.WriteHeader(statusFor(err.Kind))
	_, _ = writer.Write(encodeError(err, requestID)) // the caller may have disconnected
}
