package gateway

import (
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// endedKept is how many ended requests a gateway remembers for explanations.
const endedKept = 2000

// Ended is how a request ended, for explanations.
type RequestSummary struct {
	RequestID   string            `json:"request_id"`
	Branch      string            `json:"branch,omitempty"`
	Model       string            `json:"model,omitempty"`
	Class       string            `json:"class,omitempty"`
	Outcome     string            `json:"outcome"` // answered, or a failure.Kind
	Message     string            `json:"message,omitempty"`
	Remedy      string            `json:"remedy,omitempty"`
	Execution   failure.Execution `json:"execution"`
	Home        string            `json:"home,omitempty"`
	Engine      string            `json:"engine,omitempty"`
	WaitedMs    int64             `json:"waited_ms"`
	FirstByteMs int64             `json:"first_byte_ms"`
	DurationMs  int64             `json:"duration_ms"`
	EndedAt     time.Time         `json:"ended_at"`
}

// endedRing remembers the requests that ended last.
type endedRing struct {
	mutex sync.Mutex
	ring  [endedKept]RequestSummary
	next  int
}

func (e *endedRing) add(one RequestSummary) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ring[e.next] = one
	e.next = (e.next + 1) % endedKept
}

// EndedRequest returns how a request ended here, if it is remembered.
func (s *Server) EndedRequest(requestID string) (RequestSummary, bool) {
	s.lastEnded.mutex.Lock()
	defer s.lastEnded.mutex.Unlock()
	for _, one := range s.lastEnded.ring {
		if requestID != "" && one.RequestID == requestID {
			return one, true
		}
	}
	return RequestSummary{}, false
}
