package gateway

import (
	"net/http"
	"sync"

	"github.com/finchspoke/finchspoke/failure"
)

// responseSink writes a response to the caller. For a keyed request it also records the response,
// which outlives the caller.
type responseSink struct {
	mutex       sync.Mutex
	writer      http.ResponseWriter
	controller  *http.ResponseController // unwraps middleware to reach Flush
	requestID   string
	detached    bool // the caller got an error or has disconnected
	headWritten bool // status and headers were written
	record      *recordedResponse
}

// recordedResponse is a copy of a response.
type recordedResponse struct {
	status      int
	contentType string
	body        []byte
}

func newResponseSink(writer http.ResponseWriter, requestID string, record bool) *responseSink {
	created := &responseSink{writer: writer, controller: http.NewResponseController(writer), requestID: requestID}
	if record {
		created.record = &recordedResponse{}
	}
	return created
}

// writeHead writes status and headers.
func (s *responseSink) writeHead(status int, contentType string, headers map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.record != nil {
		s.record.status, s.record.contentType = status, contentType
	}
	if s.detached {
		return
	}
	s.headWritten = true
	header := s.writer.Header()
	header.Set("Content-Type", contentType)
	for name, value := range headers {
		header.Set(name, value)
	}
	s.writer.WriteHeader(status)
}

// write writes part of the body. It fails if the caller has disconnected, unless the response
// is recorded.
func (s *responseSink) write(data []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.record != nil {
		s.record.body = append(s.record.body, data...)
	}
	if s.detached {
		return nil
	}
	if _, err := s.writer.Write(data); err != nil && s.record == nil {
		return err
	}
	return nil
}

func (s *responseSink) flush() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.detached {
		_ = s.controller.Flush() // the caller may have disconnected, or the writer does not buffer
	}
}

// fail ends the response with an error: as an error response if the head is not written yet, else
// as the last event of the stream. Nothing is sent to the caller afterwards.
func (s *responseSink) fail(err *failure.Error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.detached {
		return
	}
	s.detached = true
	if !s.headWritten {
		writeError(s.writer, err, s.requestID)
		return
	}
	event := append([]byte("data: "), encodeError(err, s.requestID)...)
	_, _ = s.writer.Write(append(event, "\n\n"...)) // the caller may have disconnected
	_ = s.controller.Flush()
}
