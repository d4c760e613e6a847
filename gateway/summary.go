package gateway

import (
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// summaryRingSize is how many request summaries a gateway retains for explanations.
const summaryRingSize = 2000

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

// summaryRing holds the summaries of the requests that ended last.
type summaryRing struct {
	mutex sync.Mutex
	ring  [summaryRingSize]RequestSummary
	next  int
}

func (r *summaryRing) add(request RequestSummary) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ring[r.next] = request
	r.next = (r.next + 1) % summaryRingSize
}

// EndedRequest returns the summary of a request that ended on this gateway, if it is
// still retained.
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
