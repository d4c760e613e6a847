// Package weights is a stand-in of the platform's weight store: checkpoints as
// HTTP objects with range requests, a limit on loads started a second, and a
// bandwidth that loads beyond a number at once share.
//
// Checkpoints are not stored. The answer to a read takes the time that the range
// would take, and carries the length of the range in a header instead of bytes.
package weights

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/finchspoke/finchspoke/standin/fault"
)

// LengthHeader carries the bytes that a read stands for.
const LengthHeader = "X-Range-Bytes"

// Faults are the failures that can be switched on.
type Faults struct {
	Outage bool `json:"outage,omitempty"`
	// SlowFactor divides the bandwidth; 0 and 1 leave it.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

// Entry is one read in the history.
type Entry struct {
	At         time.Time `json:"at"`
	Object     string    `json:"object"`
	Refused    bool      `json:"refused,omitempty"` // by the limit on starts
	Concurrent int       `json:"at_once"`           // reads running, this one included
	Duration   string    `json:"duration,omitempty"`
}

// Limits describe the store.
type Limits struct {
	LoadsPerSecond  float64 // starts a second
	ConcurrentLoads int     // at once at full speed
	BytesPerSecond  float64 // of one load at full speed
}

// Server is the stand-in.
type Server struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]
	limits  Limits
	limiter *rate.Limiter
	mux     *http.ServeMux
	mutex   sync.Mutex
	running int
}

// New returns a stand-in with limits.
func New(limits Limits) *Server {
	server := &Server{
		limits: limits,
		// The burst allows as many starts together as may run at full speed.
		limiter: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), max(1, int(limits.LoadsPerSecond))),
		mux:     http.NewServeMux(),
	}
	server.mux.HandleFunc("GET /checkpoints/{object}", server.read)
	fault.Register(server.mux, &server.Faults, &server.History)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	s.mux.ServeHTTP(writer, httpRequest)
}

func (s *Server) read(writer http.ResponseWriter, httpRequest *http.Request) {
	object := httpRequest.PathValue("object")
	if s.Faults.Get().Outage {
		http.Error(writer, "outage", http.StatusServiceUnavailable)
		return
	}
	first, last, err := parseRange(httpRequest.Header.Get("Range"))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestedRangeNotSatisfiable)
		return
	}
	// Only the start of an object counts as a load; later ranges continue it.
	if first == 0 && !s.limiter.Allow() {
		s.History.Add(Entry{At: time.Now(), Object: object, Refused: true, Concurrent: s.atOnce(0)})
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "too many loads", http.StatusTooManyRequests)
		return
	}
	atOnce := s.atOnce(1)
	defer s.atOnce(-1)
	started := time.Now()
	if !s.transfer(httpRequest, float64(last-first+1)) {
		return
	}
	s.History.Add(Entry{At: started, Object: object, Concurrent: atOnce, Duration: time.Since(started).String()})
	writer.Header().Set(LengthHeader, strconv.FormatInt(last-first+1, 10))
	writer.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/*", first, last))
	writer.WriteHeader(http.StatusPartialContent)
}

func (s *Server) atOnce(change int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += change
	return s.running
}

// transferStep is how often the speed is worked out anew.
const transferStep = 20 * time.Millisecond

// transfer waits for as long as the bytes take at the speed of each moment.
func (s *Server) transfer(httpRequest *http.Request, bytes float64) bool {
	for bytes > 0 {
		speed := s.limits.BytesPerSecond
		if running := s.atOnce(0); running > s.limits.ConcurrentLoads {
			speed *= float64(s.limits.ConcurrentLoads) / float64(running)
		}
		if slow := s.Faults.Get().SlowFactor; slow > 1 {
			speed /= slow
		}
		wait := min(transferStep, time.Duration(bytes/speed*float64(time.Second))+1)
		select {
		case <-httpRequest.Context().Done():
			return false
		case <-time.After(wait):
		}
		bytes -= speed * wait.Seconds()
	}
	return true
}

// parseRange reads "bytes=first-last".
func parseRange(header string) (first, last int64, err error) {
	text, found := strings.CutPrefix(header, "bytes=")
	from, to, dash := strings.Cut(text, "-")
	if !found || !dash {
		return 0, 0, fmt.Errorf("range %q is not of the form bytes=first-last", header)
	}
	if first, err = strconv.ParseInt(from, 10, 64); err != nil {
		return 0, 0, err
	}
	if last, err = strconv.ParseInt(to, 10, 64); err != nil {
		return 0, 0, err
	}
	if first < 0 || last < first {
		return 0, 0, fmt.Errorf("range %q is empty", header)
	}
	return first, last, nil
}
