package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// Faults are the failures that can be switched on.
type Faults struct {
	// Outage refuses everything and breaks watches.
	Outage bool `json:"outage,omitempty"`
	// Delay is added to every answer.
	Delay fault.Duration `json:"delay,omitempty"`
	// LoseAnswers cuts the connection after a transaction took effect, for this
	// many percent of transactions.
	DropResponsesPercent int `json:"lose_answers_percent,omitempty"`
	// PauseWatches holds back all events.
	PauseWatches bool `json:"pause_watches,omitempty"`
}

// Entry is one transaction in the history.
type Entry struct {
	At              time.Time `json:"at"`
	Revision        int64     `json:"revision"`
	Succeeded       bool      `json:"succeeded"`
	Keys            []string  `json:"keys"` // written, when succeeded
	ResponseDropped bool      `json:"answer_lost,omitempty"`
}

// Server is the stand-in.
type Server struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]
	store   *store
	limiter *rate.Limiter
	mux     *http.ServeMux
}

const (
	defaultRate  = 200 // operations a second
	watchPoll    = 200 * time.Millisecond
	maxBodyBytes = 8 << 20
)

// New returns a stand-in that allows so many operations a second; zero means the
// default of 200.
func New(operationsPerSecond float64) *Server {
	if operationsPerSecond <= 0 {
		operationsPerSecond = defaultRate
	}
	server := &Server{
		store:   newStore(time.Now),
		limiter: rate.NewLimiter(rate.Limit(operationsPerSecond), max(1, int(operationsPerSecond))),
		mux:     http.NewServeMux(),
	}
	server.mux.HandleFunc("POST "+kv.PathRange, handle(server, func(ask kv.WireRange) any { return server.store.read(ask) }))
	server.mux.HandleFunc("POST "+kv.PathTxn, server.transact)
	server.mux.HandleFunc("POST "+kv.PathLeaseGrant, handle(server, func(ask kv.WireLeaseGrant) any {
		id := server.store.grant(time.Duration(ask.TTL) * time.Second)
		return kv.WireLeaseGrantResponse{ID: kv.Int64(id), TTL: ask.TTL}
	}))
	server.mux.HandleFunc("POST "+kv.PathWatch, server.watch)
	fault.Register(server.mux, &server.Faults, &server.History)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	s.mux.ServeHTTP(writer, httpRequest)
}

// admit applies the faults and the rate limit; it tells whether to go on.
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

func decode(writer http.ResponseWriter, httpRequest *http.Request, ask any) bool {
	body := http.MaxBytesReader(writer, httpRequest.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(ask); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func handle[Q any](server *Server, answer func(Q) any) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		var ask Q
		if server.admit(writer) && decode(writer, httpRequest, &ask) {
			fault.WriteJSON(writer, http.StatusOK, answer(ask))
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
	answer := s.store.transact(txn)
	entry := Entry{At: time.Now(), Revision: int64(answer.Header.Revision), Succeeded: answer.Succeeded}
	if answer.Succeeded {
		for _, operation := range txn.Success {
			if operation.Put != nil {
				entry.Keys = append(entry.Keys, string(operation.Put.Key))
			}
		}
	}
	entry.ResponseDropped = s.loses(entry.Revision)
	s.History.Add(entry)
	if entry.ResponseDropped {
		panic(http.ErrAbortHandler) // cuts the connection without an answer
	}
	fault.WriteJSON(writer, http.StatusOK, answer)
}

// loses spreads lost answers evenly and repeatably over revisions.
func (s *Server) loses(revision int64) bool {
	const hundred, stride = 100, 37
	return int(revision*stride%hundred) < s.Faults.Get().DropResponsesPercent
}

func (s *Server) watch(writer http.ResponseWriter, httpRequest *http.Request) {
	var ask kv.WireWatch
	if !s.admit(writer) || !decode(writer, httpRequest, &ask) {
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
	seen := int64(ask.Create.StartRevision) - 1
	if seen < 0 {
		seen = s.store.currentRevision()
	}
	if !send(kv.WireWatchResult{Created: true}) {
		return
	}
	watched := kv.WireRange{Key: ask.Create.Key, RangeEnd: ask.Create.RangeEnd}
	for !s.Faults.Get().Outage {
		events, kept, changed := s.store.since(watched, seen)
		if !kept {
			send(kv.WireWatchResult{Canceled: true, CompactRevision: kv.Int64(seen + 1)})
			return
		}
		if len(events) > 0 && !s.Faults.Get().PauseWatches {
			seen = int64(events[len(events)-1].Pair.ModRevision)
			if !send(kv.WireWatchResult{Events: events}) {
				return
			}
			continue
		}
		select {
		case <-httpRequest.Context().Done():
			return
		case <-changed:
		case <-time.After(watchPoll): // faults and leases have no signal
		}
	}
}
