// Package weights simulates the platform's weight store: checkpoints as HTTP objects with range requests, a limit
// on loads started per second, and a total bandwidth that concurrent loads share. It stores no checkpoints: a
// response takes as long as transferring the range would, and states the range's length in a header.
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

// LengthHeader is the response header with the number of bytes that a read represents.
const LengthHeader = "X-Range-Bytes"

// Faults are the faults that can be injected.
type Faults struct {
	Outage bool `json:"outage,omitempty"`
	// SlowFactor divides the bandwidth. Values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

// Entry is a read in the history.
type Entry struct {
	At         time.Time `json:"at"`
	Object     string    `json:"object"`
	Refused    bool      `json:"refused,omitempty"` // exceeded LoadsPerSecond
	Concurrent int       `json:"at_once"`           // reads in progress, including this one
	Duration   string    `json:"duration,omitempty"`
}

// Limits are the limits of the weight store.
type Limits struct {
	LoadsPerSecond  float64 // loads that may start per second
	ConcurrentLoads int     // loads above this number share the total bandwidth
	BytesPerSecond  float64 // bandwidth of a load when the total is not shared
}

// Server simulates the weight store over HTTP.
type Server struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]
	limits  Limits
	limiter *rate.Limiter
	mux     *http.ServeMux
	mutex   sync.Mutex
	running int
}

// New returns a server with the given limits.
func New(limits Limits) *Server {
	server := &Server{
		limits: limits,
		// The burst allows the starts of one second at once.
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
	// Only a read from the start of an object counts as a load; later ranges continue it.
	if first == 0 && !s.limiter.Allow() {
		s.History.Add(Entry{At: time.Now(), Object: object, Refused: true, Concurrent: s.concurrent(0)})
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "too many loads", http.StatusTooManyRequests)
		return
	}
	concurrent := s.concurrent(1)
	defer s.concurrent(-1)
	started := time.Now()
	if !s.transfer(httpRequest, float64(last-first+1)) {
		return
	}
	s.History.Add(Entry{At: started, Object: object, Concurrent: concurrent, Duration: time.Since(started).String()})
	writer.Header().Set(LengthHeader, strconv.FormatInt(last-first+1, 10))
	writer.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/*", first, last))
	writer.WriteHeader(http.StatusPartialContent)
}

// concurrent changes the number of reads in progress by delta and returns the result.
func (s *Server) concurrent(delta int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += delta
	return s.running
}

// transferInterval is the interval at which the bandwidth of a read is recalculated.
const transferInterval = 20 * time.Millisecond

// transfer waits for as long as transferring the bytes takes. It returns false if the request is cancelled.
func (s *Server) transfer(httpRequest *http.Request, bytes float64) bool {
	for bytes > 0 {
		speed := s.limits.BytesPerSecond
		if running := s.concurrent(0); running > s.limits.ConcurrentLoads {
			speed *= float64(s.limits.ConcurrentLoads) / float64(running)
		}
		if slowdown := s.Faults.Get().SlowFactor; slowdown > 1 {
			speed /= slowdown
		}
		wait := min(transferInterval, time.Duration(bytes/speed*float64(time.Second))+1)
		select {
		case <-httpRequest.Context().Done():
			return false
		case <-time.After(wait):
		}
		bytes -= speed * wait.Seconds()
	}
	return true
}

// parseRange parses a Range header of the form bytes=first-last.
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
