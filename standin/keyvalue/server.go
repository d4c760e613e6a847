package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// Faults are the faults that can be injected.
type Faults struct {
	// Outage rejects all calls and ends watches.
	Outage bool `json:"outage,omitempty"`
	// Delay is added to every response.
	Delay fault.Duration `json:"delay,omitempty"`
	// DropResponsesPercent is the percentage of transactions that are applied but get no response: the
	// connection is reset.
	DropResponsesPercent int `json:"lose_answers_percent,omitempty"`
	// PauseWatches defers all watch events.
	PauseWatches bool `json:"pause_watches,omitempty"`
}

// Entry is a transaction in the history.
type Entry struct {
	At              time.Time `json:"at"`
	Revision        int64     `json:"revision"`
	Succeeded       bool      `json:"succeeded"`
	Keys            []string  `json:"keys"` // written, if the transaction succeeded
	ResponseDropped bool      `json:"answer_lost,omitempty"`
}

// Server simulates the key-value service over HTTP.
type Server struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]
	store   *store
	limiter *rate.Limiter
	mux     *http.ServeMux
}

const (
	defaultOperationsPerSecond = 200
	watchPollInterval          = 200 * time.Millisecond
	maxBodyBytes               = 8 << 20
)

// New returns a server that allows a number of operations per second; zero selects the default.
func New(operationsPerSecond float64) *Server {
	if operationsPerSecond <= 0 {
		operationsPerSecond = defaultOperationsPerSecond
	}
	server := &Server{
		store:   newStore(time.Now),
		limiter: rate.NewLimiter(rate.Limit(operationsPerSecond), max(1, int(operationsPerSecond))),
		mux:     http.NewServeMux(),
	}
	server.mux.HandleFunc("POST "+kv.PathRange, handleJSON(server, func(request kv.WireRange) any { return server.store.read(request) }))
	server.mux.HandleFunc("POST "+kv.PathTxn, server.transact)
	server.mux.HandleFunc("POST "+kv.PathLeaseGrant, handleJSON(server, func(request kv.WireLeaseGrant) any {
		id := server.store.grantLease(time.Duration(request.TTL) * time.Second)
		return kv.WireLeaseGrantResponse{ID: kv.Int64(id), TTL: request.TTL}
	}))
	server.mux.HandleFunc("POST "+kv.PathWatch, server.watch)
	fault.Register(server.mux, &server.Faults, &server.History)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	s.mux.ServeHTTP(writer, httpRequest)
}

// admit applies faults and the rate limit. If it rejects the request, it responds and returns false.
func (s *Server) admit(writer http.ResponseWriter) bool {
	faults := s.Faults.Get()
	time.Sleep(time.Duration(faults.Delay))
	if faults.Outage {
		http.Error(writer, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !s.limiter.Allow() {
		http.Error(writer, "too many requests", http.StatusTooManyRequests)
		return false
	}
	return true
}

// decode reads a JSON request body. If it is invalid, it responds 400 and returns false.
func decode(writer http.ResponseWriter, httpRequest *http.Request, target any) bool {
	body := http.MaxBytesReader(writer, httpRequest.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// handleJSON returns a handler that decodes the request and writes the result as JSON.
func handleJSON[Q any](server *Server, respond func(Q) any) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Q
		if server.admit(writer) && decode(writer, httpRequest, &request) {
			fault.WriteJSON(writer, http.StatusOK, respond(request))
		}
	}
}

func (s *Server) transact(writer http.ResponseWriter, httpRequest *http.Request) {
	var txn kv.WireTxn
	if !s.admit(writer) || !decode(writer, httpRequest, &txn) {
		return
	}
	for _, operation := range txn.Success {
		if operation.Put != nil && !s.store.hasLease(int64(operation.Put.Lease)) {
			http.Error(writer, "requested lease not found", http.StatusNotFound)
			return
		}
	}
	response := s.store.transact(txn)
	entry := Entry{At: time.Now(), Revision: int64(response.Header.Revision), Succeeded: response.Succeeded}
	if response.Succeeded {
		for _, operation := range txn.Success {
			if operation.Put != nil {
				entry.Keys = append(entry.Keys, string(operation.Put.Key))
			}
		}
	}
	entry.ResponseDropped = s.dropsResponse(entry.Revision)
	s.History.Add(entry)
	if entry.ResponseDropped {
		panic(http.ErrAbortHandler) // resets the connection
	}
	fault.WriteJSON(writer, http.StatusOK, response)
}

// dropsResponse distributes dropped responses evenly and reproducibly over revisions.
func (s *Server) dropsResponse(revision int64) bool {
	const hundred, stride = 100, 37
	return int(revision*stride%hundred) < s.Faults.Get().DropResponsesPercent
}

func (s *Server) watch(writer http.ResponseWriter, httpRequest *http.Request) {
	var request kv.WireWatch
	if !s.admit(writer) || !decode(writer, httpRequest, &request) {
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	flusher, _ := writer.(http.Flusher)
	send := func(result kv.WireWatchResult) bool {
		result.Header.Revision = kv.Int64(s.store.currentRevision())
		err := encoder.Encode(kv.WireWatchResponse{Result: result})
		flusher.Flush()
		return err == nil
	}
	lastRevision := int64(request.Create.StartRevision) - 1
	if lastRevision < 0 {
		lastRevision = s.store.currentRevision()
	}
	if !send(kv.WireWatchResult{Created: true}) {
		return
	}
	watched := kv.WireRange{Key: request.Create.Key, RangeEnd: request.Create.RangeEnd}
	for !s.Faults.Get().Outage {
		events, retained, changed := s.store.eventsAfter(watched, lastRevision)
		if !retained {
			send(kv.WireWatchResult{Canceled: true, CompactRevision: kv.Int64(lastRevision + 1)})
			return
		}
		if len(events) > 0 && !s.Faults.Get().PauseWatches {
			lastRevision = int64(events[len(events)-1].Pair.ModRevision)
			if !send(kv.WireWatchResult{Events: events}) {
				return
			}
			continue
		}
		select {
		case <-httpRequest.Context().Done():
			return
		case <-changed:
		case <-time.After(watchPollInterval): // changes of faults and expired leases are not signalled
		}
	}
}
