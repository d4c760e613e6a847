// Package fault provides fault injection and a history of events over HTTP for simulated services. GET /faults
// returns the current faults, POST /faults replaces them (unknown JSON fields are rejected), and GET /history
// returns the recorded entries, oldest first.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Switch holds the current faults of a service, of a type that the service defines.
type Switch[T any] struct {
	mutex  sync.RWMutex
	faults T
}

// Get returns the current faults.
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

// historyLimit bounds the number of entries in a history. The oldest entries are dropped and counted.
const historyLimit = 200_000

// History records entries of a type that the service defines.
type History[T any] struct {
	mutex   sync.Mutex
	entries []T
	dropped int
}

// Add appends an entry.
func (h *History[T]) Add(entry T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.entries) >= historyLimit {
		h.entries = h.entries[historyLimit/2:]
		h.dropped += historyLimit / 2
	}
	h.entries = append(h.entries, entry)
}

// Entries returns a copy of the retained entries, oldest first.
func (h *History[T]) Entries() []T {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]T(nil), h.entries...)
}

// Count returns the number of entries ever added.
func (h *History[T]) Count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.entries) + h.dropped
}

// Dropped returns the number of entries that are no longer retained. A check that needs the complete history must
// verify that it is zero.
func (h *History[T]) Dropped() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.dropped
}

// Register adds the handlers for faults and history to a mux.
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

// WriteJSON writes a JSON response.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // the client may have disconnected
}
