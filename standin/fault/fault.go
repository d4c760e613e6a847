// Package fault is what the stand-ins of the platform's systems share: faults
// that are switched at run time over HTTP, and a history an oracle can check.
//
//	GET  /faults   the faults in force
//	POST /faults   replaces them (JSON; unknown fields are refused)
//	GET  /history  what happened, oldest first, as a JSON list
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Duration is a time.Duration written in JSON as text such as "250ms".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads the text form.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Switch holds the faults in force, of a type that each stand-in defines.
type Switch[T any] struct {
	mutex  sync.RWMutex
	faults T
}

// Get returns the faults in force.
func (s *Switch[T]) Get() T {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.faults
}

// Set replaces the faults.
func (s *Switch[T]) Set(faults T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// historyLimit bounds a history; older entries are dropped and counted.
const historyLimit = 200_000

// History records entries of a type that each stand-in defines.
type History[T any] struct {
	mutex   sync.Mutex
	entries []T
	dropped int
}

// Add records an entry.
func (h *History[T]) Add(entry T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.entries) >= historyLimit {
		h.entries = h.entries[historyLimit/2:]
		h.dropped += historyLimit / 2
	}
	h.entries = append(h.entries, entry)
}

// Entries returns a copy of what is recorded.
func (h *History[T]) Entries() []T {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]T(nil), h.entries...)
}

// Count is how many entries were ever recorded.
func (h *History[T]) Count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.entries) + h.dropped
}

// Dropped is the count of entries no longer kept; a check that needs a whole
// history must see zero.
func (h *History[T]) Dropped() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.dropped
}

// Register adds the fault and history handlers to a mux.
func Register[F, H any](mux *http.ServeMux, faults *Switch[F], history *History[H]) {
	mux.HandleFunc("GET /faults", func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, faults.Get())
	})
	mux.HandleFunc("POST /faults", func(writer http.ResponseWriter, httpRequest *http.Request) {
		var replacement F
		decoder := json.NewDecoder(httpRequest.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&replacement); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		faults.Set(replacement)
		WriteJSON(writer, http.StatusOK, replacement)
	})
	mux.HandleFunc("GET /history", func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, history.Entries())
	})
}

// WriteJSON writes a JSON answer.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // the peer may be gone
}
