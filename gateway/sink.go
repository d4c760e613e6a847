package gateway

import (
	"net/http"
	"sync"

	"github.com/finchspoke/finchspoke/failure"
)

// sink is where an answer goes: to the caller, and for a keyed request also into
// a record that outlives the caller.
type sink struct {
	mutex      sync.Mutex
	writer     http.ResponseWriter
	controller *http.ResponseController // reaches through what wraps the writer
	requestID  string
	detached   bool // the caller is answered otherwise or gone
	began      bool // the head was written
	record     *recorded
}

// recorded is a copy of an answer.
type recorded struct {
	status      int
	contentType string
	body        []byte
}

func newSink(writer http.ResponseWriter, requestID string, record bool) *sink {
	created := &sink{writer: writer, controller: http.NewResponseController(writer), requestID: requestID}
	if record {
		created.record = &recorded{}
	}
	return created
}

// begin writes the head of an answer.
func (s *sink) begin(status int, contentType string, headers map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.record != nil {
		s.record.status, s.record.contentType = status, contentType
	}
	if s.detached {
		return
	}
	s.began = true
	header := s.writer.Header()
	header.Set("Content-Type", contentType)
	for name, value := range headers {
		header.Set(name, value)
	}
	s.writer.WriteHeader(status)
}

// write passes data on; its error says that the caller is gone, which only
// matters where nothing is recorded.
func (s *sink) write(data []byte) error {
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

func (s *sink) flush() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.detached {
		_ = s.controller.Flush() // the caller may be gone, or the writer not one that gathers
	}
}

// fail ends the answer with an error: in its place if it has not begun, and as a
// last event of a stream if it has. After it nothing reaches the caller.
func (s *sink) fail(err *failure.Error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.detached {
		return
	}
	s.detached = true
	if !s.began {
		writeError(s.writer, err, s.requestID)
		return
	}
	event := append([]byte("data: "), errorText(err, s.requestID)...)
	_, _ = s.writer.Write(append(event, "\n\n"...)) // the caller may be gone
	_ = s.controller.Flush()                        // as above
}
