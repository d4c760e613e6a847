package gateway

import (
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// endedRingSize is how many ended requests a gateway keeps for explanations.
const endedRingSize = 2000

// RequestSummary describes how a request ended.
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

// endedRing holds the requests that ended last.
type endedRing struct {
	mutex sync.Mutex
	ring  [endedRingSize]RequestSummary
	next  int
}

func (e *endedRing) add(request RequestSummary) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ring[e.next] = request
	e.next = (e.next + 1) % endedRingSize
}

// EndedRequest returns the summary of a request that ended on this gateway, if it is still kept.
func (s *Server) EndedRequest(requestID string) (RequestSummary, bool) {
	s.recentlyEnded.mutex.Lock()
	defer s.recentlyEnded.mutex.Unlock()
	for _, summary := range s.recentlyEnded.ring {
		if requestID != "" && summary.RequestID == requestID {
			return summary, true
		}
	}
	return RequestSummary{}, false
}
